//! The module's actor: owns the server's decisions, its tasks, their bodies, fingerprints and results, and is
//! the only one to call the module. Mail becomes calls on it; its answers become messages at once. It decides
//! nothing by itself.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use asterdale::told::{Arrival, Gauges, Outcome, Repeat};
use asterdale::{Machine, Server};
use asterdale_facts::Facts;
use asterdale_identity::{Ask, Identity};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::callers::Callers;
use crate::counters::{resident_kib, Counters};
use crate::fingerprints::Fingerprints;
use crate::issuer::Nudge;
use crate::log::{Kind, Log};
use crate::mail::{
    Asked, Client, Company, Course, Doing, Fronts, How, Id, Line, Mail, Peers, Reply, Request, Serial, Way,
    Word,
};
use crate::records::Records;
use crate::runtime;
use crate::tasks::{Link, Slot, Tasks};

/// For answers to get out and connections to end, before the process is killed: the module is told a notice
/// that is shorter by this, or by a quarter of a very short one.
const WAY_OUT_MS: f64 = 300.0;
/// Gauges are asked for so long before the beat that uses them: several times what the answer takes.
const AHEAD_MS: f64 = 1.5;
/// While leaving, connections that came last are let end after so long: a request crosses a close no longer.
const HUSH: Duration = Duration::from_millis(50);
/// A runtime that owes gauges for so many beats (3 s) may have lost its link without a word. A new one does no
/// harm.
const SILENT: u32 = 300;
/// A deep check without a verdict fails after so long; nobody waits for it any more.
const LONGEST_CHECK: Duration = Duration::from_secs(10);
/// Callers that the module is told apart, by their numbers. Beyond that their indices are given out anew, so
/// that numbers made up at random, or ever new ones, don't fill the memory. Far more than there are edge nodes,
/// and what the module counts of each fades within seconds.
const MOST_CALLERS: usize = 4096;
/// What is kept for nobody is looked for this often.
const SWEEP: Duration = Duration::from_secs(1);

/// Gauges older than this count as none. They are averages over half a second and come at every beat.
const STALE_MS: f64 = 500.0;
/// Before the link moves to another address, so long is waited for the proof that all commands arrived.
const MOVING_MS: f64 = 300.0;

/// Marks the gauges whose coming proves that all commands on a link that is to end arrived.
pub(crate) const LAST: &str = "last";
/// Marks the gauges whose coming shows that all missed notices were sent.
const REPLAY: &str = "replay";

/// Milliseconds since the Unix epoch by the system's clock.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The module's time: Unix time at the start, from then on by a clock that never steps.
pub(crate) struct Clock {
    unix: f64,
    began: Instant,
}

