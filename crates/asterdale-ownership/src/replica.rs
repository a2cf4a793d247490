//! One keeper's part: how a group comes to be, who is in it, and what it answers to owners. The set of keepers is told
//! by name; which process has a name at a time is found out here, and agreed on by the log.
//!
//! A group is formed by the first keeper of the list once **all** of them say that they have none: so no majority of an
//! earlier group can still be there unheard, unless it stands still, and then its numbers are lower. A keeper that comes
//! back empty never speaks as the one that it was: it has another number, learns all there is, and takes the old one's
//! place by a change that the log agrees on. Where most of a group came back empty, the rest gives it up, and a new one
//! is formed, which claims nothing before the longest window has passed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::failpoint::{self, Failpoint};
use crate::message::wire::{self, Answers, Command, Hello, Proposal, Renew, Verdict};
use crate::message::{self, socket_addr, CommandKind, Member, MessageBody};
use crate::raft_node::{self, RaftNode};
use crate::settings::OwnershipSettings;
use crate::storage::{ReplicaIdentity, StorageWrite, StoredState};
use crate::{Action, OwnershipEvent};

/// From one hello to the next, in ticks.
const HELLO: f64 = 3.0;
/// A keeper that was heard within so many ticks is there.
const THERE: f64 = 12.0;
/// One that was not heard for so many is replaced by one under its name that is there: two elections.
const GONE: f64 = 40.0;
/// Without a leader for so many ticks, and most of it replaced, a group is given up.
const LOST: f64 = 60.0;
/// Orders that wait for the log; beyond them an owner asks again.
const MOST_WAITING: usize = 16_384;
/// Owners whose addresses are kept.
const MOST_OWNERS: usize = 4096;
/// Orphans offered at once to one owner.
const MOST_OFFERS: usize = 64;

/// What a keeper is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Its name and address; its number is drawn.
    pub member: Member,
    /// All keepers, by name and where they are reached, in the same order everywhere.
    pub replicas: Vec<(String, SocketAddr)>,
    /// What the fleet agrees on.
    pub settings: OwnershipSettings,
    /// The fleet's key.
    pub authenticator: MessageAuthenticator,
    /// Chance: its own number comes from the process's random bytes, later ones from this.
    pub seed: u64,
    /// The Unix time, in seconds: numbers of groups grow with it.
    pub unix_s: u64,
    /// What it has on disk: nothing where it has none, or nothing that may be believed. Without a disk: absent.
    pub stored: Option<StoredState>,
}

/// What was last heard of a keeper.
#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    group: u64,
    at: f64,
}

/// One keeper's part.
pub struct Replica {
    member: Member,
    replicas: Vec<(String, SocketAddr)>,
    settings: OwnershipSettings,
    authenticator: MessageAuthenticator,
    random: Pcg64Mcg,
    unix_s: u64,
    started_at_ms: f64,
    raft_node: Option<RaftNode>,
    /// Those that the group was formed of, where this keeper knows that.
    founders: Vec<Member>,
    /// The highest number of a group that it has heard of.
    highest_group: u64,
    last_hellos: BTreeMap<String, Heard>,
    /// When each process was last heard, by its number, and from where: one that learns knows of no set yet.
    last_messages: BTreeMap<u64, (f64, SocketAddr)>,
    next_hello_at_ms: f64,
    /// Since when nobody leads.
    leaderless_since_ms: f64,
    queued_proposals: Vec<Proposal>,
    owner_clients: BTreeMap<u64, (SocketAddr, u32)>,
    /// Orphans that were offered, until then.
    offered_until_ms: BTreeMap<Vec<u8>, f64>,
    /// Another process has its name.
    superseded: bool,
    /// It has a disk.
    has_storage: bool,
    /// What goes there with what the log has to save: who speaks, and whose log it is, are one commit.
    pending_writes: Vec<StorageWrite>,
    actions: Vec<Action>,
}

/// What a keeper holds, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// The group's number; 0 for none.
    pub group: u64,
    /// Who leads.
    pub leader: String,
    /// The keepers in it.
    pub members: Vec<String>,
    /// Owners whose lease goes on, by name and epoch.
    pub owners: Vec<(String, u64)>,
    /// KeyedRequest that is kept, by how far it is: started, orphaned, unstarted, ended, failed, unknown.
    pub requests_by_state: [usize; 6],
    /// Bytes that it takes.
    pub size_bytes: usize,
    /// Nothing is claimed for so long.
    pub claims_blocked_ms: f64,
    /// Entries of the log that were applied.
    pub applied_index: u64,
}

