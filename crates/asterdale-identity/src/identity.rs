//! The two checks that a request passes: authentication of its caller, then authorization.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::authorization::{AccessRequest, Authorizer, ConcurrencyPermit};
use crate::caller::Caller;
use crate::credentials::{Certificate, Credentials};
use crate::denial::{Denial, DenialReason};
use crate::error::IdentityError;
use crate::failpoint::{self, Failpoint};
use crate::keyring::{KeySetError, KeySetOutcome, Keyring, KeyringState};
use crate::settings::{CertificateMapping, IdentitySettings};
use crate::signature_budget::SignatureBudget;
use crate::token::{self, Audience, Claims};
use crate::token_cache::{RejectedTokens, TokenDigest, TokenDigester, VerifiedTokens};

/// Slots for rejected tokens, for each entry of the cache of verified ones: a flood has more tokens than there are
/// callers.
const REJECTED_PER_VERIFIED: usize = 2;

/// The state that a hot restart transfers. Its field names are part of the stored form.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IdentityState {
    /// The names of the tenants, by their numbers.
    tenants: Vec<String>,
    #[serde(rename = "ring")]
    keyring: KeyringState,
}

/// Authentication and authorization of the callers of one process.
pub struct Identity {
    settings: IdentitySettings,
    keyring: Keyring,
    authorizer: Authorizer,
    signature_budget: SignatureBudget,
    token_digester: TokenDigester,
    verified_tokens: VerifiedTokens,
    rejected_tokens: RejectedTokens,
    signatures_checked: u64,
}

/// The times by which a request is judged, in Unix milliseconds.
#[derive(Clone, Copy)]
struct RequestTime {
    now_ms: f64,
    /// When the request was received, never later than now. It decides about expiry, so that a request that waited to be
    /// read is not denied for that. It is at most the clock skew ago, so that a wrong time prolongs nothing by more.
    received_ms: f64,
}

impl Identity {
    /// Without keys: every request is denied with [`DenialReason::NoUsableKeySet`] until a key set is adopted.
    ///
    /// # Errors
    /// [`IdentityError`] if there are too many roles or tenants.
    pub fn new(now_ms: f64, settings: IdentitySettings) -> Result<Identity, IdentityError> {
        let mut authorizer = Authorizer::default();
        authorizer.configure(&settings.roles, &settings.tenants)?;
        Ok(Identity {
            keyring: Keyring::new(settings.root_keys.clone(), settings.max_key_set_age_ms),
            authorizer,
            signature_budget: SignatureBudget::new(
                now_ms,
                settings.signatures_per_edge_per_s,
                settings.signatures_per_s,
            ),
            token_digester: TokenDigester::new(settings.seed),
            verified_tokens: VerifiedTokens::new(settings.cached_tokens),
            rejected_tokens: RejectedTokens::new(REJECTED_PER_VERIFIED * settings.cached_tokens),
            signatures_checked: 0,
            settings,
        })
    }

    /// Replaces the settings. Keys, permits and tenant numbers stay, and so do the seed and the cache's capacity.
    ///
    /// # Errors
    /// [`IdentityError`] if there are too many roles or tenants. Nothing changes then.
    pub fn reconfigure(&mut self, settings: IdentitySettings) -> Result<(), IdentityError> {
        self.authorizer
            .configure(&settings.roles, &settings.tenants)?;
        self.keyring
            .reconfigure(settings.root_keys.clone(), settings.max_key_set_age_ms);
        self.signature_budget.reconfigure(
            settings.signatures_per_edge_per_s,
            settings.signatures_per_s,
        );
        self.rejected_tokens.clear();
        self.settings = settings;
        Ok(())
    }

    /// Verifies a signed key set and adopts it. After that, callers of queued requests must be checked again with
    /// [`Identity::revocation`].
    ///
    /// # Errors
    /// The reason for which the set is rejected. The last adopted one stays then.
    pub fn offer_key_set(&mut self, now_ms: f64, set: &[u8]) -> Result<KeySetOutcome, KeySetError> {
        let outcome = self.keyring.offer_key_set(now_ms, set)?;
        if outcome == KeySetOutcome::Adopted && !failpoint::is_active(Failpoint::Cache) {
            self.rejected_tokens.clear();
            let keyring = &self.keyring;
            self.verified_tokens.retain(|caller| {
                let has_key = caller
                    .key
                    .as_ref()
                    .is_none_or(|key| keyring.verifying_key(key).is_some());
                has_key && keyring.check_revocations(&caller.claims).is_ok()
            });
        }
        Ok(outcome)
    }