impl Clock {
    pub(crate) fn now(&self) -> f64 {
        self.unix + self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Goes on from this time: another process's clock, which must not step for its tasks.
    #[cfg(feature = "handover")]
    pub(crate) fn set(&mut self, now: f64) {
        (self.unix, self.began) = (now, Instant::now());
    }
}

/// A deep check that the runtime works at.
struct Check {
    client: Arc<dyn Client>,
    request: u16,
    since: Instant,
}

/// The actors around the host, and what all share.
pub struct Around {
    /// Makes calls.
    pub records: Records,
    /// Have the connections.
    pub fronts: Arc<dyn Fronts>,
    /// The list's actor.
    pub list: Sender<Word>,
    /// The runtime's actor hears here where it is to link to, or not.
    pub moves: Sender<Course>,
    /// The issuer's actor, where there is one.
    pub issuer: Option<Sender<Nudge>>,
    /// The other processes of the fleet, where this one talks with them.
    pub company: Option<Arc<dyn Company>>,
    /// Counts.
    pub counters: Arc<Counters>,
    /// Has lines.
    pub log: Log,
}

/// What the host is told at its start.
pub struct Begin {
    /// What the decisions are told.
    pub facts: Arc<Facts>,
    /// Memory of this process, in bytes.
    pub memory: usize,
    /// From the notice to leave until the process is killed, in milliseconds.
    pub stop_ms: f64,
    /// Where the peers listen.
    pub peers: Peers,
    /// Whether callers must be known, and what that takes.
    pub identity: Option<Identity>,
}

/// The actor.
pub struct Host {
    pub(crate) server: Option<Server>,
    pub(crate) tasks: Tasks,
    pub(crate) clock: Clock,
    gauges: Gauges,
    /// When they came.
    read_at: f64,
    /// Small indices of the callers, by their number.
    pub(crate) callers: HashMap<u32, usize>,
    /// Deep checks that wait for the runtime, by their number.
    checks: HashMap<Serial, Check>,
    /// The last call got a reply, whatever it said.
    records_well: bool,
    /// When to ask for gauges.
    ask_at: f64,
    stop_ms: f64,
    /// Where the peers listen.
    peers: Peers,
    pub(crate) list: Sender<Word>,
    pub(crate) moves: Sender<Course>,
    company: Option<Arc<dyn Company>>,
    /// Until when it counts as cold, once the module has begun.
    cold_until: f64,
    /// When all must be answered, once the notice has come.
    pub(crate) leave_by: Option<Instant>,
    /// Whether the work is another process's, or about to be.
    #[cfg(feature = "handover")]
    pub(crate) aside: crate::passing::Aside,
}

impl Host {
    /// A host with nothing in it.
    pub fn new(begin: Begin, around: Around) -> Host {
        let Around { records, fronts, list, moves, issuer, company, counters, log } = around;
        let Begin { facts, memory, stop_ms, peers, identity } = begin;
        let longest = facts.told.stages.iter().map(|s| s.limit_ms).fold(0.0, f64::max);
        let clock = Clock { unix: unix_ms(), began: Instant::now() };
        Host {
            server: None,
            tasks: Tasks {
                now: clock.now(),
                wake_at: f64::INFINITY,
                slots: Vec::new(),
                by_id: HashMap::new(),
                by_serial: HashMap::new(),
                by_way: HashMap::new(),
                serial: 0,
                arriving: None,
                fingerprints: Fingerprints::new(memory, longest, facts.told.seed),
                callers: Callers::new(identity, issuer, &counters),
                joined: VecDeque::new(),
                not_begun: VecDeque::new(),
                not_started: VecDeque::new(),
                #[cfg(feature = "handover")]
                mirror: None,
                #[cfg(feature = "handover")]
                elsewhere: HashMap::new(),
                link: Link::default(),
                records,
                fronts,
                good: true,
                stored: true,
                counters,
                log,
                facts,
            },
            clock,
            gauges: Gauges::default(),
            read_at: 0.0,
            callers: HashMap::new(),
            checks: HashMap::new(),
            records_well: true,
            ask_at: f64::INFINITY,
            stop_ms,
            peers,
            list,
            moves,
            company,
            cold_until: f64::INFINITY,
            leave_by: None,
            #[cfg(feature = "handover")]
            aside: crate::passing::Aside::default(),
        }
    }

    /// Handles mail, or keeps it, or carries it to another process: whosever the work is.
    #[cfg(feature = "handover")]
    pub(crate) fn take_mail(&mut self, mail: Mail, mailbox: &Receiver<Mail>) {
        let mail = if self.aside.stands() { self.carry(mail) } else { Some(mail) };
        match mail {
            Some(Mail::Handover(step)) => self.step(step, mailbox),
            Some(mail) => self.handle(mail),
            None => {}
        }
    }

    #[cfg(not(feature = "handover"))]
    fn take_mail(&mut self, mail: Mail, _: &Receiver<Mail>) {
        self.handle(mail);
    }