impl Replica {
    /// A keeper that starts now: the one that it was, where it has all of that on disk, or one with an empty memory.
    pub fn new(now: f64, start: ReplicaConfig) -> Replica {
        let ReplicaConfig {
            member: mut me,
            replicas: keepers,
            settings: terms,
            authenticator,
            seed,
            unix_s,
            stored: saved,
        } = start;
        let lasts = saved.is_some();
        let face = saved.as_ref().and_then(StoredState::identity);
        let restored = saved.as_ref().zip(face).and_then(|(saved, face)| {
            let there = (face.group, face.node);
            let raft_node = (face.group > 0)
                .then(|| RaftNode::restore(now, there, saved, &terms))
                .flatten()?;
            Some((face, raft_node))
        });
        let (mut raft_node, mut founders, mut highest, mut out) = (None, Vec::new(), 0, Vec::new());
        if let Some((face, was)) = restored {
            out.push(Action::Report(OwnershipEvent::RestoredFromDisk(face.group)));
            me.node = face.node;
            (raft_node, founders, highest) = (Some(was), face.founders, face.highest_group);
        }
        Replica {
            random: Pcg64Mcg::seed_from_u64(seed ^ me.node),
            member: me,
            replicas: keepers,
            authenticator,
            unix_s,
            started_at_ms: now,
            raft_node,
            founders,
            highest_group: highest,
            last_hellos: BTreeMap::new(),
            last_messages: BTreeMap::new(),
            next_hello_at_ms: now,
            leaderless_since_ms: now,
            queued_proposals: Vec::new(),
            owner_clients: BTreeMap::new(),
            offered_until_ms: BTreeMap::new(),
            superseded: false,
            has_storage: lasts,
            pending_writes: Vec::new(),
            actions: out,
            settings: terms,
        }
    }

    /// Its place in a group.
    pub fn raft_node(&self) -> Option<&RaftNode> {
        self.raft_node.as_ref()
    }

    /// What it holds, for operators.
    pub fn status(&self) -> ReplicaStatus {
        let Some(raft_node) = &self.raft_node else {
            return ReplicaStatus::default();
        };
        let mut kept = [0; 6];
        for one in raft_node.table.requests().values() {
            use crate::table::RequestState;
            kept[match one.state {
                RequestState::Started => 0,
                RequestState::Ownerless => 1,
                RequestState::HandedOver => 2,
                RequestState::Completed(_) => 3,
                RequestState::Failed => 4,
                RequestState::OutcomeUnknown => 5,
            }] += 1;
        }
        ReplicaStatus {
            group: raft_node.group,
            leader: raft_node
                .leader()
                .map(|leader| leader.name.clone())
                .unwrap_or_default(),
            members: raft_node
                .table
                .members
                .values()
                .map(|member| member.name.clone())
                .collect(),
            owners: raft_node
                .table
                .leases()
                .iter()
                .map(|(&epoch, owner)| (owner.name.clone(), epoch))
                .collect(),
            requests_by_state: kept,
            size_bytes: raft_node.table.size_bytes(),
            claims_blocked_ms: raft_node.table.claims_blocked_ms(),
            applied_index: raft_node.applied_index(),
        }
    }

