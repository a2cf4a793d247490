//! The registry's actor: reports that this backend is ready, or draining. No report holds up the next one, or the word
//! to drain: a registry may accept a connection and stay silent.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token};

use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::http::Reply;
use crate::log::{Kind, Log};
use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::message::RegistryCommand;

/// The registry drops a backend 3 s after its last report: one of three may be lost.
const EVERY: Duration = Duration::from_millis(900);
/// A report that failed is soon made again, for a registry that has just come back.
const AGAIN: Duration = Duration::from_millis(200);
/// One that is not answered by then gets another beside it: five in a row may be lost within the 3 s.
const BESIDE: Duration = Duration::from_millis(300);
/// The deadline of a report over connecting, writing and reading: a registry that takes so long is still heard.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Reports that are out at once: as many as begin before the first is at its deadline.
const MOST_OUT: usize = 5;
/// The mailbox's; reports have the numbers below it.
const LETTERS: Token = Token(usize::MAX);
const EVENTS: usize = 16;

/// A report that is out.
struct Report {
    exchange: Exchange,
    began: Instant,
}

/// The actor, before it runs.
pub struct Reporter {
    poll: Poll,
    letters: MailboxReceiver<RegistryCommand>,
    at: SocketAddr,
    name: String,
    state: &'static str,
    /// Another process reports.
    quiet: bool,
    /// When the next report begins.
    due: Instant,
    /// Reports that are out, oldest first.
    out: BTreeMap<usize, Report>,
    next: usize,
    /// The last report counted.
    well: bool,
    counters: Arc<Counters>,
    log: Log,
}

/// An actor that will report to this registry, and its mailbox.
pub fn new(
    at: SocketAddr,
    name: String,
    counters: Arc<Counters>,
    log: Log,
) -> io::Result<(MailboxSender<RegistryCommand>, Reporter)> {
    let poll = Poll::new()?;
    let (post, letters) = mailbox::open(&poll, LETTERS)?;
    let reporter = Reporter {
        poll,
        letters,
        at,
        name,
        state: "ready",
        quiet: false,
        due: Instant::now(),
        out: BTreeMap::new(),
        next: 0,
        well: true,
        counters,
        log,
    };
    Ok((post, reporter))
}

impl Reporter {
    /// Reports for as long as the process lives.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            // Interrupted, it looks again; nothing else can go wrong with a poll that was made.
            let _ = self.poll.poll(&mut events, self.wait());
            let words: Vec<RegistryCommand> = self.letters.take().collect();
            words.into_iter().for_each(|word| self.hear(word));
            for event in &events {
                self.go_on(event.token().0);
            }
            self.expire();
            if !self.quiet && Instant::now() >= self.due {
                self.begin();
            }
        }
    }

    /// How long there is nothing to do unless something comes.
    fn wait(&self) -> Option<Duration> {
        let due = (!self.quiet).then_some(self.due);
        let deadline = self
            .out
            .values()
            .next()
            .map(|report| report.began + DEADLINE);
        let until = [due, deadline].into_iter().flatten().min()?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    /// Whatever is told is reported at once; what is out says something that no longer holds.
    fn hear(&mut self, word: RegistryCommand) {
        match word {
            RegistryCommand::Drain => self.state = "draining",
            RegistryCommand::SetAddress(to) => self.at = to,
            RegistryCommand::SetPaused(quiet) => self.quiet = quiet,
        }
        self.out.clear();
        self.due = Instant::now();
    }

    fn begin(&mut self) {
        let now = Instant::now();
        self.due = now + BESIDE;
        if self.out.len() >= MOST_OUT {
            self.out.pop_first();
        }
        let body = format!("{{\"state\":\"{}\"}}", self.state);
        let request = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.name,
            self.at,
            body.len()
        );
        let number = self.next;
        self.next += 1;
        match Exchange::begin(&self.poll, Token(number), self.at, request.into_bytes()) {
            Ok(exchange) => drop(self.out.insert(
                number,
                Report {
                    exchange,
                    began: now,
                },
            )),
            Err(e) => self.failed(&e),
        }
    }

    /// Something can be read or written for this report.
    fn go_on(&mut self, number: usize) {
        let Some(report) = self.out.get_mut(&number) else {
            return;
        };
        let began = report.began;
        match report.exchange.go_on() {
            Ok(None) => {}
            Ok(Some(Reply { status: 204, .. })) => self.counted(began),
            Ok(Some(reply)) => {
                self.out.remove(&number);
                self.failed(&io::Error::other(format!("status {}", reply.status)));
            }
            Err(e) => {
                self.out.remove(&number);
                self.failed(&e);
            }
        }
    }

    /// Ends the reports that are past their deadline.
    fn expire(&mut self) {
        let now = Instant::now();
        while self
            .out
            .first_entry()
            .is_some_and(|oldest| oldest.get().began + DEADLINE <= now)
        {
            self.out.pop_first();
            self.failed(&io::ErrorKind::TimedOut.into());
        }
    }

    /// A report that began then counts: the others that are out need not.
    fn counted(&mut self, began: Instant) {
        static AGAIN_WELL: Kind = Kind::new();
        self.counters.reports.add();
        if !std::mem::replace(&mut self.well, true) && self.log.allows(&AGAIN_WELL) {
            slog::info!(self.log.lines, "registry: reports count again");
        }
        self.out.clear();
        self.due = began + EVERY;
    }

    fn failed(&mut self, why: &io::Error) {
        static FAILED: Kind = Kind::new();
        self.counters.reports_failed.add();
        if std::mem::replace(&mut self.well, false) && self.log.allows(&FAILED) {
            slog::warn!(self.log.lines, "registry: a report failed"; "why" => %why);
        }
        self.due = self.due.min(Instant::now() + AGAIN);
    }
}
