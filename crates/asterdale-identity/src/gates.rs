//! The two gates, put together: who is calling, and whether the caller may have this task.

use std::sync::Arc;

use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use crate::authorization::{Authorizer, Denial, Role, Tenant};
use crate::budget::SignatureBudget;
use crate::cache::{RejectedTokens, TokenDigester, VerifiedTokens};
use crate::failpoint::{self, Failpoint};
use crate::keyring::{KeySetError, KeySetOutcome, Keyring, Phase};
use crate::token::{self, Claims};

use crate::denial::{Caller, DenialReason};

pub use crate::authorization::ConcurrencyPermit;

/// What identity is told: all of it can change while the process serves, but for the seed and the cache.
#[derive(Clone, Debug)]
pub struct IdentitySettings {
    /// For digests that nobody outside can foresee.
    pub seed: u64,
    /// `iss` of the tokens that are taken.
    pub issuer: String,
    /// `aud` of them.
    pub audience: String,
    /// Keys that may sign sets of keys.
    pub root_keys: Vec<VerifyingKey>,
    /// A set serves for so long after it was signed, in milliseconds; infinite for ever.
    pub max_key_set_age_ms: f64,
    /// How far clocks may be apart, in milliseconds.
    pub clock_skew_ms: f64,
    /// How many proven tokens are remembered.
    pub cached_tokens: usize,
    /// Signatures a second that may be checked for one edge node.
    pub signatures_per_edge_per_s: f64,
    /// And for all.
    pub signatures_per_s: f64,
    /// The roles.
    pub roles: Vec<Role>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// For whom certificates speak.
    pub certificate_mappings: Vec<CertificateMapping>,
}

/// What comes with a task.
#[derive(Clone, Copy, Debug)]
pub struct Credentials<'a> {
    /// The token, if there is one.
    pub token: Option<&'a [u8]>,
    /// The certificate of the connection, if it has one: it speaks for what comes without a token.
    pub certificate: Option<&'a Certificate>,
    /// The number of the edge node.
    pub edge_node: u32,
    /// When it came to the machine, by the clock of `now`: never later than now, and no earlier than what the
    /// host itself has seen allows.
    pub received_ms: f64,
}

/// What a process that goes on with an identity needs beside the start file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IdentityState {
    tenants: Vec<String>,
    #[serde(rename = "ring")]
    keyring: crate::keyring::KeyringState,
}

/// A certificate that a client has shown, and that was good when it did: its chain and its time were checked by
/// whoever did the handshake.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Its names: `dns:`, `uri:` or `email:` and the name.
    pub names: Vec<String>,
    /// It is valid from then on, in Unix milliseconds.
    pub not_before_ms: f64,
    /// Until then.
    pub not_after_ms: f64,
    /// SHA-256 over it, in hexadecimal: the id by which it can be revoked, as a token by its own.
    pub sha256_hex: String,
}

/// For whom a certificate with a certain name speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateMapping {
    /// The name, as in [`Certificate::names`].
    pub name: String,
    /// The tenant.
    pub tenant: String,
    /// The subject.
    pub subject: String,
    /// What it is there for.
    pub roles: Vec<String>,
}

/// Who is calling, and what they may.
pub struct Identity {
    settings: IdentitySettings,
    keyring: Keyring,
    authorizer: Authorizer,
    signature_budget: SignatureBudget,
    token_digester: TokenDigester,
    verified_tokens: VerifiedTokens,
    rejected_tokens: RejectedTokens,
    /// Signatures checked so far.
    signatures_checked: u64,
}

/// Places for refused tokens, for each one for proven tokens: a flood has more tokens than there are customers.
const REJECTED_PER_VERIFIED: usize = 2;

impl Identity {
    /// Without keys: all tasks get [`Why::NoKeys`] until a set is offered.
    pub fn new(now: f64, facts: IdentitySettings) -> Result<Identity, String> {
        let mut rights = Authorizer::default();
        rights.configure(&facts.roles, &facts.tenants)?;
        Ok(Identity {
            keyring: Keyring::new(facts.root_keys.clone(), facts.max_key_set_age_ms),
            authorizer: rights,
            signature_budget: SignatureBudget::new(
                now,
                facts.signatures_per_edge_per_s,
                facts.signatures_per_s,
            ),
            token_digester: TokenDigester::new(facts.seed),
            verified_tokens: VerifiedTokens::new(facts.cached_tokens),
            rejected_tokens: RejectedTokens::new(REJECTED_PER_VERIFIED * facts.cached_tokens),
            signatures_checked: 0,
            settings: facts,
        })
    }