    /// The state to transfer to another process: tenant numbers and the keyring. Quota levels are not part of it, which
    /// costs one burst at most; permits are transferred with their requests.
    pub fn export_state(&self) -> IdentityState {
        IdentityState {
            tenants: self.authorizer.tenant_names(),
            keyring: self.keyring.export_state(),
        }
    }

    /// Takes over the state of another process. To be called before any request.
    ///
    /// # Errors
    /// [`IdentityError`] if the key set is rejected, or there are too many tenants.
    pub fn restore_state(
        &mut self,
        now_ms: f64,
        state: IdentityState,
    ) -> Result<(), IdentityError> {
        let mut authorizer = Authorizer::default();
        authorizer.restore_tenant_names(&state.tenants);
        authorizer.configure(&self.settings.roles, &self.settings.tenants)?;
        self.authorizer = authorizer;
        self.keyring.restore_state(now_ms, state.keyring)?;
        Ok(())
    }

    /// The tenant number and the role name of a permit, to transfer it to another process.
    pub fn permit_owner(&self, permit: &ConcurrencyPermit) -> (u32, String) {
        self.authorizer.permit_owner(permit)
    }

    /// Issues the permit of a request that another process had authorized, see [`Authorizer::reacquire`].
    pub fn reacquire(&mut self, owner: &(u32, String)) -> Option<ConcurrencyPermit> {
        self.authorizer.reacquire(owner)
    }

    /// The keyring.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// The tenants, and their quotas in use.
    pub fn authorizer(&self) -> &Authorizer {
        &self.authorizer
    }

    /// The number of signatures that were verified so far.
    pub fn signatures_checked(&self) -> u64 {
        self.signatures_checked
    }

    /// The number of verified tokens in the cache.
    pub fn cached_token_count(&self) -> usize {
        self.verified_tokens.len()
    }

    /// Authenticates the caller of a request. A token that was denied before costs a digest and a look-up, any other at
    /// most one signature within the budget of its edge node.
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

    /// Verifies a token that is not cached. Every check that needs no signature comes first: a forged token would be
    /// denied anyway, and a genuine one tells the truth about itself.
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

    /// The caller that the connection's certificate stands for. It is not cached: it costs no signature, and changed
    /// settings apply at once.
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

    /// Checks everything but the signature, and returns the tenant's number. Revocations come first: they apply even if
    /// the key set is too old to accept anything. A certificate needs a usable key set, too, as it contains the
    /// revocations of certificates.
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

    /// The reason for which an authenticated caller is revoked by now, if it is. Expiry and the end of an overlap do not
    /// count: they are checked once, when the request is received.
    pub fn revocation(&self, caller: &Caller) -> Option<DenialReason> {
        let is_key_revoked = caller
            .key
            .as_ref()
            .is_some_and(|key| self.keyring.is_key_revoked(key));
        if is_key_revoked {
            return Some(DenialReason::KeyRevoked);
        }
        self.keyring.check_revocations(&caller.claims).err()
    }

    /// Decides whether the caller may run this request now. The permit must be given to [`Identity::release`] once the
    /// request has ended; a repeat has none.
    ///
    /// # Errors
    /// The reason for which the request is not permitted.
    pub fn authorize(
        &mut self,
        now_ms: f64,
        caller: &Caller,
        request: &AccessRequest,
    ) -> Result<Option<ConcurrencyPermit>, Denial> {
        self.authorizer
            .authorize(now_ms, caller.tenant, &caller.claims.roles, request)
    }

    /// The index of the tenant of the scheduling parameters that this tenant's requests count for.
    pub fn scheduling_tenant(&self, tenant: u32) -> usize {
        self.authorizer.scheduling_tenant(tenant)
    }

    /// Takes back the permit of a request that has ended.
    pub fn release(&mut self, permit: ConcurrencyPermit) {
        self.authorizer.release(permit);
    }
}
