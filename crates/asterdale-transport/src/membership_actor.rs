//! The membership actor: it passes messages and times to the membership state machine and carries out its actions. It makes
//! no decisions of its own.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_membership::{Action, Event, Membership};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::exchanges::{ExchangeCommand, Exchanges};
use crate::messages::MembershipMessage;
use crate::status::StatusReport;
use crate::summary::FleetSummary;

/// The longest wait for a message, so that a clock step cannot block the actor.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The state of the actor's thread.
pub(crate) struct MembershipActor<F> {
    pub(crate) membership: Membership,
    pub(crate) started: Instant,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) exchanges: Exchanges,
    pub(crate) summary: Arc<FleetSummary>,
    /// Datagrams that were dropped because the mailbox was full.
    pub(crate) dropped_datagrams: Arc<AtomicU64>,
    /// Notified once the process has left the fleet.
    pub(crate) waiting_for_leave: Option<Sender<()>>,
    pub(crate) on_event: F,
}

impl<F: Fn(&Event)> MembershipActor<F> {
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Handles messages until all senders of the mailbox are dropped.
    pub(crate) fn run(mut self, mailbox: &Receiver<MembershipMessage>) {
        loop {
            let wait_s = ((self.membership.next_wake_ms() - self.now_ms()) / 1e3)
                .clamp(0.0, MAX_WAIT.as_secs_f64());
            let actions = match mailbox.recv_timeout(Duration::from_secs_f64(wait_s)) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.carry_out(actions);
            if self.now_ms() >= self.membership.next_wake_ms() {
                let now_ms = self.now_ms();
                let actions = self.membership.wake(now_ms);
                self.carry_out(actions);
            }
            self.summary.update(&self.membership, self.now_ms());
            self.reply_after_leave();
        }
    }

    fn reply_after_leave(&mut self) {
        if !self.membership.is_stopped() {
            return;
        }
        if let Some(reply) = self.waiting_for_leave.take() {
            // The caller may have timed out.
            let _ = reply.try_send(());
        }
    }

    fn handle(&mut self, message: MembershipMessage) -> Vec<Action> {
        let now_ms = self.now_ms();
        match message {
            MembershipMessage::Datagram(bytes) => self.membership.handle_datagram(now_ms, &bytes),
            MembershipMessage::ExchangeRequest { stream, bytes } => {
                let (response, actions) = self.membership.handle_exchange_request(now_ms, &bytes);
                self.exchanges
                    .send(ExchangeCommand::Respond { stream, response });
                actions
            }
            MembershipMessage::ExchangeResponse(bytes) => {
                self.membership.handle_exchange_response(now_ms, &bytes)
            }
            MembershipMessage::SetMetadata(metadata) => {
                self.membership.set_metadata(metadata);
                Vec::new()
            }
            MembershipMessage::ReportStatus(reply) => {
                let dropped_datagrams = self.dropped_datagrams.load(Ordering::Relaxed);
                let report = StatusReport::new(&self.membership, now_ms, dropped_datagrams);
                // The caller may have timed out.
                let _ = reply.try_send(report);
                Vec::new()
            }
            MembershipMessage::Leave(reply) => {
                self.waiting_for_leave = Some(reply);
                self.membership.leave(now_ms)
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // A send error is ignored: datagrams may be lost anyway.
                Action::Send(to, bytes) => drop(self.socket.send_to(&bytes, to)),
                Action::Exchange(to, bytes) => {
                    let request = ExchangeCommand::Request { to, bytes };
                    self.exchanges.send(request);
                }
                Action::Event(event) => {
                    (self.on_event)(&event);
                    // `on_event` releases everything that depends on the old generation before it returns.
                    if matches!(event, Event::DeclaredDead { .. }) {
                        let now_ms = self.now_ms();
                        let actions = self.membership.rejoin(now_ms);
                        self.carry_out(actions);
                    }
                }
            }
        }
    }
}
