//! The identity gate: turns the verdicts of [`asterdale_identity`] into replies, counters and log lines. Where identity
//! is off, every caller is accepted and nothing is stored.

use std::sync::Arc;

use asterdale_identity::keyring::KeySetOutcome;
use asterdale_identity::{
    Caller, ConcurrencyPermit, Denial, DenialReason, DenialStatus, Identity, IdentitySettings,
};
use crossbeam_channel::Sender;

use crate::counters::Counters;
use crate::log::{error_chain, Log, LogLimit};
use crate::message::{KeyRefresh, Reply};

/// The retry delay sent to a caller that cannot be authenticated for lack of keys, in milliseconds: by then a key set
/// may have arrived.
const NO_KEYS_RETRY_AFTER_MS: f64 = 1000.0;
/// The longest retry delay sent to a caller over a quota, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// The identity policy, if identity is on, with the counters of its verdicts.
pub struct IdentityGate {
    pub(crate) identity: Option<Identity>,
    counters: Arc<Counters>,
    /// Asks the issuer's actor for a newer set when a token names a key that no set has contained.
    pub(crate) key_refresh: Option<Sender<KeyRefresh>>,
}

impl IdentityGate {
    /// A gate with this identity policy; without one it accepts every caller.
    pub fn new(
        identity: Option<Identity>,
        key_refresh: Option<Sender<KeyRefresh>>,
        counters: &Arc<Counters>,
    ) -> IdentityGate {
        IdentityGate {
            identity,
            counters: counters.clone(),
            key_refresh,
        }
    }

    /// Applies the identity settings of a reloaded start file. Identity cannot be turned on or off by a reload:
    /// requests in flight would lose their tenant, or have none.
    pub fn reload(&mut self, settings: Option<Box<IdentitySettings>>, log: &Log) {
        let error = match (&mut self.identity, settings) {
            (Some(identity), Some(settings)) => match identity.reconfigure(*settings) {
                Ok(()) => return,
                Err(error) => error_chain(&error),
            },
            (None, None) => return,
            _ => "identity can only be turned on or off by a restart".to_owned(),
        };
        self.counters.reloads_failed.add();
        slog::error!(log.lines, "identity: reload rejected"; "error" => error);
    }

    /// Offers a key set to the identity policy. Returns `true` if it replaced the previous one.
    pub fn adopt_key_set(&mut self, now: f64, set: &[u8], log: &Log) -> bool {
        static REJECTED: LogLimit = LogLimit::new();
        let Some(identity) = &mut self.identity else {
            return false;
        };
        match identity.offer_key_set(now, set) {
            Ok(KeySetOutcome::Adopted) => {
                self.counters.keys_adopted.add();
                slog::info!(log.lines, "identity: key set adopted"; "sequence" => identity.keyring().sequence());
                true
            }
            Ok(KeySetOutcome::Unchanged) => false,
            Err(error) => {
                self.counters.keys_refused.add();
                if log.allows(&REJECTED) {
                    slog::error!(log.lines, "identity: key set rejected, the last one stays in use";
                        "error" => ?error, "sequence" => identity.keyring().sequence());
                }
                false
            }
        }
    }

    /// The state that another process needs to continue.
    #[cfg(feature = "hot-restart")]
    pub fn export(&self) -> Option<asterdale_identity::IdentityState> {
        self.identity.as_ref().map(Identity::export_state)
    }

    /// The identity policy, for restoring another process's state before the first verdict.
    #[cfg(feature = "hot-restart")]
    pub fn identity_mut(&mut self) -> Option<&mut Identity> {
        self.identity.as_mut()
    }

    /// The tenant and the role whose quota this permit counts against.
    #[cfg(feature = "hot-restart")]
    pub fn permit_owner(&self, permit: &ConcurrencyPermit) -> Option<(u32, String)> {
        self.identity
            .as_ref()
            .map(|identity| identity.permit_owner(permit))
    }

    /// Acquires the permit that a transferred task had.
    #[cfg(feature = "hot-restart")]
    pub fn reacquire_permit(&mut self, permit_owner: &(u32, String)) -> Option<ConcurrencyPermit> {
        self.identity.as_mut()?.reacquire(permit_owner)
    }

    /// The tenant index that the policies use for a caller's requests. Where callers are authenticated it is the
    /// caller's own tenant, whatever tenant the edge node claims.
    pub fn tenant_index(&self, caller: Option<&Caller>, claimed_tenant: u32) -> usize {
        match (&self.identity, caller) {
            (Some(identity), Some(caller)) => identity.scheduling_tenant(caller.tenant),
            _ => claimed_tenant as usize,
        }
    }

    /// Releases the permit of a task that is over. Permits are released here and nowhere else.
    pub fn release_permit(&mut self, permit: Option<ConcurrencyPermit>) {
        if let (Some(identity), Some(permit)) = (&mut self.identity, permit) {
            identity.release(permit);
        }
    }

    /// Sets the counters of checked signatures and cached tokens.
    pub fn update_counters(&self) {
        if let Some(identity) = &self.identity {
            let signatures = identity.signatures_checked() as usize;
            self.counters.signatures.set(signatures);
            self.counters
                .tokens_cached
                .set(identity.cached_token_count());
        }
    }

    /// Counts a denied caller. Returns the reply to it.
    pub(crate) fn denial_reply(&self, denied: Denial) -> Reply {
        let kind = denied.reason.status();
        match kind {
            DenialStatus::Unauthenticated => self.counters.callers_unknown.add(),
            DenialStatus::Forbidden => self.counters.callers_forbidden.add(),
            DenialStatus::QuotaExceeded => self.counters.callers_over.add(),
            DenialStatus::Unavailable => self.counters.callers_unable.add(),
        }
        let retry_after_ms = match denied.reason {
            DenialReason::NoUsableKeySet => NO_KEYS_RETRY_AFTER_MS,
            DenialReason::RateQuota | DenialReason::SignatureBudget => {
                denied.retry_after_ms.clamp(1.0, MAX_RETRY_AFTER_MS).ceil()
            }
            _ => 0.0,
        };
        Reply::Denied {
            kind,
            retry_after_ms: retry_after_ms as u64,
        }
    }
}
