//! One owner: its epoch and lease, its requests to the replicas, and their answers.
//!
//! The owner sends commands to the replica that it believes to be the leader, and repeats each until it is answered:
//! all commands are idempotent. It starts requests and makes calls under its lease only until
//! [`Owner::lease_until_ms`], which is before the lease expires at the replicas.

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
    /// Looks up the state of a key, for a body with this digest.
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
        /// The result; `None` if the request ended without one that could be returned.
        result: Option<Vec<u8>>,
    },
    /// Hands over a request that was queued here and will not be started.
    HandOver(KeyedRequest),
}

/// One owner.
#[derive(Clone, Debug)]
pub struct Owner {
    member: Member,
    replicas: Vec<SocketAddr>,
    /// Index in `replicas` of the replica that this owner believes to be the leader.
    target: usize,
    settings: OwnershipSettings,
    authenticator: MessageAuthenticator,
    /// Sequence number of the last command.
    seq: u64,
    epoch: Option<u64>,
    /// The last epoch of this owner that has ended; 0 if there was none.
    last_ended_epoch: u64,
    /// The end of the lease minus the margin, by the owner's clock.
    lease_until_ms: f64,
    lease_lapsed: bool,
    /// Unanswered joins and renewals, by sequence number.
    renewals: BTreeMap<u64, Renewal>,
    next_renewal_at_ms: f64,
    /// Unanswered requests, by sequence number.
    pending: BTreeMap<u64, PendingRequest>,
    /// Unanswered releases of claims, by sequence number.
    releases: BTreeMap<u64, PendingRelease>,
    /// How many ownerless requests this owner can take now.
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

    /// The time until which this owner may start claimed requests and make calls for them, in milliseconds of its
    /// clock.
    pub fn lease_until_ms(&self) -> f64 {
        if self.epoch.is_some() {
            self.lease_until_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// The current epoch, if there is one.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Number of unanswered requests.
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

    /// Sets how many ownerless requests this owner can take now.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Gives up the epoch, so that requests which may be running here become ownerless at once instead of when the
    /// lease expires.
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

    /// Handles the answers of a replica.
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

    /// Switches to the leader that a replica named, or to the next replica if it named none or an unknown one.
    fn follow_redirect(&mut self, now_ms: f64, leader: Option<SocketAddr>) {
        let position =
            leader.and_then(|leader| self.replicas.iter().position(|replica| *replica == leader));
        match position {
            Some(target) if target != self.target => {
                self.target = target;
                self.last_answer_at_ms = now_ms;
                self.resend_pending();
                // Renew at the new leader at once, as the lease is running out.
                self.next_renewal_at_ms = f64::NEG_INFINITY;
            }
            Some(_) => {}
            None => self.try_next_replica(),
        }
    }

    fn try_next_replica(&mut self) {
        self.target = (self.target + 1) % self.replicas.len().max(1);
    }

    /// A command with the next sequence number.
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