    /// The start file was read again. Keys, places and numbers of tenants stay.
    pub fn reconfigure(&mut self, facts: IdentitySettings) -> Result<(), String> {
        self.authorizer.configure(&facts.roles, &facts.tenants)?;
        self.keyring
            .reconfigure(facts.root_keys.clone(), facts.max_key_set_age_ms);
        self.signature_budget
            .reconfigure(facts.signatures_per_edge_per_s, facts.signatures_per_s);
        self.rejected_tokens.clear();
        self.settings = facts;
        Ok(())
    }

    /// Offers a set of keys. Once it is adopted, callers that are held must be looked at anew, see
    /// [`Identity::revoked`].
    pub fn offer_key_set(&mut self, now: f64, set: &[u8]) -> Result<KeySetOutcome, KeySetError> {
        let offered = self.keyring.offer_key_set(now, set)?;
        if offered == KeySetOutcome::Adopted && !failpoint::is_active(Failpoint::Cache) {
            self.rejected_tokens.clear();
            let ring = &self.keyring;
            self.verified_tokens.retain(|caller| {
                let known = caller
                    .key
                    .as_ref()
                    .is_none_or(|key| ring.verifying_key(key).is_some());
                known && ring.check_revocations(&caller.claims).is_ok()
            });
        }
        Ok(offered)
    }

    /// What a process that goes on needs: numbers of tenants, and what the ring knows. Levels of quotas are not
    /// among it, which costs one burst at most; places are taken again task by task.
    pub fn export_state(&self) -> IdentityState {
        IdentityState {
            tenants: self.authorizer.tenant_names(),
            keyring: self.keyring.export_state(),
        }
    }

    /// Goes on where another process stood. To be done before anything is asked.
    pub fn restore_state(&mut self, now: f64, passed: IdentityState) -> Result<(), String> {
        let mut rights = Authorizer::default();
        rights.restore_tenant_names(&passed.tenants);
        rights.configure(&self.settings.roles, &self.settings.tenants)?;
        self.authorizer = rights;
        self.keyring
            .restore_state(now, passed.keyring)
            .map_err(|why| format!("the set of keys: {why:?}"))
    }

    /// Whose place this is, and by which role.
    pub fn permit_owner(&self, seat: &ConcurrencyPermit) -> (u32, String) {
        self.authorizer.permit_owner(seat)
    }

    /// Takes up a place that a task has had already.
    pub fn reacquire(&mut self, place: &(u32, String)) -> Option<ConcurrencyPermit> {
        self.authorizer.reacquire(place)
    }

    /// The keys.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// What tenants have taken up.
    pub fn authorizer(&self) -> &Authorizer {
        &self.authorizer
    }

    /// Signatures checked, and proven tokens remembered.
    pub fn cost(&self) -> (u64, usize) {
        (self.signatures_checked, self.verified_tokens.len())
    }

    /// Who is calling. What is refused for good costs a digest and a look-up when it comes again; what is
    /// refused otherwise costs at most one signature, within what its edge node may cost.
    pub fn authenticate(&mut self, now: f64, ask: Credentials<'_>) -> Result<Arc<Caller>, Denial> {
        let Some(text) = ask.token else {
            return self
                .authenticate_certificate(now, ask)
                .map_err(Denial::from);
        };
        // What lay unread is judged by when it came; but no stamp lengthens a life by more than the skew.
        let at = ask
            .received_ms
            .clamp(now - self.settings.clock_skew_ms, now);
        if text.len() > token::MAX_TOKEN_BYTES {
            return Err(DenialReason::Malformed.into());
        }
        let digest = self.token_digester.digest(text);
        if let Some(why) = self.rejected_tokens.get(&digest) {
            return Err(why.into());
        }
        let verdict = match self.verified_tokens.get(&digest) {
            Some(caller) if failpoint::is_active(Failpoint::Cache) => Ok(caller.clone()),
            Some(caller) => {
                let caller = caller.clone();
                self.check_claims(now, at, caller.key.as_deref(), &caller.claims)
                    .map(|_| caller)
                    .map_err(Denial::from)
            }
            None => self.verify_token(now, at, text, ask.edge_node),
        };
        match &verdict {
            Ok(caller) => {
                if self.verified_tokens.get(&digest).is_none() {
                    self.verified_tokens.insert(digest, caller.clone());
                }
            }
            Err(denied) if denied.reason.lasts_until_next_key_set() => {
                self.rejected_tokens.insert(digest, denied.reason)
            }
            Err(_) => {}
        }
        verdict
    }

