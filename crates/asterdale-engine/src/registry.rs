//! The registry's actor: reports to the registry that this backend is ready or draining. A report without an answer
//! delays neither the next report nor a command to drain, because a registry may accept a connection and never answer.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token};

use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::http::Response;
use crate::log::{Log, LogLimit};
use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::message::RegistryCommand;

/// The interval between reports. The registry drops a backend 3 s after its last report, so one of three may be lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// The delay before a failed report is repeated. It is short, so that a registry that has just become reachable again
/// gets a report soon.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// If a report is not answered within this time, another one is sent in parallel: five in a row may be lost within the
/// 3 s.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// The timeout of a report, including connecting, writing and reading. It is long, so that reports to a registry that
/// needs most of this time are still accepted.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum number of reports in flight: as many as are started before the first one times out.
const MAX_OPEN_REPORTS: usize = 5;
/// The poll token of the mailbox; the tokens of reports are the numbers below it.
const MAILBOX: Token = Token(usize::MAX);
/// The maximum number of events per poll.
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

/// A report in flight.
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
    /// Another process reports in place of this one.
    is_paused: bool,
    next_report: Instant,
    /// Reports in flight, oldest first.
    open: BTreeMap<usize, Report>,
    next_number: usize,
    /// Whether the last report was accepted.
    is_accepted: bool,
    counters: Arc<Counters>,
    log: Log,
}

/// Creates an actor that reports to the registry at this address, and the sender of its mailbox.
///
/// # Errors
/// The system cannot create a poll.
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
    /// Reports until the process ends.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        loop {
            // An interrupted poll is repeated by the loop; a poll that was created successfully has no other errors.
            let _ = self.poll.poll(&mut events, self.wait());
            let commands: Vec<RegistryCommand> = self.mailbox.take().collect();
            for command in commands {
                self.handle_command(command);
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

    /// How long to wait for events: until the next report or the next timeout is due.
    fn wait(&self) -> Option<Duration> {
        let next_report = (!self.is_paused).then_some(self.next_report);
        let oldest = self.open.values().next();
        let deadline = oldest.map(|report| report.start + REPORT_TIMEOUT);
        let until = [next_report, deadline].into_iter().flatten().min()?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    /// Carries out a command, and reports at once. Reports in flight are dropped, because their content is outdated.
    fn handle_command(&mut self, command: RegistryCommand) {
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

    /// Continues a report whose connection is readable or writable.
    fn advance(&mut self, number: usize) {
        let Some(report) = self.open.get_mut(&number) else {
            return;
        };
        let start = report.start;
        let error = match report.exchange.advance() {
            Ok(None) => return,
            Ok(Some(Response {
                status: NO_CONTENT, ..
            })) => return self.report_accepted(start),
            Ok(Some(response)) => io::Error::other(format!("status {}", response.status)),
            Err(e) => e,
        };
        self.open.remove(&number);
        self.report_failed(&error);
    }

    /// Ends the reports that have timed out.
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

    /// Handles the acceptance of a report that was started at this time. The others in flight are no longer needed.
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
