//! The registry's actor: reports that this backend is ready, or draining. No report delays the next one, or a command
//! to drain: a registry may accept a connection and never answer.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token};

use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::http::Reply;
use crate::log::{Log, LogLimit};
use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::message::RegistryCommand;

/// The interval between reports: the registry drops a backend 3 s after its last one, so one of three may be lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// A report that failed is repeated this soon, for a registry that has just come back.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A report that is not answered by then gets another beside it: five in a row may be lost within the 3 s.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// The deadline of a report, for connecting, writing and reading: a registry that takes this long still accepts it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Reports that are out at once: as many as start before the first is at its deadline.
const MAX_OPEN_REPORTS: usize = 5;
/// The mailbox's token; reports have the numbers below it.
const MAILBOX: Token = Token(usize::MAX);
/// Events that one poll takes.
const EVENTS_PER_POLL: usize = 16;
/// The status of a report that was accepted.
const NO_CONTENT: u16 = 204;

/// The state that is reported.
#[derive(Clone, Copy)]
enum ReportedState {
    Ready,
    Draining,
}

impl ReportedState {
    const fn text(self) -> &'static str {
        match self {
            ReportedState::Ready => "ready",
            ReportedState::Draining => "draining",
        }
    }
}

/// A report under way.
struct Report {
    exchange: Exchange,
    start: Instant,
}

/// The actor.
pub struct Reporter {
    poll: Poll,
    mailbox: MailboxReceiver<RegistryCommand>,
    address: SocketAddr,
    /// The name of this backend.
    name: String,
    state: ReportedState,
    /// Another process reports.
    is_paused: bool,
    next_report: Instant,
    /// Reports under way, oldest first.
    open: BTreeMap<usize, Report>,
    next_number: usize,
    /// The last report was accepted.
    is_accepted: bool,
    counters: Arc<Counters>,
    log: Log,
}

/// An actor that reports to the registry at this address, and its mailbox.
///
/// # Errors
/// The system refuses a poll.
pub fn new(
    address: SocketAddr,
    name: String,
    counters: Arc<Counters>,
    log: Log,
) -> io::Result<(MailboxSender<RegistryCommand>, Reporter)> {
    let poll = Poll::new()?;
    let (commands, mailbox) = mailbox::open(&poll, MAILBOX)?;
    let reporter = Reporter {
        poll,
        mailbox,
        address,
        name,
        state: ReportedState::Ready,
        is_paused: false,
        next_report: Instant::now(),
        open: BTreeMap::new(),
        next_number: 0,
        is_accepted: true,
        counters,
        log,
    };
    Ok((commands, reporter))
}

impl Reporter {
    /// Reports for as long as the process lives.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        loop {
            // Interrupted, it looks again; nothing else can go wrong with a poll that was made.
            let _ = self.poll.poll(&mut events, self.wait());
            let commands: Vec<RegistryCommand> = self.mailbox.take().collect();
            for command in commands {
                self.obey(command);
            }
            for event in &events {
                self.advance(event.token().0);
            }
            self.expire();
            if !self.is_paused && Instant::now() >= self.next_report {
                self.start_report();
            }
        }
    }

    /// How long there is nothing to do unless an event comes.
    fn wait(&self) -> Option<Duration> {
        let next_report = (!self.is_paused).then_some(self.next_report);
        let oldest = self.open.values().next();
        let deadline = oldest.map(|report| report.start + REPORT_TIMEOUT);
        let until = [next_report, deadline].into_iter().flatten().min()?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    /// Every command is reported at once. What is under way says something that no longer holds.
    fn obey(&mut self, command: RegistryCommand) {
        match command {
            RegistryCommand::Drain => self.state = ReportedState::Draining,
            RegistryCommand::SetAddress(address) => self.address = address,
            RegistryCommand::SetPaused(is_paused) => self.is_paused = is_paused,
        }
        self.open.clear();
        self.next_report = Instant::now();
    }

    fn start_report(&mut self) {
        let start = Instant::now();
        self.next_report = start + HEDGE_DELAY;
        if self.open.len() >= MAX_OPEN_REPORTS {
            self.open.pop_first();
        }
        let body = format!("{{\"state\":\"{}\"}}", self.state.text());
        let request = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.name,
            self.address,
            body.len()
        );
        let number = self.next_number;
        self.next_number += 1;
        let request = request.into_bytes();
        match Exchange::begin(&self.poll, Token(number), self.address, request) {
            Ok(exchange) => {
                self.open.insert(number, Report { exchange, start });
            }
            Err(e) => self.report_failed(&e),
        }
    }

    /// The connection of this report is readable or writable.
    fn advance(&mut self, number: usize) {
        let Some(report) = self.open.get_mut(&number) else {
            return;
        };
        let start = report.start;
        let error = match report.exchange.go_on() {
            Ok(None) => return,
            Ok(Some(Reply {
                status: NO_CONTENT, ..
            })) => return self.report_accepted(start),
            Ok(Some(reply)) => io::Error::other(format!("status {}", reply.status)),
            Err(e) => e,
        };
        self.open.remove(&number);
        self.report_failed(&error);
    }

    /// Ends the reports that are past their deadline.
    fn expire(&mut self) {
        let now = Instant::now();
        while self
            .open
            .first_entry()
            .is_some_and(|oldest| oldest.get().start + REPORT_TIMEOUT <= now)
        {
            self.open.pop_first();
            self.report_failed(&io::ErrorKind::TimedOut.into());
        }
    }

    /// A report that started then was accepted: the others under way are not needed.
    fn report_accepted(&mut self, start: Instant) {
        static ACCEPTED: LogLimit = LogLimit::new();
        self.counters.reports.add();
        if !std::mem::replace(&mut self.is_accepted, true) && self.log.allows(&ACCEPTED) {
            slog::info!(self.log.lines, "registry: reports accepted again");
        }
        self.open.clear();
        self.next_report = start + REPORT_INTERVAL;
    }

    fn report_failed(&mut self, error: &io::Error) {
        static FAILED: LogLimit = LogLimit::new();
        self.counters.reports_failed.add();
        if std::mem::replace(&mut self.is_accepted, false) && self.log.allows(&FAILED) {
            slog::warn!(self.log.lines, "registry: report failed"; "error" => %error);
        }
        self.next_report = self.next_report.min(Instant::now() + RETRY_INTERVAL);
    }
}
