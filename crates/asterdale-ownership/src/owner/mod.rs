//! One owner: its epoch and lease, its requests to the replicas, and their answers.
//!
//! It asks the replica that it believes to lead, and repeats every command until it has an answer: all commands can be
//! executed twice. It acts under its lease only until [`Owner::lease_until_ms`], which is before the replicas let the
//! lease expire.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;

use crate::message::wire::{Answers, Command, CommandBatch, KeyedRequest, Verdict};
use crate::message::{self, socket_addr, CommandKind, Member, MessageBody};
use crate::settings::OwnershipSettings;
use crate::{Action, OwnershipEvent};

mod lease;
mod requests;

use lease::Renewal;
use requests::{PendingRelease, PendingRequest};

/// A request of an owner to the replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipRequest {
    /// Asks what is known of a key, for a body with this digest.
    Lookup {
        /// The key.
        key: Vec<u8>,
        /// Digest of the body.
        body_digest: u64,
    },
    /// Claims a request before it is started.
    Claim(KeyedRequest),
    /// Records the outcome of a claim.
    Complete {
        /// The key.
        key: Vec<u8>,
        /// The fencing token of the claim.
        fence: u64,
        /// The result, if there is one that can be returned.
        result: Option<Vec<u8>>,
    },
    /// Hands over a request that was queued here and is not going to be started.
    HandOver(KeyedRequest),
}

/// One owner.
#[derive(Clone, Debug)]
pub struct Owner {
    member: Member,
    replicas: Vec<SocketAddr>,
    /// Position of the replica that it believes to lead.
    target: usize,
    settings: OwnershipSettings,
    authenticator: MessageAuthenticator,
    /// Number of the last command.
    seq: u64,
    epoch: Option<u64>,
    /// The last epoch that it had and has no more; 0 if there was none.
    last_ended_epoch: u64,
    /// The end of its lease with the margin taken off, by its own clock.
    lease_until_ms: f64,
    lease_lapsed: bool,
    /// Joins and renewals whose answers may still come, by command.
    renewals: BTreeMap<u64, Renewal>,
    next_renewal_at_ms: f64,
    /// Requests without an answer, by command.
    pending: BTreeMap<u64, PendingRequest>,
    /// Claims to be given up, by command.
    releases: BTreeMap<u64, PendingRelease>,
    /// How many ownerless requests it would take now.
    capacity: u32,
    last_answer_at_ms: f64,
    shutting_down: bool,
    actions: Vec<Action>,
}

impl Owner {
    /// An owner that starts now, without an epoch.
    pub fn new(
        now_ms: f64,
        member: Member,
        replicas: Vec<SocketAddr>,
        settings: OwnershipSettings,
        authenticator: MessageAuthenticator,
    ) -> Owner {
        Owner {
            member,
            replicas,
            target: 0,
            settings,
            authenticator,
            seq: 0,
            epoch: None,
            last_ended_epoch: 0,
            lease_until_ms: f64::NEG_INFINITY,
            lease_lapsed: true,
            renewals: BTreeMap::new(),
            next_renewal_at_ms: now_ms,
            pending: BTreeMap::new(),
            releases: BTreeMap::new(),
            capacity: 0,
            last_answer_at_ms: now_ms,
            shutting_down: false,
            actions: Vec::new(),
        }
    }

    /// Until when it may start claimed requests and make calls for them, in milliseconds of its own clock.
    pub fn lease_until_ms(&self) -> f64 {
        if self.epoch.is_some() {
            self.lease_until_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Its epoch, while it has one.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// How many requests have no answer yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When [`Owner::wake`] is due, in the caller's milliseconds.
    pub fn next_wake_ms(&self) -> f64 {
        let lapse_ms = match (self.lease_lapsed, self.epoch) {
            (false, _) => self.lease_until_ms,
            (true, Some(_)) => self.lease_until_ms + self.settings.lease_ms,
            (true, None) => f64::INFINITY,
        };
        let first_ms = self.next_renewal_at_ms.min(lapse_ms);
        self.retry_times_ms().fold(first_ms, f64::min)
    }

    /// Sets how many ownerless requests it would take now.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Gives up the epoch: requests that may be running here become ownerless at once, not when the lease expires.
    pub fn shut_down(&mut self, now_ms: f64) -> Vec<Action> {
        self.shutting_down = true;
        if let Some(epoch) = self.epoch.take() {
            let leave = self.next_command(CommandKind::Leave(epoch));
            self.send(vec![leave]);
        }
        self.flush(now_ms)
    }

    /// Handles all timers that are due.
    pub fn wake(&mut self, now_ms: f64) -> Vec<Action> {
        self.check_lease(now_ms);
        if now_ms >= self.next_renewal_at_ms && !self.shutting_down {
            self.renew(now_ms);
        }
        self.flush(now_ms)
    }

    /// Takes the answers of a replica.
    pub fn receive(&mut self, now_ms: f64, answers: Answers) -> Vec<Action> {
        if answers.to != self.member.node {
            return Vec::new();
        }
        let leader = answers.leader.as_ref().and_then(socket_addr);
        for answer in answers.answers {
            if answer.verdict() == Verdict::NotLeader {
                self.follow_redirect(now_ms, leader);
                continue;
            }
            self.last_answer_at_ms = now_ms;
            if let Some(renewal) = self.renewals.remove(&answer.seq) {
                self.handle_renewal_answer(now_ms, renewal, answer);
            } else if let Some(pending) = self.pending.remove(&answer.seq) {
                self.handle_request_answer(pending, answer);
            } else {
                self.releases.remove(&answer.seq);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Turns to the leader that a replica named, or to the next replica if it named none that is known here.
    fn follow_redirect(&mut self, now_ms: f64, leader: Option<SocketAddr>) {
        let position =
            leader.and_then(|leader| self.replicas.iter().position(|replica| *replica == leader));
        match position {
            Some(target) if target != self.target => {
                self.target = target;
                self.last_answer_at_ms = now_ms;
                self.resend_pending();
                // The lease is running: the new leader is asked at once.
                self.next_renewal_at_ms = f64::NEG_INFINITY;
            }
            Some(_) => {}
            None => self.try_next_replica(),
        }
    }

    fn try_next_replica(&mut self) {
        self.target = (self.target + 1) % self.replicas.len().max(1);
    }

    /// A command with the next number.
    fn next_command(&mut self, kind: CommandKind) -> Command {
        self.seq += 1;
        Command {
            seq: self.seq,
            kind: Some(kind),
        }
    }

    fn send(&mut self, commands: Vec<Command>) {
        if let Some(&address) = self.replicas.get(self.target) {
            let body = MessageBody::Commands(CommandBatch { commands });
            let message = message::encode(&self.authenticator, &self.member, body);
            self.actions.push(Action::Send(address, message));
        }
    }

    fn report(&mut self, event: OwnershipEvent) {
        self.actions.push(Action::Report(event));
    }
}
