//! The gate: who is calling, and whether he may. [`asterdale_identity`] decides; here its verdicts become
//! replies, counts and lines. Where identity is off nobody is asked, and nothing is kept.

use std::sync::Arc;

use asterdale_identity::keyring::KeySetOutcome;
use asterdale_identity::{
    Caller, ConcurrencyPermit, Denial, DenialReason, DenialStatus as Said, Identity,
    IdentitySettings,
};
use crossbeam_channel::Sender;

use crate::counters::Counters;
use crate::log::{Kind, Log};
use crate::message::{KeyRefresh, Reply};

/// Advice to a caller that can't be judged now, in milliseconds: about when a set may have come.
const AGAIN: f64 = 1000.0;

/// The gate.
pub struct Callers {
    pub(crate) identity: Option<Identity>,
    counters: Arc<Counters>,
    /// Hears of keys that no set has held.
    pub(crate) issuer: Option<Sender<KeyRefresh>>,
}

impl Callers {
    /// A gate that asks this; an open one where there is none.
    pub fn new(
        identity: Option<Identity>,
        issuer: Option<Sender<KeyRefresh>>,
        counters: &Arc<Counters>,
    ) -> Callers {
        Callers {
            identity,
            issuer,
            counters: counters.clone(),
        }
    }

    /// The start file was read again. A gate can't be opened or closed that way: what it let in would lose its
    /// tenant, or have none.
    pub fn retold(&mut self, facts: Option<Box<IdentitySettings>>, log: &Log) {
        let why = match (&mut self.identity, facts) {
            (Some(identity), Some(facts)) => match identity.reconfigure(*facts) {
                Ok(()) => return,
                Err(error) => error.to_string(),
            },
            (None, None) => return,
            _ => "identity is turned on or off by a start only".to_owned(),
        };
        self.counters.reloads_failed.add();
        slog::error!(log.lines, "identity: what the start file says of it is passed over"; "why" => why);
    }

    /// Offers a set of keys; `true` if it is another one than before.
    pub fn offer(&mut self, now: f64, set: &[u8], log: &Log) -> bool {
        static REFUSED: Kind = Kind::new();
        let Some(identity) = &mut self.identity else {
            return false;
        };
        match identity.offer_key_set(now, set) {
            Ok(KeySetOutcome::Adopted) => {
                self.counters.keys_adopted.add();
                slog::info!(log.lines, "identity: a set of keys is adopted"; "seq" => identity.keyring().sequence());
                true
            }
            Ok(KeySetOutcome::Unchanged) => false,
            Err(why) => {
                self.counters.keys_refused.add();
                if log.may(&REFUSED) {
                    slog::error!(log.lines, "identity: a set of keys is refused, the last one stays";
                        "why" => ?why, "seq" => identity.keyring().sequence());
                }
                false
            }
        }
    }

    /// What a process that goes on needs.
    #[cfg(feature = "hot-restart")]
    pub fn pass(&self) -> Option<asterdale_identity::IdentityState> {
        self.identity.as_ref().map(Identity::export_state)
    }

    /// Goes on where another process stood. Nothing may have been asked here yet.
    #[cfg(feature = "hot-restart")]
    pub fn go_on(
        &mut self,
        now: f64,
        passed: asterdale_identity::IdentityState,
    ) -> Result<(), String> {
        match &mut self.identity {
            Some(identity) => identity
                .restore_state(now, passed)
                .map_err(|error| error.to_string()),
            None => Err("identity is on in the state, and off in the start file".to_owned()),
        }
    }

    /// Whose place this is, and by which role.
    #[cfg(feature = "hot-restart")]
    pub fn place(&self, seat: &ConcurrencyPermit) -> Option<(u32, String)> {
        self.identity
            .as_ref()
            .map(|identity| identity.permit_owner(seat))
    }

    /// Takes up a place that a task has had already.
    #[cfg(feature = "hot-restart")]
    pub fn replace(&mut self, place: &(u32, String)) -> Option<ConcurrencyPermit> {
        self.identity.as_mut()?.reacquire(place)
    }

    /// The customer that a caller's requests count for. Where callers are known that is by what they have proven, and
    /// not by what the edge node says.
    pub fn customer(&self, caller: Option<&Caller>, said: u32) -> usize {
        match (&self.identity, caller) {
            (Some(identity), Some(caller)) => identity.scheduling_tenant(caller.tenant),
            _ => said as usize,
        }
    }

    /// A task is over: its place is given back here, and nowhere else.
    pub fn leave(&mut self, seat: Option<ConcurrencyPermit>) {
        if let (Some(identity), Some(seat)) = (&mut self.identity, seat) {
            identity.release(seat);
        }
    }

    /// Counts what is kept.
    pub fn count(&self) {
        if let Some(identity) = &self.identity {
            let signatures = identity.signatures_checked() as usize;
            self.counters.signatures.set(signatures);
            self.counters.tokens_kept.set(identity.cached_token_count());
        }
    }

    pub(crate) fn reply(&self, denied: Denial) -> Reply {
        let kind = denied.reason.status();
        match kind {
            Said::Unauthenticated => self.counters.callers_unknown.add(),
            Said::Forbidden => self.counters.callers_forbidden.add(),
            Said::QuotaExceeded => self.counters.callers_over.add(),
            Said::Unavailable => self.counters.callers_unable.add(),
        }
        let wait_ms = match denied.reason {
            DenialReason::NoUsableKeySet => AGAIN,
            DenialReason::RateQuota | DenialReason::SignatureBudget => {
                denied.retry_after_ms.clamp(1.0, 60_000.0).ceil()
            }
            _ => 0.0,
        };
        Reply::Denied {
            kind,
            wait_ms: wait_ms as u64,
        }
    }
}
