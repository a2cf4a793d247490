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
use crate::group::{self, Group};
use crate::message::wire::{self, Answers, Hello, Order, Proposal, Renew, Verdict};
use crate::message::{self, place, Member, Ordered, What};
use crate::saved::{Face, Save, Saved};
use crate::terms::Terms;
use crate::{Action, Told};

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
pub struct Start {
    /// Its name and address; its number is drawn.
    pub me: Member,
    /// All keepers, by name and where they are reached, in the same order everywhere.
    pub keepers: Vec<(String, SocketAddr)>,
    /// What the fleet agrees on.
    pub terms: Terms,
    /// The fleet's key.
    pub seal: MessageAuthenticator,
    /// Chance: its own number comes from the process's random bytes, later ones from this.
    pub seed: u64,
    /// The Unix time, in seconds: numbers of groups grow with it.
    pub unix_s: u64,
    /// What it has on disk: nothing where it has none, or nothing that may be believed. Without a disk: absent.
    pub saved: Option<Saved>,
}

/// What was last heard of a keeper.
#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    group: u64,
    at: f64,
}

/// One keeper's part.
pub struct Keeper {
    me: Member,
    keepers: Vec<(String, SocketAddr)>,
    terms: Terms,
    seal: MessageAuthenticator,
    random: Pcg64Mcg,
    unix_s: u64,
    began: f64,
    group: Option<Group>,
    /// Those that the group was formed of, where this keeper knows that.
    founders: Vec<Member>,
    /// The highest number of a group that it has heard of.
    highest: u64,
    heard: BTreeMap<String, Heard>,
    /// When each process was last heard, by its number, and from where: one that learns knows of no set yet.
    nodes: BTreeMap<u64, (f64, SocketAddr)>,
    hello_at: f64,
    /// Since when nobody leads.
    leaderless: f64,
    waiting: Vec<Proposal>,
    owners: BTreeMap<u64, (SocketAddr, u32)>,
    /// Orphans that were offered, until then.
    offered: BTreeMap<Vec<u8>, f64>,
    /// Another process has its name.
    superseded: bool,
    /// It has a disk.
    lasts: bool,
    /// What goes there with what the log has to save: who speaks, and whose log it is, are one commit.
    saves: Vec<Save>,
    out: Vec<Action>,
}

/// What a keeper holds, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    /// The group's number; 0 for none.
    pub group: u64,
    /// Who leads.
    pub leader: String,
    /// The keepers in it.
    pub members: Vec<String>,
    /// Owners whose lease goes on, by name and epoch.
    pub owners: Vec<(String, u64)>,
    /// Work that is kept, by how far it is: started, orphaned, unstarted, ended, failed, unknown.
    pub kept: [usize; 6],
    /// Bytes that it takes.
    pub bytes: usize,
    /// Nothing is claimed for so long.
    pub quiet_ms: f64,
    /// Entries of the log that were applied.
    pub applied: u64,
}

impl Keeper {
    /// A keeper that starts now: the one that it was, where it has all of that on disk, or one with an empty memory.
    pub fn new(now: f64, start: Start) -> Keeper {
        let Start {
            mut me,
            keepers,
            terms,
            seal,
            seed,
            unix_s,
            saved,
        } = start;
        let lasts = saved.is_some();
        let face = saved.as_ref().and_then(Saved::face);
        let restored = saved.as_ref().zip(face).and_then(|(saved, face)| {
            let there = (face.group, face.node);
            let group = (face.group > 0)
                .then(|| Group::restore(now, there, saved, &terms))
                .flatten()?;
            Some((face, group))
        });
        let (mut group, mut founders, mut highest, mut out) = (None, Vec::new(), 0, Vec::new());
        if let Some((face, was)) = restored {
            out.push(Action::Tell(Told::Restored(face.group)));
            me.node = face.node;
            (group, founders, highest) = (Some(was), face.founders, face.highest);
        }
        Keeper {
            random: Pcg64Mcg::seed_from_u64(seed ^ me.node),
            me,
            keepers,
            seal,
            unix_s,
            began: now,
            group,
            founders,
            highest,
            heard: BTreeMap::new(),
            nodes: BTreeMap::new(),
            hello_at: now,
            leaderless: now,
            waiting: Vec::new(),
            owners: BTreeMap::new(),
            offered: BTreeMap::new(),
            superseded: false,
            lasts,
            saves: Vec::new(),
            out,
            terms,
        }
    }