    /// Handles mail until the backend has left.
    pub fn serve(&mut self, mailbox: &Receiver<Mail>) {
        let mut sweep = Instant::now() + SWEEP;
        loop {
            let wait = (self.tasks.wake_at.min(self.ask_at) - self.clock.now()).clamp(0.0, 50.0);
            match mailbox.recv_timeout(Duration::from_micros((wait * 1000.0) as u64)) {
                Ok(mail) => self.take_mail(mail, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            #[cfg(feature = "handover")]
            if self.aside.stands() && self.guard(mailbox) {
                return;
            }
            self.tasks.now = self.clock.now();
            if self.tasks.now >= self.ask_at {
                self.ask();
            }
            if self.tasks.now >= self.tasks.wake_at {
                self.beat();
            }
            let at = Instant::now();
            if at >= sweep {
                sweep = at + SWEEP;
                self.sweep();
            }
            if self.leave_by.is_some_and(|by| at >= by) && self.left(mailbox) {
                return;
            }
        }
    }

    /// Drops what is kept for nobody: fingerprints that have lapsed, checks that nobody waits for, runs that
    /// may never have begun.
    fn sweep(&mut self) {
        self.company();
        self.tasks.fingerprints.sweep(self.tasks.now);
        self.tasks.send_again(false);
        self.checks.retain(|_, check| {
            let waits = check.since.elapsed() < LONGEST_CHECK;
            if !waits {
                checked(&check.client, check.request, false);
            }
            waits
        });
    }

    /// Says to the other processes of the fleet what this one is doing, and hears how many there are.
    fn company(&mut self) {
        let Some(company) = &self.company else { return };
        let load = self.gauges.cpu.map_or(0.0, |cpu| (cpu * 100.0).clamp(0.0, 100.0));
        let cold = self.tasks.now < self.cold_until;
        let leaves = self.leave_by.is_some();
        company.says(Doing { takes: self.tasks.good && !leaves, cold, leaves, load: load as u8 });
        if let Some(server) = &mut self.server {
            server.fleet(company.others());
        }
    }

    /// After all that was read is answered: lets the connections end, and waits for them.
    fn left(&mut self, mailbox: &Receiver<Mail>) -> bool {
        self.tasks.fronts.close();
        let last = Instant::now() + Duration::from_millis((0.8 * self.way_out_ms()) as u64);
        let mut hush = Instant::now();
        while self.tasks.fronts.open() > 0 && Instant::now() < last {
            // Again and again: connections that were accepted last have had time to bring their request.
            if Instant::now() >= hush {
                self.tasks.fronts.hush();
                hush += HUSH;
            }
            if let Ok(mail) = mailbox.recv_timeout(Duration::from_millis(2)) {
                self.handle(mail);
            }
            self.tasks.now = self.clock.now();
            if self.tasks.now >= self.tasks.wake_at {
                self.beat();
            }
        }
        let open = self.tasks.fronts.open();
        slog::info!(self.tasks.log.lines, "host: left"; "connections" => open);
        true
    }

    fn way_out_ms(&self) -> f64 {
        WAY_OUT_MS.min(self.stop_ms / 4.0)
    }

    fn handle(&mut self, mail: Mail) {
        self.tasks.now = self.clock.now();
        match mail {
            Mail::Task(request) => self.take(*request),
            Mail::Check { client, request, deep } => self.check(client, request, deep),
            Mail::Abort(way) => self.leave_task(way),
            Mail::Gone(connection) => self.gone(connection),
            Mail::Linked(commands) => self.linked(commands),
            Mail::Unlinked => {
                self.tasks.link.commands = None;
                self.checks_end();
            }
            Mail::Line(line) => self.line(line),
            Mail::Called { who, outcome, took_ms, body } => self.called(who, outcome, took_ms, &body),
            Mail::Keys(set) => self.keys(&set),
            Mail::Retold(peers, facts) => {
                self.tasks.callers.retold(facts, &self.tasks.log);
                self.moved(peers);
            }
            Mail::Leave => self.leave(),
            Mail::Report => self.report(),
            #[cfg(feature = "handover")]
            Mail::Handover(_) => {}
        }
        self.settle();
    }

    /// Nobody will say how the deep checks end.
    pub(crate) fn checks_end(&mut self) {
        self.checks.drain().for_each(|(_, check)| checked(&check.client, check.request, false));
    }

    /// Starts the module, unless it has begun.
    fn begin(&mut self, cold: bool, ago_ms: f64) {
        if self.server.is_none() {
            let mut told = self.tasks.facts.told.clone();
            told.cold |= cold;
            // The notice to leave may lie as long as answers may, before it is heeded: the grace began then.
            told.drain_grace_ms = (told.drain_grace_ms - self.way_out_ms()).max(0.0);
            slog::info!(self.tasks.log.lines, "host: begun"; "cold" => told.cold, "ago_ms" => ago_ms);
            // A cold server warms from the runtime's start on.
            let since = if told.cold { ago_ms.clamp(0.0, told.cold_ms) } else { 0.0 };
            self.cold_until = if told.cold { self.tasks.now - since + told.cold_ms } else { self.tasks.now };
            self.server = Some(Server::start(told, self.tasks.now - since, &mut self.tasks));
        }
    }

    fn beat(&mut self) {
        let (now, tasks) = (self.tasks.now, &mut self.tasks);
        // While a link is made anew the last gauges still tell more than none; old ones tell nothing.
        if now >= self.read_at + STALE_MS {
            self.gauges = Gauges::default();
        }
        if let Some(server) = &mut self.server {
            server.beat(now, self.gauges, tasks);
        }
        self.settle();
        self.ask_at = self.tasks.wake_at - AHEAD_MS;
    }

    /// Asks for the gauges, a moment before the beat that uses them. A runtime that is slow to answer is not
    /// asked again meanwhile, or for half a second.
    fn ask(&mut self) {
        self.ask_at = f64::INFINITY;
        let now = self.tasks.now;
        let tasks = &mut self.tasks;
        let link = &mut tasks.link;
        // Counted by beats: while the machine pauses there are none, and the runtime owes nothing.
        if now >= link.move_by {
            (link.move_by, link.commands) = (f64::INFINITY, None);
        }
        let owed = if link.replaying { link.ready } else { link.asked != link.came };
        link.silent = if owed { link.silent + 1 } else { 0 };
        if link.silent >= SILENT {
            link.silent = 0;
            link.commands = None; // the link ends, and is made again
        }
        let due = link.asked == link.came || now >= link.asked_at + 500.0;
        if link.commands.is_some() && !link.replaying && due {
            link.asked_at = now;
            let line = runtime::ask("gauges", &tasks.link.asked.to_string());
            tasks.link.asked += 1;
            tasks.send(line);
        }
    }

    fn take(&mut self, request: Request) {
        let Request { asked, token, certificate, body, client, request, since } = request;
        let Asked { id, stage, start_ms, caller, timeout_ms, hint_ms, kb, mut mark } = asked;
        let tasks = &mut self.tasks;
        if tasks.by_way.contains_key(&(client.connection(), request)) {
            // Two answers under one number could not be told apart: the first request keeps it.
            tasks.counters.requests_twice.add();
            return client.drop_one();
        }
        // Stamps are by the Unix clock, as is this difference alone.
        let since_ms = (unix_ms() - start_ms).max(0.0);
        // A stamp from before all else on its connection was read is wrong, and would be taken for a backlog.
        let unread_ms = since_ms.min(since.elapsed().as_secs_f64() * 1000.0);
        let ask = Ask {
            token: token.as_deref(),
            certificate: certificate.as_deref(),
            edge: caller,
            arrived_ms: tasks.now - unread_ms,
        };
        let who = match tasks.who(ask, (id, stage), &mut mark) {
            Ok(who) => who,
            Err(reply) => return client.answer(request, reply),
        };
        if tasks.by_id.contains_key(&id) {
            tasks.counters.tasks_senseless.add();
            return client.answer(request, Reply::Senseless);
        }
        let sign = tasks.fingerprints.sign(&body);
        if mark.as_ref().is_some_and(|mark| tasks.fingerprints.differs(mark, sign)) {
            // Another task under a known key: its result is not this one's.
            tasks.counters.tasks_senseless.add();
            return client.answer(request, Reply::Senseless);
        }
        let repeat = mark.as_ref().is_some_and(|mark| tasks.fingerprints.knows(mark, tasks.now - since_ms));
        let marked = tasks.facts.told.stages[stage].repeat == Repeat::Fingerprinted;
        if marked && !repeat && tasks.fingerprints.is_full() {
            // It could not be remembered, and so must not run.
            tasks.counters.requests_over.add();
            return client.answer(request, Reply::Overloaded);
        }
        let seat = match tasks.may(who.as_deref(), (id, stage), hint_ms, repeat) {
            Ok(seat) => seat,
            Err(reply) => return client.answer(request, reply),
        };
        tasks.counters.tasks_taken.add();
        tasks.counters.tasks_open.add();
        if self.callers.len() >= MOST_CALLERS {
            self.callers.clear();
        }
        let next = self.callers.len();
        let caller = *self.callers.entry(caller).or_insert(next);
        let arrival = Arrival {
            stage,
            customer: tasks.callers.customer(who.as_deref()),
            caller,
            unread_ms,
            left_ms: timeout_ms.map(|ms| (ms - since_ms).max(0.0)),
            hint_ms,
            kb,
            repeat,
        };
        tasks.serial += 1;
        let (serial, back) = (tasks.serial, Some((client, request)));
        let (caller, started, void, wants, sent) = (who, false, false, None, None);
        tasks.arriving = Some(Slot {
            serial,
            id,
            stage,
            body,
            sign,
            back,
            mark,
            caller,
            seat,
            started,
            void,
            wants,
            sent,
        });
        self.begin(false, 0.0);
        if let Some(server) = &mut self.server {
            server.take(self.tasks.now, arrival, &mut self.tasks);
        }
    }

    /// A set of keys has come. Whoever is revoked by it hears so at once where nothing runs for him yet; what
    /// runs goes on, and its result is kept.
    fn keys(&mut self, set: &[u8]) {
        if !self.tasks.callers.offer(self.tasks.now, set, &self.tasks.log) {
            return;
        }
        // All are answered before the module hears of the first: what it frees must start none of the others.
        let revoked = self.tasks.revoked();
        for (serial, reply) in &revoked {
            let tasks = &mut self.tasks;
            let Some(task) = tasks.by_serial.get(serial).copied() else { continue };
            if let Some(slot) = tasks.slot(task) {
                slot.void = true;
            }
            tasks.answer(task, reply.clone());
            tasks.counters.tasks_revoked.add();
        }
        for (serial, _) in revoked {
            let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
            if let Some(task) = tasks.by_serial.get(&serial).copied() {
                task.caller_left(server, tasks.now, tasks);
            }
        }
    }

    /// Nobody waits any more for this request.
    fn leave_task(&mut self, way: Way) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
        let Some(task) = tasks.by_way.remove(&way) else { return };
        let Some((client, request)) = tasks.slot(task).and_then(|slot| slot.back.take()) else { return };
        tasks.counters.tasks_left.add();
        tasks.counters.tasks_open.sub();
        // It is owed nothing; this frees its number on the connection.
        client.answer(request, Reply::Left);
        task.caller_left(server, tasks.now, tasks);
    }

    /// A connection broke: nobody waits for what is open on it.
    fn gone(&mut self, connection: u64) {
        let all = self.tasks.by_way.keys().filter(|way| way.0 == connection);
        for way in all.copied().collect::<Vec<_>>() {
            self.leave_task(way);
        }
    }

    /// Whatever became known while the module was deciding is told to it now.
    fn settle(&mut self) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
        loop {
            if let Some((who, result)) = tasks.joined.pop_front() {
                let Some(task) = tasks.by_serial.get(&who).copied() else { continue };
                let outcome = match result {
                    Some(result) => {
                        if tasks.finished(task, result) {
                            tasks.counters.tasks_joined.add();
                        }
                        Outcome::Ok
                    }
                    None => {
                        tasks.failed(task);
                        Outcome::Error
                    }
                };
                task.run_over(server, tasks.now, outcome, tasks);
            } else if let Some(who) = tasks.not_begun.pop_front() {
                let Some(task) = tasks.by_serial.get(&who).copied() else { continue };
                tasks.counters.calls_failed.add();
                task.call_over(server, tasks.now, Outcome::Unreachable, 0.0, tasks);
            } else if let Some(who) = tasks.not_started.pop_front() {
                let Some(task) = tasks.by_serial.get(&who).copied() else { continue };
                tasks.forget(task); // nothing was started: another of its tenant's may still run
                task.run_over(server, tasks.now, Outcome::Moot, tasks);
            } else {
                return;
            }
        }
    }