    /// A token that was not proven before. All that can refuse it without its signature comes first: if it was
    /// forged it would be refused anyway, and if not, it says the truth about itself.
    fn verify_token(
        &mut self,
        now: f64,
        at: f64,
        text: &[u8],
        edge: u32,
    ) -> Result<Arc<Caller>, Denial> {
        let token = token::parse(text)?;
        let tenant = self.check_claims(now, at, Some(&token.header.kid), &token.claims)?;
        let key = *self
            .keyring
            .verifying_key(&token.header.kid)
            .ok_or(DenialReason::KeyUnknown)?;
        self.signature_budget
            .try_take(now, edge)
            .map_err(|wait_ms| Denial {
                reason: DenialReason::SignatureBudget,
                retry_after_ms: wait_ms,
            })?;
        self.signatures_checked += 1;
        let right = token.is_signed_by(&key);
        self.signature_budget.record_result(now, edge, right);
        if !right {
            return Err(DenialReason::BadSignature.into());
        }
        Ok(Arc::new(Caller {
            tenant,
            key: Some(token.header.kid),
            claims: token.claims,
        }))
    }

    /// For whom the connection's certificate speaks. Its caller is made anew for each task: it costs no
    /// signature, and what the start file says of it holds at once.
    fn authenticate_certificate(
        &self,
        now: f64,
        ask: Credentials<'_>,
    ) -> Result<Arc<Caller>, DenialReason> {
        let shown = ask.certificate.ok_or(DenialReason::MissingCredentials)?;
        let named = self
            .settings
            .certificate_mappings
            .iter()
            .find(|named| shown.names.contains(&named.name));
        let named = named.ok_or(DenialReason::UnknownCertificate)?;
        let claims = Claims {
            iss: self.settings.issuer.clone(),
            aud: token::Audience::One(self.settings.audience.clone()),
            sub: named.subject.clone(),
            tenant: named.tenant.clone(),
            roles: named.roles.clone(),
            exp: shown.not_after_ms / 1000.0,
            nbf: Some(shown.not_before_ms / 1000.0),
            iat: None,
            jti: shown.sha256_hex.clone(),
        };
        let at = ask
            .received_ms
            .clamp(now - self.settings.clock_skew_ms, now);
        let tenant = self.check_claims(now, at, None, &claims)?;
        Ok(Arc::new(Caller {
            tenant,
            key: None,
            claims,
        }))
    }

    /// Whether somebody with this key and these claims passes, the signature aside; the tenant's number.
    fn check_claims(
        &self,
        now: f64,
        at: f64,
        key: Option<&str>,
        claims: &Claims,
    ) -> Result<u32, DenialReason> {
        let skew = self.settings.clock_skew_ms;
        let passes = key.map_or(Ok(()), |key| self.keyring.check_key(key, at, skew));
        // Revocations hold even of a set that is too old to let anybody in.
        match passes {
            Err(DenialReason::KeyRevoked) => return Err(DenialReason::KeyRevoked),
            _ => self.keyring.check_revocations(claims)?,
        }
        // Of certificates, too: whoever has no set does not know which are revoked.
        if !self.keyring.has_usable_key_set(now) {
            return Err(DenialReason::NoUsableKeySet);
        }
        passes?;
        if at >= claims.exp * 1000.0 + skew {
            return Err(DenialReason::Expired);
        }
        if claims.nbf.is_some_and(|from| at < from * 1000.0 - skew) {
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

    /// Whether this caller is revoked by now. What only lapses (a token, an overlap) is judged at arrival, once.
    pub fn revocation(&self, caller: &Caller) -> Option<DenialReason> {
        let phase = caller
            .key
            .as_ref()
            .and_then(|key| self.keyring.phase(key, 0.0));
        if phase == Some(Phase::Revoked) {
            return Some(DenialReason::KeyRevoked);
        }
        self.keyring.check_revocations(&caller.claims).err()
    }

    /// Whether the caller may have this task now. `repeat` if it repeats one that is known here. A seat must be
    /// given back by [`Identity::leave`] once the task is over; a repeat has none.
    pub fn authorize(
        &mut self,
        now: f64,
        caller: &Caller,
        stage: usize,
        hint_ms: Option<f64>,
        repeat: bool,
    ) -> Result<Option<ConcurrencyPermit>, Denial> {
        self.authorizer.authorize(
            now,
            caller.tenant,
            &caller.claims.roles,
            (stage, hint_ms),
            repeat,
        )
    }

    /// The customer of the settings that this tenant's tasks count for.
    pub fn scheduling_tenant(&self, tenant: u32) -> usize {
        self.authorizer.scheduling_tenant(tenant)
    }

    /// A task that had a seat is over.
    pub fn release(&mut self, seat: ConcurrencyPermit) {
        self.authorizer.release(seat);
    }
}
