//! The gate: who is calling, and whether he may. [`asterdale_identity`] decides; here its verdicts become
//! replies, counts and lines. Where identity is off nobody is asked, and nothing is kept.

use std::sync::Arc;

use asterdale_identity::keyring::Offered;
use asterdale_identity::rights::Denied;
use asterdale_identity::{Caller, Facts, Identity, Kind as Said, Seat, Why};
use crossbeam_channel::Sender;

use crate::counters::Counters;
use crate::log::{Kind, Log};
use crate::message::{KeyRefresh, Reply};

/// Advice to a caller that can't be judged now, in milliseconds: about when a set may have come.
const AGAIN: f64 = 1000.0;

/// The gate.
pub struct IdentityGate {
    pub(crate) identity: Option<Identity>,
    counters: Arc<Counters>,
    /// Hears of keys that no set has held.
    pub(crate) issuer: Option<Sender<KeyRefresh>>,
}

impl IdentityGate {
    /// A gate that asks this; an open one where there is none.
    pub fn new(
        identity: Option<Identity>,
        issuer: Option<Sender<KeyRefresh>>,
        counters: &Arc<Counters>,
    ) -> IdentityGate {
        IdentityGate {
            identity,
            issuer,
            counters: counters.clone(),
        }
    }

    /// The start file was read again. A gate can't be opened or closed that way: what it let in would lose its
    /// tenant, or have none.
    pub fn reload(&mut self, facts: Option<Box<Facts>>, log: &Log) {
        let why = match (&mut self.identity, facts) {
            (Some(identity), Some(facts)) => match identity.retold(*facts) {
                Ok(()) => return,
                Err(why) => why,
            },
            (None, None) => return,
            _ => "identity is turned on or off by a start only".to_owned(),
        };
        self.counters.reloads_failed.add();
        slog::error!(log.lines, "identity: what the start file says of it is passed over"; "why" => why);
    }

    /// Offers a set of keys; `true` if it is another one than before.
    pub fn adopt_key_set(&mut self, now: f64, set: &[u8], log: &Log) -> bool {
        static REFUSED: Kind = Kind::new();
        let Some(identity) = &mut self.identity else {
            return false;
        };
        match identity.offer(now, set) {
            Ok(Offered::Adopted) => {
                self.counters.keys_adopted.add();
                slog::info!(log.lines, "identity: a set of keys is adopted"; "seq" => identity.ring().seq());
                true
            }
            Ok(Offered::Same) => false,
            Err(why) => {
                self.counters.keys_refused.add();
                if log.allows(&REFUSED) {
                    slog::error!(log.lines, "identity: a set of keys is refused, the last one stays";
                        "why" => ?why, "seq" => identity.ring().seq());
                }
                false
            }
        }
    }

    /// What a process that goes on needs.
    #[cfg(feature = "hot-restart")]
    pub fn export(&self) -> Option<asterdale_identity::Passed> {
        self.identity.as_ref().map(Identity::pass)
    }

    /// Goes on where another process stood. Nothing may have been asked here yet.
    #[cfg(feature = "hot-restart")]
    pub fn import(&mut self, now: f64, passed: asterdale_identity::Passed) -> Result<(), String> {
        match &mut self.identity {
            Some(identity) => identity.continue_from(now, passed),
            None => Err("identity is on in the state, and off in the start file".to_owned()),
        }
    }

    /// Whose place this is, and by which role.
    #[cfg(feature = "hot-restart")]
    pub fn seat_key(&self, seat: &Seat) -> Option<(u32, String)> {
        self.identity.as_ref().map(|identity| identity.place(seat))
    }

    /// Takes up a place that a task has had already.
    #[cfg(feature = "hot-restart")]
    pub fn restore_seat(&mut self, place: &(u32, String)) -> Option<Seat> {
        self.identity.as_mut()?.replace(place)
    }

    /// The customer that a caller's requests count for. Where callers are known that is by what they have proven, and
    /// not by what the edge node says.
    pub fn tenant_index(&self, caller: Option<&Caller>, said: u32) -> usize {
        match (&self.identity, caller) {
            (Some(identity), Some(caller)) => identity.customer(caller.tenant),
            _ => said as usize,
        }
    }

    /// A task is over: its place is given back here, and nowhere else.
    pub fn release_seat(&mut self, seat: Option<Seat>) {
        if let (Some(identity), Some(seat)) = (&mut self.identity, seat) {
            identity.leave(seat);
        }
    }

    /// Counts what is kept.
    pub fn update_counters(&self) {
        if let Some(identity) = &self.identity {
            let (checked, kept) = identity.cost();
            self.counters.signatures.set(checked as usize);
            self.counters.tokens_cached.set(kept);
        }
    }

    pub(crate) fn denial_reply(&self, denied: Denied) -> Reply {
        let kind = denied.why.kind();
        match kind {
            Said::Unknown => self.counters.callers_unknown.add(),
            Said::Forbidden => self.counters.callers_forbidden.add(),
            Said::Over => self.counters.callers_over.add(),
            Said::Unable => self.counters.callers_unable.add(),
        }
        let wait_ms = match denied.why {
            Why::NoKeys => AGAIN,
            Why::Rate | Why::Busy => denied.wait_ms.clamp(1.0, 60_000.0).ceil(),
            _ => 0.0,
        };
        Reply::Denied {
            kind,
            retry_after_ms: wait_ms as u64,
        }
    }
}