    // ---- The runtime ----

    fn linked(&mut self, commands: Sender<String>) {
        let _ = commands.try_send(runtime::sync(self.tasks.link.last));
        let link = &mut self.tasks.link;
        (link.commands, link.replaying, link.ready) = (Some(commands), true, false);
        link.move_by = f64::INFINITY;
    }

    /// The runtime is up and sends the notices that were missed. What was under way when the last link broke
    /// may have arrived or not: until the answer to this, which comes after them, nothing else is sent, so
    /// that no run that has ended is started. Asked any sooner, a runtime that is not up turns it down.
    fn ready(&mut self, cold: bool, ago_ms: f64) {
        self.begin(cold, ago_ms);
        let link = &mut self.tasks.link;
        (link.ready, link.silent) = (true, 0);
        if let Some(commands) = &link.commands {
            let _ = commands.try_send(runtime::ask("gauges", REPLAY));
        }
    }

    /// All missed notices are read: what may not have arrived is sent again.
    fn replayed(&mut self) {
        self.tasks.link.replaying = false;
        self.tasks.send_again(true);
    }

    /// The start file was read again. Calls and reports go to the new addresses from now on. The link to the
    /// runtime moves once all commands on the old one have arrived: what comes meanwhile waits for the new.
    fn moved(&mut self, to: Peers) {
        let was = std::mem::replace(&mut self.peers, to);
        self.tasks.counters.reloads.add();
        slog::info!(self.tasks.log.lines, "host: the start file is read again"; "runtime" => %to.runtime,
            "records" => %to.records, "registry" => %to.registry);
        self.tasks.records.go_to(to.records);
        if was.registry != to.registry {
            let _ = self.list.try_send(Word::Move(to.registry));
        }
        if was.runtime == to.runtime {
            return;
        }
        let _ = self.moves.try_send(Course::Move(to.runtime));
        if self.tasks.link.replaying {
            // One that is moving goes on; one that takes nothing yet has nothing to lose.
            if !self.tasks.link.move_by.is_finite() {
                self.tasks.link.commands = None;
            }
        } else if self.tasks.send(runtime::ask("gauges", LAST)) {
            (self.tasks.link.replaying, self.tasks.link.move_by) = (true, self.tasks.now + MOVING_MS);
        }
    }

