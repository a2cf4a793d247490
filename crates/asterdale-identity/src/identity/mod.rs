//! The two checks that a request passes: authentication of its caller, then authorization. The steps of authentication
//! are in [`authentication`].

mod authentication;

use serde::{Deserialize, Serialize};

use crate::authorization::{AccessRequest, Authorizer, ConcurrencyPermit};
use crate::caller::Caller;
use crate::denial::{Denial, DenialReason};
use crate::error::IdentityError;
use crate::failpoint::{self, Failpoint};
use crate::keyring::{KeySetError, KeySetOutcome, Keyring, KeyringState};
use crate::settings::IdentitySettings;
use crate::signature_budget::SignatureBudget;
use crate::token_cache::{RejectedTokens, TokenDigester, VerifiedTokens};

/// The number of slots for rejected tokens per entry of the cache of verified tokens. A flood has more tokens than
/// there are callers.
const REJECTED_PER_VERIFIED: usize = 2;

/// The state that a hot restart transfers. Its field names are part of the stored form.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IdentityState {
    /// The names of the tenants, indexed by tenant number.
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

impl Identity {
    /// An identity without keys. Every request is denied with [`DenialReason::NoUsableKeySet`] until a key set is
    /// adopted.
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

    /// Replaces the settings. Keys, permits and tenant numbers are kept, and so are the seed and the capacity of the
    /// cache.
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

    /// The state to transfer to another process: tenant numbers and the keyring. The levels of rate quotas are not part
    /// of it, so that each quota admits at most one additional burst. Permits are transferred with their requests.
    pub fn export_state(&self) -> IdentityState {
        IdentityState {
            tenants: self.authorizer.tenant_names(),
            keyring: self.keyring.export_state(),
        }
    }

    /// Restores the state of another process. Must be called before any request is handled.
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

    /// The reason for which an authenticated caller has been revoked since, if it has. Expiry and the end of a key's
    /// overlap are not considered: they are checked once, when the request is received.
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

    /// Decides whether the caller may run this request now. The permit must be passed to [`Identity::release`] once the
    /// request has ended; a repeat gets none.
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

    /// The index in the scheduling parameters of the tenant that this tenant's requests are counted for.
    pub fn scheduling_tenant(&self, tenant: u32) -> usize {
        self.authorizer.scheduling_tenant(tenant)
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, permit: ConcurrencyPermit) {
        self.authorizer.release(permit);
    }
}