    /// Its place in a group.
    pub fn group(&self) -> Option<&Group> {
        self.group.as_ref()
    }

    /// What it holds, for operators.
    pub fn shown(&self) -> Shown {
        let Some(group) = &self.group else {
            return Shown::default();
        };
        let mut kept = [0; 6];
        for one in group.book.kept().values() {
            use crate::book::State;
            kept[match one.state {
                State::Started => 0,
                State::Orphaned => 1,
                State::Unstarted => 2,
                State::Ended(_) => 3,
                State::Failed => 4,
                State::Unknown => 5,
            }] += 1;
        }
        Shown {
            group: group.number,
            leader: group
                .leader()
                .map(|leader| leader.name.clone())
                .unwrap_or_default(),
            members: group
                .book
                .members
                .values()
                .map(|member| member.name.clone())
                .collect(),
            owners: group
                .book
                .owners()
                .iter()
                .map(|(&epoch, owner)| (owner.name.clone(), epoch))
                .collect(),
            kept,
            bytes: group.book.bytes(),
            quiet_ms: group.book.quiet_ms(),
            applied: group.applied(),
        }
    }

    /// When it wants to be woken.
    pub fn next(&self) -> f64 {
        let group = self.group.as_ref().map_or(f64::INFINITY, Group::next);
        self.hello_at.min(group)
    }

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        if now >= self.hello_at {
            self.hello_at = now + HELLO * self.terms.tick_ms;
            self.nodes
                .retain(|_, (at, _)| now - *at < 100.0 * GONE * self.terms.tick_ms);
            self.look_around(now);
            self.say_hello();
        }
        if let Some(group) = &mut self.group {
            group.tick(now);
            if group.leads() && group.unstamped_ms(now) >= self.terms.renew_ms() / 2.0 {
                group.propose(now, Vec::new());
            }
        }
        self.done(now)
    }

    /// A letter has come. What it gives rise to comes with [`Keeper::flush`].
    pub fn letter(&mut self, now: f64, from: &Member, at: SocketAddr, what: What) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let listed = self.keepers.iter().any(|(name, _)| *name == from.name);
        if listed {
            self.nodes.insert(from.node, (now, at));
        }
        match what {
            What::Hello(hello) if listed => self.hello(now, from, &hello),
            What::Raft(raft) if listed => self.raft(now, &raft),
            What::Asked(asked) => self.asked(from, at, asked.orders),
            _ => {}
        }
        std::mem::take(&mut self.out)
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
            group: self.group.as_ref().map_or(0, |group| group.number),
            highest: self.highest,
            members: match &self.group {
                Some(_) if !self.founders.is_empty() => self.founders.clone(),
                Some(group) => group.book.members.values().cloned().collect(),
                None => Vec::new(),
            },
            forming: self.group.is_some() && !self.founders.is_empty(),
        };
        let letter = message::encode(&self.seal, &self.me, What::Hello(hello));
        for (name, at) in &self.keepers {
            if *name != self.me.name {
                self.out.push(Action::Send(*at, letter.clone()));
            }
        }
    }

    fn hello(&mut self, now: f64, from: &Member, hello: &Hello) {
        self.highest = self.highest.max(hello.group).max(hello.highest);
        if from.name == self.me.name {
            return;
        }
        let heard = Heard {
            member: from.clone(),
            group: hello.group,
            at: now,
        };
        self.heard.insert(from.name.clone(), heard);
        let named = hello
            .members
            .iter()
            .find(|member| member.name == self.me.name);
        match &self.group {
            None if hello.forming && named.is_some_and(|member| member.node == self.me.node) => {
                self.begin(now, hello.group, hello.members.clone());
            }
            // Formed after this one's, when all keepers said that they had none: another process spoke in its name,
            // or this one stood still for longer than anybody waited.
            Some(group) if hello.group > group.number => {
                self.give_up(group.number);
                self.superseded =
                    named.is_some_and(|member| member.node != self.me.node) && hello.forming;
            }
            _ => {}
        }
    }

    /// Who it is from now on, and that it holds nothing of an earlier log.
    fn save_face(&mut self) {
        if self.lasts {
            let (node, group) = (
                self.me.node,
                self.group.as_ref().map_or(0, |group| group.number),
            );
            let face = Face {
                node,
                group,
                highest: self.highest,
                founders: self.founders.clone(),
            };
            let face = Save::Face(prost::Message::encode_to_vec(&face));
            self.saves.extend([
                face,
                Save::Hard(Vec::new()),
                Save::Whole(0, Vec::new(), true),
            ]);
        }
    }

    fn begin(&mut self, now: f64, number: u64, members: Vec<Member>) {
        self.group = Group::new(
            now,
            (number, self.me.node),
            &members,
            &self.terms,
            self.lasts,
        );
        self.founders = members;
        self.highest = self.highest.max(number);
        self.save_face();
        self.leaderless = now;
        if self.group.is_some() {
            self.out.push(Action::Tell(Told::Joined(number)));
        }
    }

    /// It has no group any more, and is another keeper from now on: what it may have voted is not its own.
    fn give_up(&mut self, number: u64) {
        self.group = None;
        self.founders.clear();
        self.waiting.clear();
        self.me.node = self.random.next_u64() | 1;
        self.save_face();
        self.out.push(Action::Tell(Told::Abandoned(number)));
    }

    fn is_there(&self, now: f64, heard: &Heard) -> bool {
        now - heard.at <= THERE * self.terms.tick_ms
    }

    fn look_around(&mut self, now: f64) {
        if failpoint::is_active(Failpoint::Empty) {
            self.me.node = node_from_name(&self.me.name);
        }
        if self.group.is_none() {
            return self.form(now);
        }
        self.see_to_the_set(now);
        let Some(group) = &self.group else { return };
        if group.leader().is_some() {
            self.leaderless = now;
        }
        let members: Vec<&Member> = group.book.members.values().collect();
        let replaced = members.iter().filter(|member| {
            let heard = self.heard.get(&member.name);
            heard.is_some_and(|heard| {
                self.is_there(now, heard) && heard.group == 0 && heard.member.node != member.node
            })
        });
        if now - self.leaderless > LOST * self.terms.tick_ms && replaced.count() * 2 > members.len()
        {
            let number = group.number;
            self.give_up(number);
        }
    }

    /// The first of the list forms a group, once all say that they have none.
    fn form(&mut self, now: f64) {
        let first = self
            .keepers
            .first()
            .is_some_and(|(name, _)| *name == self.me.name);
        if !first {
            return;
        }
        let mut members = vec![self.me.clone()];
        for (name, _) in self.keepers.iter().skip(1) {
            match self.heard.get(name) {
                Some(heard) if self.is_there(now, heard) && heard.group == 0 => {
                    members.push(heard.member.clone());
                }
                _ => return,
            }
        }
        let number = (self.unix_s + ((now - self.began) / 1e3) as u64).max(self.highest + 1);
        self.begin(now, number, members);
        self.out
            .push(Action::Tell(Told::Formed(number, self.terms.window_ms)));
    }

    /// The leader has the log agree on who is in the set: those who are told of by name, by the process that is there.
    fn see_to_the_set(&mut self, now: f64) {
        let tick = self.terms.tick_ms;
        let Some(group) = &self.group else { return };
        if !group.leads() {
            return;
        }
        let mut new = None;
        for (name, _) in &self.keepers {
            let Some(heard) = self
                .heard
                .get(name)
                .filter(|heard| self.is_there(now, heard))
            else {
                continue;
            };
            let mut under = group
                .book
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
                self.nodes
                    .get(node)
                    .is_none_or(|(at, _)| now - at > GONE * tick)
            };
            let free = heard.group == 0 || heard.group == group.number;
            if free && (!known || !others.is_empty()) && others.iter().all(gone) {
                new = Some(heard.member.clone());
                break;
            }
        }
        let listed = |member: &&Member| self.keepers.iter().any(|(name, _)| *name == member.name);
        let surplus = group
            .book
            .members
            .values()
            .find(|member| !listed(member))
            .map(|member| member.node);
        if let Some(group) = &mut self.group {
            match (new, surplus) {
                (Some(new), _) => {
                    if group.replace(&new) {
                        self.out.push(Action::Tell(Told::Replaced(new.name)));
                    }
                }
                (None, Some(node)) => group.remove(node),
                (None, None) => {}
            }
        }
    }

    fn raft(&mut self, now: f64, raft: &wire::Raft) {
        let mine = group::addressee(&raft.message) == Some(self.me.node);
        let forgot = failpoint::is_active(Failpoint::Empty);
        if mine && !forgot && self.group.is_none() && raft.group >= self.highest && raft.group > 0 {
            // Its leader has it learn; or it founds it, and has not heard that yet: it gets what it needs either way.
            self.group = Group::new(
                now,
                (raft.group, self.me.node),
                &[],
                &self.terms,
                self.lasts,
            );
            self.founders.clear();
            self.save_face();
            self.leaderless = now;
            self.out.push(Action::Tell(Told::Joined(raft.group)));
        }
        if let Some(group) = self
            .group
            .as_mut()
            .filter(|group| group.number == raft.group)
        {
            group.step(&raft.message);
        }
    }

    // ---- What owners ask ----

    fn asked(&mut self, from: &Member, at: SocketAddr, orders: Vec<Order>) {
        let Some(group) = self.group.as_ref().filter(|group| group.leads()) else {
            let leader = self.group.as_ref().and_then(Group::leader).cloned();
            let answers: Vec<_> = (orders.iter().take(1))
                .map(|order| wire::Answer {
                    seq: order.seq,
                    verdict: Verdict::Elsewhere.into(),
                    ..wire::Answer::default()
                })
                .collect();
            return self.answer(from.node, at, answers, leader);
        };
        let mut answers = Vec::new();
        for order in orders {
            match &order.what {
                Some(Ordered::Look(look)) => answers.push(group.book.look(order.seq, look)),
                Some(what) => {
                    if let Ordered::Renew(Renew { room, .. }) = what {
                        if self.owners.len() < MOST_OWNERS || self.owners.contains_key(&from.node) {
                            self.owners.insert(from.node, (at, *room));
                        }
                    }
                    if self.waiting.len() < MOST_WAITING {
                        self.waiting.push(Proposal {
                            from: Some(from.clone()),
                            order: Some(order),
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
        let answers = What::Answers(Answers {
            answers,
            leader,
            to,
        });
        self.out.push(Action::Send(
            at,
            message::encode(&self.seal, &self.me, answers),
        ));
    }

    /// Orphans for an owner that has room: each is offered to one at a time, the most urgent first. An offer gives
    /// nothing: who takes one claims it.
    fn offers(&mut self, now: f64, node: u64) -> Vec<wire::Work> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let room = self
            .owners
            .get(&node)
            .map_or(0, |(_, room)| *room as usize)
            .min(MOST_OFFERS);
        self.offered.retain(|_, until| *until > now);
        let free = group
            .book
            .loose()
            .filter(|kept| !self.offered.contains_key(&kept.work.key));
        let book_now = group.book.now();
        let offers: Vec<wire::Work> = (free.take(room))
            .map(|kept| wire::Work {
                due_ms: kept.due - book_now,
                window_ms: kept.until - book_now,
                ..kept.work.clone()
            })
            .collect();
        for work in &offers {
            self.offered
                .insert(work.key.clone(), now + self.terms.lease_ms);
        }
        offers
    }

    fn done(&mut self, now: f64) -> Vec<Action> {
        let mut saves = std::mem::take(&mut self.saves);
        let Some(group) = &mut self.group else {
            if !saves.is_empty() {
                self.out.push(Action::Save(saves));
            }
            return std::mem::take(&mut self.out);
        };
        let number = group.number;
        if !self.waiting.is_empty() {
            let waiting = std::mem::take(&mut self.waiting);
            group.propose(now, waiting);
        }
        let turn = group.turn(now);
        saves.extend(turn.saves);
        if !saves.is_empty() {
            self.out.push(Action::Save(saves));
        }
        let leads = group.leads();
        let places: BTreeMap<u64, SocketAddr> = group
            .book
            .members
            .values()
            .filter_map(|member| Some((member.node, place(member)?)))
            .collect();
        for (to, message) in turn.messages {
            if let Some(at) = places
                .get(&to)
                .or_else(|| self.nodes.get(&to).map(|(_, at)| at))
            {
                let letter = What::Raft(wire::Raft {
                    group: number,
                    message,
                });
                self.out.push(Action::Send(
                    *at,
                    message::encode(&self.seal, &self.me, letter),
                ));
            }
        }
        if let Some(leads) = turn.turned {
            self.out.push(Action::Tell(if leads {
                Told::Leads(number)
            } else {
                Told::Follows(number)
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
                if let Some(at) = place(&from) {
                    self.answer(from.node, at, answers, None);
                }
            }
        }
        std::mem::take(&mut self.out)
    }
}

/// What a process that forgot that it forgot would call itself.
fn node_from_name(name: &str) -> u64 {
    name.bytes().fold(1, |sum: u64, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) | 1
}