    /// Every command on the link that is to end has arrived.
    fn flushed(&mut self) {
        let link = &mut self.tasks.link;
        link.asked += 1;
        (link.came, link.move_by, link.commands) = (link.asked, f64::INFINITY, None);
    }

    /// A notice is counted once, whichever link it came over.
    fn first(&mut self, no: u64) -> bool {
        let new = no > self.tasks.link.last;
        self.tasks.link.last = self.tasks.link.last.max(no);
        new
    }

    fn line(&mut self, line: Line) {
        static NACK: Kind = Kind::new();
        match line {
            Line::Ready { cold, time_ms } => self.ready(cold, time_ms),
            Line::Info(no) => drop(no.map(|no| self.first(no))),
            Line::End { no, id, how, body } if self.first(no) => self.run_over(&id, how, body),
            Line::Wants { no, id, body } if self.first(no) => {
                let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
                let Some(task) = tasks.by_id.get(&id).copied() else { return };
                let Some(slot) = tasks.slot(task) else { return };
                (slot.wants, slot.sent) = (Some((no, body)), None);
                task.needs_call(server, tasks.now, tasks);
            }
            Line::End { .. } | Line::Wants { .. } => {}
            Line::Load { mark, values } => {
                match mark.parse::<u64>() {
                    Ok(number) => self.tasks.link.came = self.tasks.link.came.max(number + 1),
                    Err(_) if mark == REPLAY => self.replayed(),
                    Err(_) if mark == LAST => self.flushed(),
                    Err(_) => {}
                }
                self.read_gauges(&values);
            }
            Line::Verdict { mark, good } => {
                let check = mark.parse().ok().and_then(|number: u64| self.checks.remove(&number));
                if let Some(check) = check {
                    checked(&check.client, check.request, good);
                }
            }
            Line::Nack { command, id } => {
                if self.tasks.log.may(&NACK) {
                    let about = id.and_then(|id| self.tasks.by_id.get(&id).copied());
                    let about = about.and_then(|task| self.tasks.about(task)).unwrap_or_default();
                    slog::error!(self.tasks.log.lines, "runtime: a command was not carried out";
                        "command" => &command, "id" => about.id, "stage" => about.stage,
                        "tenant" => about.tenant);
                }
                // Nothing runs. A run that waits at its call stays there until its task is given up.
                if let (Some(id), "start") = (id, command.as_str()) {
                    self.run_over(&id, How::Noop, Vec::new());
                }
            }
        }
    }

