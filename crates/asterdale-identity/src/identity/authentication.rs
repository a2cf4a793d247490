//! Authentication: the caller of a token or of a client certificate.

use std::sync::Arc;

use super::Identity;
use crate::caller::Caller;
use crate::credentials::{Certificate, Credentials};
use crate::denial::{Denial, DenialReason};
use crate::failpoint::{self, Failpoint};
use crate::settings::CertificateMapping;
use crate::token::{self, Audience, Claims};
use crate::token_cache::TokenDigest;

/// The times that a request is checked against, in Unix milliseconds.
#[derive(Clone, Copy)]
struct RequestTime {
    now_ms: f64,
    /// When the request was received, never later than now. Expiry is checked against this time, so that a request that
    /// is read late is not denied because of the delay. The time is at most the clock skew ago, so that a wrong time
    /// extends no validity by more than the clock skew.
    received_ms: f64,
}

impl Identity {
    /// Authenticates the caller of a request. A token whose denial is cached costs a digest and a look-up, any other at
    /// most one signature verification, within the budget of its edge node.
    ///
    /// # Errors
    /// The reason for which the credentials are not accepted.
    pub fn authenticate(
        &mut self,
        now_ms: f64,
        credentials: Credentials<'_>,
    ) -> Result<Arc<Caller>, Denial> {
        let earliest_ms = now_ms - self.settings.clock_skew_ms;
        let time = RequestTime {
            now_ms,
            received_ms: credentials.received_ms.clamp(earliest_ms, now_ms),
        };
        match credentials.token {
            Some(text) => self.authenticate_token(time, text, credentials.edge_node),
            None => self
                .authenticate_certificate(time, credentials.certificate)
                .map_err(Denial::from),
        }
    }

    fn authenticate_token(
        &mut self,
        time: RequestTime,
        text: &[u8],
        edge_node: u32,
    ) -> Result<Arc<Caller>, Denial> {
        if text.len() > token::MAX_TOKEN_BYTES {
            return Err(DenialReason::Malformed.into());
        }
        let digest = self.token_digester.digest(text);
        if let Some(reason) = self.rejected_tokens.get(&digest) {
            return Err(reason.into());
        }
        let result = match self.verified_tokens.get(&digest).cloned() {
            Some(caller) => self.check_cached(time, caller).map_err(Denial::from),
            None => self.verify_and_cache(time, text, digest, edge_node),
        };
        if let Err(denial) = &result {
            if denial.reason.is_cacheable() {
                self.rejected_tokens.insert(digest, denial.reason);
            }
        }
        result
    }

    fn check_cached(
        &self,
        time: RequestTime,
        caller: Arc<Caller>,
    ) -> Result<Arc<Caller>, DenialReason> {
        if !failpoint::is_active(Failpoint::Cache) {
            self.check_claims(time, caller.key.as_deref(), &caller.claims)?;
        }
        Ok(caller)
    }

    fn verify_and_cache(
        &mut self,
        time: RequestTime,
        text: &[u8],
        digest: TokenDigest,
        edge_node: u32,
    ) -> Result<Arc<Caller>, Denial> {
        let caller = Arc::new(self.verify_token(time, text, edge_node)?);
        self.verified_tokens.insert(digest, caller.clone());
        Ok(caller)
    }

    /// Verifies a token that is not cached. All checks that need no signature verification come first. They may use the
    /// unverified claims: a forged token is denied in any case, and the claims of a genuine one are correct.
    fn verify_token(
        &mut self,
        time: RequestTime,
        text: &[u8],
        edge_node: u32,
    ) -> Result<Caller, Denial> {
        let token = token::parse(text)?;
        let key_id = token.header.kid.as_str();
        let tenant = self.check_claims(time, Some(key_id), &token.claims)?;
        let key = *self
            .keyring
            .verifying_key(key_id)
            .ok_or(DenialReason::KeyUnknown)?;
        self.signature_budget
            .try_take(time.now_ms, edge_node)
            .map_err(|retry_after_ms| Denial {
                reason: DenialReason::SignatureBudget,
                retry_after_ms,
            })?;
        self.signatures_checked += 1;
        let is_valid = token.is_signed_by(&key);
        self.signature_budget
            .record_result(time.now_ms, edge_node, is_valid);
        if !is_valid {
            return Err(DenialReason::BadSignature.into());
        }
        Ok(Caller {
            tenant,
            key: Some(token.header.kid),
            claims: token.claims,
        })
    }

    /// The caller that the settings assign to the connection's certificate. The result is not cached: no signature is
    /// verified here, and changed settings apply at once.
    fn authenticate_certificate(
        &self,
        time: RequestTime,
        certificate: Option<&Certificate>,
    ) -> Result<Arc<Caller>, DenialReason> {
        let certificate = certificate.ok_or(DenialReason::MissingCredentials)?;
        let mapping = self
            .settings
            .certificate_mappings
            .iter()
            .find(|mapping| certificate.names.contains(&mapping.name))
            .ok_or(DenialReason::UnknownCertificate)?;
        let claims = self.certificate_claims(certificate, mapping);
        let tenant = self.check_claims(time, None, &claims)?;
        Ok(Arc::new(Caller {
            tenant,
            key: None,
            claims,
        }))
    }

    fn certificate_claims(
        &self,
        certificate: &Certificate,
        mapping: &CertificateMapping,
    ) -> Claims {
        Claims {
            iss: self.settings.issuer.clone(),
            aud: Audience::One(self.settings.audience.clone()),
            sub: mapping.subject.clone(),
            tenant: mapping.tenant.clone(),
            roles: mapping.roles.clone(),
            exp: certificate.not_after_ms / 1000.0,
            nbf: Some(certificate.not_before_ms / 1000.0),
            iat: None,
            jti: certificate.sha256_hex.clone(),
        }
    }

    /// Checks everything but the signature, and returns the tenant's number. Revocations are checked first, as they
    /// apply even if the key set is too old to accept any credentials. Certificates need a usable key set, too, as the
    /// key set contains their revocations.
    fn check_claims(
        &self,
        time: RequestTime,
        key_id: Option<&str>,
        claims: &Claims,
    ) -> Result<u32, DenialReason> {
        let skew_ms = self.settings.clock_skew_ms;
        let key_check = key_id.map_or(Ok(()), |key_id| {
            self.keyring.check_key(key_id, time.received_ms, skew_ms)
        });
        if key_check == Err(DenialReason::KeyRevoked) {
            return Err(DenialReason::KeyRevoked);
        }
        self.keyring.check_revocations(claims)?;
        if !self.keyring.has_usable_key_set(time.now_ms) {
            return Err(DenialReason::NoUsableKeySet);
        }
        key_check?;
        if time.received_ms >= claims.exp * 1000.0 + skew_ms {
            return Err(DenialReason::Expired);
        }
        if claims
            .nbf
            .is_some_and(|from_s| time.received_ms < from_s * 1000.0 - skew_ms)
        {
            return Err(DenialReason::NotYetValid);
        }
        if claims.iss != self.settings.issuer {
            return Err(DenialReason::WrongIssuer);
        }
        if !claims.aud.contains(&self.settings.audience) {
            return Err(DenialReason::WrongAudience);
        }
        self.authorizer
            .tenant_number(&claims.tenant)
            .ok_or(DenialReason::UnknownTenant)
    }
}