    /// When it wants to be woken.
    pub fn next_wake_ms(&self) -> f64 {
        let raft_node = self
            .raft_node
            .as_ref()
            .map_or(f64::INFINITY, RaftNode::next_wake_ms);
        self.next_hello_at_ms.min(raft_node)
    }

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        if now >= self.next_hello_at_ms {
            self.next_hello_at_ms = now + HELLO * self.settings.tick_ms;
            self.last_messages
                .retain(|_, (at, _)| now - *at < 100.0 * GONE * self.settings.tick_ms);
            self.look_around(now);
            self.say_hello();
        }
        if let Some(raft_node) = &mut self.raft_node {
            raft_node.tick(now);
            if raft_node.is_leader()
                && raft_node.since_last_proposal_ms(now)
                    >= self.settings.renewal_interval_ms() / 2.0
            {
                raft_node.propose(now, Vec::new());
            }
        }
        self.done(now)
    }

    /// A letter has come. What it gives rise to comes with [`Keeper::flush`].
    pub fn receive(
        &mut self,
        now: f64,
        from: &Member,
        at: SocketAddr,
        what: MessageBody,
    ) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let listed = self.replicas.iter().any(|(name, _)| *name == from.name);
        if listed {
            self.last_messages.insert(from.node, (now, at));
        }
        match what {
            MessageBody::Hello(hello) if listed => self.hello(now, from, &hello),
            MessageBody::Raft(raft) if listed => self.raft(now, &raft),
            MessageBody::Commands(asked) => self.asked(from, at, asked.commands),
            _ => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// What the letters and orders since the last time give rise to: several share an entry of the log.
    pub fn flush(&mut self, now: f64) -> Vec<Action> {
        self.done(now)
    }

    // ---- How a group comes to be ----

    fn say_hello(&mut self) {
        if self.superseded {
            return;
        }
        let hello = Hello {
            group: self
                .raft_node
                .as_ref()
                .map_or(0, |raft_node| raft_node.group),
            highest_group: self.highest_group,
            members: match &self.raft_node {
                Some(_) if !self.founders.is_empty() => self.founders.clone(),
                Some(raft_node) => raft_node.table.members.values().cloned().collect(),
                None => Vec::new(),
            },
            members_are_founders: self.raft_node.is_some() && !self.founders.is_empty(),
        };
        let letter = message::encode(&self.authenticator, &self.member, MessageBody::Hello(hello));
        for (name, at) in &self.replicas {
            if *name != self.member.name {
                self.actions.push(Action::Send(*at, letter.clone()));
            }
        }
    }

    fn hello(&mut self, now: f64, from: &Member, hello: &Hello) {
        self.highest_group = self.highest_group.max(hello.group).max(hello.highest_group);
        if from.name == self.member.name {
            return;
        }
        let heard = Heard {
            member: from.clone(),
            group: hello.group,
            at: now,
        };
        self.last_hellos.insert(from.name.clone(), heard);
        let named = hello
            .members
            .iter()
            .find(|member| member.name == self.member.name);
        match &self.raft_node {
            None if hello.members_are_founders
                && named.is_some_and(|member| member.node == self.member.node) =>
            {
                self.begin(now, hello.group, hello.members.clone());
            }
            // Formed after this one's, when all keepers said that they had none: another process spoke in its name,
            // or this one stood still for longer than anybody waited.
            Some(raft_node) if hello.group > raft_node.group => {
                self.give_up(raft_node.group);
                self.superseded = named.is_some_and(|member| member.node != self.member.node)
                    && hello.members_are_founders;
            }
            _ => {}
        }
    }

    /// Who it is from now on, and that it holds nothing of an earlier log.
    fn save_face(&mut self) {
        if self.has_storage {
            let (node, group) = (
                self.member.node,
                self.raft_node
                    .as_ref()
                    .map_or(0, |raft_node| raft_node.group),
            );
            let face = ReplicaIdentity {
                node,
                group,
                highest_group: self.highest_group,
                founders: self.founders.clone(),
            };
            let face = StorageWrite::Identity(prost::Message::encode_to_vec(&face));
            self.pending_writes.extend([
                face,
                StorageWrite::HardState(Vec::new()),
                StorageWrite::Snapshot {
                    last_index: 0,
                    bytes: Vec::new(),
                    delete_all_entries: true,
                },
            ]);
        }
    }

    fn begin(&mut self, now: f64, number: u64, members: Vec<Member>) {
        self.raft_node = RaftNode::new(
            now,
            (number, self.member.node),
            &members,
            &self.settings,
            self.has_storage,
        );
        self.founders = members;
        self.highest_group = self.highest_group.max(number);
        self.save_face();
        self.leaderless_since_ms = now;
        if self.raft_node.is_some() {
            self.actions
                .push(Action::Report(OwnershipEvent::GroupJoined(number)));
        }
    }

    /// It has no group any more, and is another keeper from now on: what it may have voted is not its own.
    fn give_up(&mut self, number: u64) {
        self.raft_node = None;
        self.founders.clear();
        self.queued_proposals.clear();
        self.member.node = self.random.next_u64() | 1;
        self.save_face();
        self.actions
            .push(Action::Report(OwnershipEvent::GroupAbandoned(number)));
    }

    fn is_there(&self, now: f64, heard: &Heard) -> bool {
        now - heard.at <= THERE * self.settings.tick_ms
    }

    fn look_around(&mut self, now: f64) {
        if failpoint::is_active(Failpoint::Empty) {
            self.member.node = node_from_name(&self.member.name);
        }
        if self.raft_node.is_none() {
            return self.form(now);
        }
        self.see_to_the_set(now);
        let Some(raft_node) = &self.raft_node else {
            return;
        };
        if raft_node.leader().is_some() {
            self.leaderless_since_ms = now;
        }
        let members: Vec<&Member> = raft_node.table.members.values().collect();
        let replaced = members.iter().filter(|member| {
            let heard = self.last_hellos.get(&member.name);
            heard.is_some_and(|heard| {
                self.is_there(now, heard) && heard.group == 0 && heard.member.node != member.node
            })
        });
        if now - self.leaderless_since_ms > LOST * self.settings.tick_ms
            && replaced.count() * 2 > members.len()
        {
            let number = raft_node.group;
            self.give_up(number);
        }
    }

    /// The first of the list forms a group, once all say that they have none.
    fn form(&mut self, now: f64) {
        let first = self
            .replicas
            .first()
            .is_some_and(|(name, _)| *name == self.member.name);
        if !first {
            return;
        }
        let mut members = vec![self.member.clone()];
        for (name, _) in self.replicas.iter().skip(1) {
            match self.last_hellos.get(name) {
                Some(heard) if self.is_there(now, heard) && heard.group == 0 => {
                    members.push(heard.member.clone());
                }
                _ => return,
            }
        }
        let number =
            (self.unix_s + ((now - self.started_at_ms) / 1e3) as u64).max(self.highest_group + 1);
        self.begin(now, number, members);
        self.actions
            .push(Action::Report(OwnershipEvent::GroupFormed(
                number,
                self.settings.max_retry_window_ms,
            )));
    }

    /// The leader has the log agree on who is in the set: those who are told of by name, by the process that is there.
    fn see_to_the_set(&mut self, now: f64) {
        let tick = self.settings.tick_ms;
        let Some(raft_node) = &self.raft_node else {
            return;
        };
        if !raft_node.is_leader() {
            return;
        }
        let mut new = None;
        for (name, _) in &self.replicas {
            let Some(heard) = self
                .last_hellos
                .get(name)
                .filter(|heard| self.is_there(now, heard))
            else {
                continue;
            };
            let mut under = raft_node
                .table
                .members
                .values()
                .filter(|member| member.name == *name);
            let others: Vec<u64> = under
                .clone()
                .map(|member| member.node)
                .filter(|node| *node != heard.member.node)
                .collect();
            let known = under.any(|member| member.node == heard.member.node);
            let gone = |node: &u64| {
                self.last_messages
                    .get(node)
                    .is_none_or(|(at, _)| now - at > GONE * tick)
            };
            let free = heard.group == 0 || heard.group == raft_node.group;
            if free && (!known || !others.is_empty()) && others.iter().all(gone) {
                new = Some(heard.member.clone());
                break;
            }
        }
        let listed = |member: &&Member| self.replicas.iter().any(|(name, _)| *name == member.name);
        let surplus = raft_node
            .table
            .members
            .values()
            .find(|member| !listed(member))
            .map(|member| member.node);
        if let Some(raft_node) = &mut self.raft_node {
            match (new, surplus) {
                (Some(new), _) => {
                    if raft_node.propose_replacement(&new) {
                        self.actions
                            .push(Action::Report(OwnershipEvent::ReplicaReplaced(new.name)));
                    }
                }
                (None, Some(node)) => raft_node.propose_removal(node),
                (None, None) => {}
            }
        }
    }

    fn raft(&mut self, now: f64, raft: &wire::RaftMessage) {
        let mine = raft_node::addressee(&raft.message) == Some(self.member.node);
        let forgot = failpoint::is_active(Failpoint::Empty);
        if mine
            && !forgot
            && self.raft_node.is_none()
            && raft.group >= self.highest_group
            && raft.group > 0
        {
            // Its leader has it learn; or it founds it, and has not heard that yet: it gets what it needs either way.
            self.raft_node = RaftNode::new(
                now,
                (raft.group, self.member.node),
                &[],
                &self.settings,
                self.has_storage,
            );
            self.founders.clear();
            self.save_face();
            self.leaderless_since_ms = now;
            self.actions
                .push(Action::Report(OwnershipEvent::GroupJoined(raft.group)));
        }
        if let Some(raft_node) = self
            .raft_node
            .as_mut()
            .filter(|raft_node| raft_node.group == raft.group)
        {
            raft_node.step(&raft.message);
        }
    }

    // ---- What owners ask ----

    fn asked(&mut self, from: &Member, at: SocketAddr, commands: Vec<Command>) {
        let Some(raft_node) = self
            .raft_node
            .as_ref()
            .filter(|raft_node| raft_node.is_leader())
        else {
            let leader = self.raft_node.as_ref().and_then(RaftNode::leader).cloned();
            let answers: Vec<_> = (commands.iter().take(1))
                .map(|command| wire::Answer {
                    seq: command.seq,
                    verdict: Verdict::NotLeader.into(),
                    ..wire::Answer::default()
                })
                .collect();
            return self.answer(from.node, at, answers, leader);
        };
        let mut answers = Vec::new();
        for command in commands {
            match &command.kind {
                Some(CommandKind::Lookup(look)) => {
                    answers.push(raft_node.table.lookup(command.seq, look))
                }
                Some(what) => {
                    if let CommandKind::Renew(Renew { capacity, .. }) = what {
                        if self.owner_clients.len() < MOST_OWNERS
                            || self.owner_clients.contains_key(&from.node)
                        {
                            self.owner_clients.insert(from.node, (at, *capacity));
                        }
                    }
                    if self.queued_proposals.len() < MOST_WAITING {
                        self.queued_proposals.push(Proposal {
                            from: Some(from.clone()),
                            command: Some(command),
                        });
                    }
                }
                None => {}
            }
        }
        if !answers.is_empty() {
            self.answer(from.node, at, answers, None);
        }
    }

    fn answer(
        &mut self,
        to: u64,
        at: SocketAddr,
        answers: Vec<wire::Answer>,
        leader: Option<Member>,
    ) {
        let answers = MessageBody::Answers(Answers {
            answers,
            leader,
            to,
        });
        self.actions.push(Action::Send(
            at,
            message::encode(&self.authenticator, &self.member, answers),
        ));
    }

    /// Orphans for an owner that has capacity: each is offered to one at a time, the most urgent first. An offer gives
    /// nothing: who takes one claims it.
    fn offers(&mut self, now: f64, node: u64) -> Vec<wire::KeyedRequest> {
        let Some(raft_node) = &self.raft_node else {
            return Vec::new();
        };
        let room = self
            .owner_clients
            .get(&node)
            .map_or(0, |(_, room)| *room as usize)
            .min(MOST_OFFERS);
        self.offered_until_ms.retain(|_, until| *until > now);
        let free = raft_node
            .table
            .claimable()
            .filter(|kept| !self.offered_until_ms.contains_key(&kept.request.key));
        let book_now = raft_node.table.now_ms();
        let offers: Vec<wire::KeyedRequest> = (free.take(room))
            .map(|kept| wire::KeyedRequest {
                deadline_ms: kept.deadline_ms - book_now,
                retry_window_ms: kept.expires_at_ms - book_now,
                ..kept.request.clone()
            })
            .collect();
        for work in &offers {
            self.offered_until_ms
                .insert(work.key.clone(), now + self.settings.lease_ms);
        }
        offers
    }

    fn done(&mut self, now: f64) -> Vec<Action> {
        let mut saves = std::mem::take(&mut self.pending_writes);
        let Some(raft_node) = &mut self.raft_node else {
            if !saves.is_empty() {
                self.actions.push(Action::Persist(saves));
            }
            return std::mem::take(&mut self.actions);
        };
        let number = raft_node.group;
        if !self.queued_proposals.is_empty() {
            let waiting = std::mem::take(&mut self.queued_proposals);
            raft_node.propose(now, waiting);
        }
        let turn = raft_node.process_ready(now);
        saves.extend(turn.writes);
        if !saves.is_empty() {
            self.actions.push(Action::Persist(saves));
        }
        let leads = raft_node.is_leader();
        let places: BTreeMap<u64, SocketAddr> = raft_node
            .table
            .members
            .values()
            .filter_map(|member| Some((member.node, socket_addr(member)?)))
            .collect();
        for (to, message) in turn.messages {
            if let Some(at) = places
                .get(&to)
                .or_else(|| self.last_messages.get(&to).map(|(_, at)| at))
            {
                let letter = MessageBody::Raft(wire::RaftMessage {
                    group: number,
                    message,
                });
                self.actions.push(Action::Send(
                    *at,
                    message::encode(&self.authenticator, &self.member, letter),
                ));
            }
        }
        if let Some(leads) = turn.leadership_change {
            self.actions.push(Action::Report(if leads {
                OwnershipEvent::BecameLeader(number)
            } else {
                OwnershipEvent::LostLeadership(number)
            }));
        }
        if leads {
            let mut by_owner: BTreeMap<u64, (Member, Vec<wire::Answer>)> = BTreeMap::new();
            for (from, mut answer) in turn.answers {
                if answer.verdict() == Verdict::Renewed {
                    answer.offers = self.offers(now, from.node);
                }
                by_owner
                    .entry(from.node)
                    .or_insert_with(|| (from, Vec::new()))
                    .1
                    .push(answer);
            }
            for (from, answers) in by_owner.into_values() {
                if let Some(at) = socket_addr(&from) {
                    self.answer(from.node, at, answers, None);
                }
            }
        }
        std::mem::take(&mut self.actions)
    }
}

/// What a process that forgot that it forgot would call itself.
fn node_from_name(name: &str) -> u64 {
    name.bytes().fold(1, |sum: u64, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) | 1
}