    fn read_gauges(&mut self, values: &[f64]) {
        self.read_at = self.tasks.now;
        self.gauges = Gauges::default();
        for (name, &value) in self.tasks.facts.gauges.iter().zip(values) {
            match name.as_str() {
                "core_use" => self.gauges.cpu = Some(value),
                "on_cores" => self.gauges.on_cores = Some(value),
                "heap_share" => self.gauges.memory = Some(value),
                "links" => self.gauges.connections = Some(value),
                _ => {}
            }
        }
    }

    fn run_over(&mut self, id: &Id, how: How, body: Vec<u8>) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
        let result: Option<Arc<[u8]>> = (how == How::Pass).then(|| body.into());
        #[cfg(feature = "handover")]
        tasks.ended_elsewhere(id, how == How::Noop, result.as_ref());
        let Some(task) = tasks.by_id.get(id).copied() else { return };
        let outcome = match (how, &result) {
            (How::Pass, Some(result)) => {
                tasks.counters.runs_passed.add();
                if tasks.finished(task, result.clone()) {
                    tasks.counters.tasks_finished.add();
                }
                Outcome::Ok
            }
            (How::Killed, _) => {
                tasks.counters.runs_killed.add();
                Outcome::Cancelled
            }
            (How::Noop, _) => {
                tasks.counters.runs_killed.add();
                Outcome::Moot
            }
            _ => {
                tasks.counters.runs_failed.add();
                tasks.failed(task);
                Outcome::Error
            }
        };
        if how == How::Noop {
            tasks.forget(task); // nothing was started: a true try under this key may still run
        } else {
            tasks.ended(task, result.as_ref());
        }
        task.run_over(server, tasks.now, outcome, tasks);
    }

    // ---- Calls, checks, leaving ----

    fn called(&mut self, who: Serial, outcome: Outcome, took_ms: f64, body: &[u8]) {
        static RECORDS: Kind = Kind::new();
        static REPLIES: Kind = Kind::new();
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else { return };
        if outcome == Outcome::Ok {
            tasks.counters.calls_passed.add();
        } else {
            tasks.counters.calls_failed.add();
        }
        let well = !matches!(outcome, Outcome::Unreachable | Outcome::Reset);
        if well != self.records_well {
            self.records_well = well;
            if well && tasks.log.may(&REPLIES) {
                slog::info!(tasks.log.lines, "records: replies again");
            } else if !well && tasks.log.may(&RECORDS) {
                let about = tasks.by_serial.get(&who).copied().and_then(|task| tasks.about(task));
                let about = about.unwrap_or_default();
                slog::warn!(tasks.log.lines, "records: a call broke"; "how" => ?outcome, "id" => about.id,
                    "stage" => about.stage, "tenant" => about.tenant);
            }
        }
        let Some(task) = tasks.by_serial.get(&who).copied() else { return }; // its task is over
        if outcome == Outcome::Ok {
            let Some(slot) = tasks.slot(task) else { return };
            if slot.wants.take().is_none() {
                return;
            }
            let line = runtime::give(&slot.id, body);
            tasks.command(task, line, false);
        }
        task.call_over(server, tasks.now, outcome, took_ms, tasks);
    }

    fn check(&mut self, client: Arc<dyn Client>, request: u16, deep: bool) {
        let tasks = &mut self.tasks;
        tasks.counters.checks.add();
        if deep && !tasks.stored && tasks.good {
            if tasks.link.commands.is_none() || tasks.link.replaying {
                return checked(&client, request, false);
            }
            tasks.serial += 1;
            self.checks.insert(tasks.serial, Check { client, request, since: Instant::now() });
            let line = runtime::ask("selftest", &tasks.serial.to_string());
            tasks.send(line);
            return;
        }
        checked(&client, request, tasks.good);
    }

    fn leave(&mut self) {
        if self.leave_by.is_some() {
            return;
        }
        let left_ms = self.stop_ms - self.way_out_ms();
        slog::info!(self.tasks.log.lines, "host: leaving"; "answers_within_ms" => left_ms);
        self.leave_by = Some(Instant::now() + Duration::from_millis(left_ms as u64));
        let _ = self.list.try_send(Word::Leave);
        self.begin(false, 0.0);
        if let Some(server) = &mut self.server {
            server.leave(self.tasks.now, left_ms, &mut self.tasks);
        }
    }

    /// Prints the counters.
    pub fn report(&self) {
        let tasks = &self.tasks;
        tasks.counters.fingerprints.set(tasks.fingerprints.len());
        tasks.counters.result_bytes.set(tasks.fingerprints.bytes());
        tasks.counters.memory_kib.set(resident_kib());
        tasks.callers.count();
        slog::info!(tasks.log.lines, "counters: {}", tasks.counters);
    }
}

fn checked(client: &Arc<dyn Client>, request: u16, good: bool) {
    client.clone().answer(request, Reply::Checked(good));
}
