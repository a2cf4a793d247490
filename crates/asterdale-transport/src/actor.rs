//! The state machine's actor: mail and times go in, datagrams and exchanges go out.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_membership::message::MAX_DATAGRAM_BYTES;
use asterdale_membership::{Action, Event, Membership, Metadata, Phase};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};

use crate::exchanges::{Exchanges, Word};
use crate::status::StatusReport;
use crate::FleetSummary;

/// No wait is longer, whatever is to come: a step of a clock must not put it to sleep.
const LONGEST: Duration = Duration::from_secs(1);
/// A process is warm from so many hundredths on: what is promised of it to callers holds.
const WARM: u8 = 80;

/// What comes to the state machine.
pub enum Mail {
    /// A datagram.
    Datagram(Vec<u8>),
    /// Another begins an exchange; what goes back is for this stream.
    Exchange(usize, Vec<u8>),
    /// What came back of one.
    Exchanged(Vec<u8>),
    /// What the process says of itself.
    Note(Metadata),
    /// Show what is held.
    Show(Sender<StatusReport>),
    /// Leave, and say when that is said.
    Leave(Sender<()>),
}

/// The actor.
pub struct Actor {
    pub(crate) fleet: Membership,
    pub(crate) began: Instant,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) exchanges: Exchanges,
    pub(crate) summary: Arc<FleetSummary>,
    /// Datagrams that found no place.
    pub(crate) dropped: Arc<AtomicU64>,
    /// Who waits until it has left.
    pub(crate) left: Option<Sender<()>>,
}

impl Actor {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// Serves until nobody can write to it any more.
    pub fn serve(mut self, mailbox: &Receiver<Mail>, heard: impl Fn(&Event)) {
        loop {
            let wait =
                ((self.fleet.next_wake_ms() - self.now()) / 1e3).clamp(0.0, LONGEST.as_secs_f64());
            let actions = match mailbox.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(mail) => self.take(mail),
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.act(actions, &heard);
            if self.now() >= self.fleet.next_wake_ms() {
                let now = self.now();
                let actions = self.fleet.wake(now);
                self.act(actions, &heard);
            }
            self.sum_up();
            if self.fleet.is_stopped() {
                if let Some(over) = self.left.take() {
                    let _ = over.try_send(());
                }
            }
        }
    }

    fn take(&mut self, mail: Mail) -> Vec<Action> {
        let now = self.now();
        match mail {
            Mail::Datagram(bytes) => self.fleet.handle_datagram(now, &bytes),
            Mail::Exchange(stream, bytes) => {
                let (back, actions) = self.fleet.handle_exchange_request(now, &bytes);
                self.exchanges.say(Word::Back(stream, back));
                actions
            }
            Mail::Exchanged(bytes) => self.fleet.handle_exchange_response(now, &bytes),
            Mail::Note(notes) => {
                self.fleet.set_metadata(notes);
                Vec::new()
            }
            Mail::Show(to) => {
                let dropped = self.dropped.load(Ordering::Relaxed);
                let _ = to.try_send(StatusReport::of(&self.fleet, now, dropped));
                Vec::new()
            }
            Mail::Leave(over) => {
                self.left = Some(over);
                self.fleet.leave(now)
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>, heard: &impl Fn(&Event)) {
        for action in actions {
            match action {
                // What does not go out is lost, as any datagram may be.
                Action::Send(to, bytes) => drop(self.socket.send_to(&bytes, to)),
                Action::Exchange(to, bytes) => self.exchanges.say(Word::Begin(to, bytes)),
                Action::Event(event) => {
                    heard(&event);
                    // Nothing that this program holds so far outlives a doubt: it is given up by the word alone.
                    if matches!(event, Event::DeclaredDead { .. }) {
                        let now = self.now();
                        let actions = self.fleet.rejoin(now);
                        self.act(actions, heard);
                    }
                }
            }
        }
    }

    fn sum_up(&self) {
        let (fleet, now) = (&self.fleet, self.now());
        let there = if fleet.is_member() {
            fleet.view().live_count() + 1
        } else {
            0
        };
        let takes = |notes: &Metadata| notes.phase == Phase::Ready && notes.warm_percent >= WARM;
        let others = fleet
            .view()
            .iter()
            .filter(|seen| seen.record.is_live() && takes(&seen.record.metadata));
        let own = fleet.is_member() && takes(&fleet.local_record().metadata);
        let warm = others.count() + usize::from(own);
        self.summary.own.store(u32::from(own), Ordering::Relaxed);
        self.summary.there.store(there as u32, Ordering::Relaxed);
        self.summary.warm.store(warm as u32, Ordering::Relaxed);
        self.summary
            .certain
            .store(u32::from(fleet.has_majority(now)), Ordering::Relaxed);
        self.summary
            .generation
            .store(fleet.local_record().generation, Ordering::Relaxed);
    }
}

/// Reads datagrams for as long as there is a mailbox.
pub fn datagrams(socket: &UdpSocket, mail: &Sender<Mail>, dropped: &AtomicU64) {
    // One byte more shows that it is too long.
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error here is another's answer to what was sent to nobody: there is nothing to be done about it.
        let Ok((count, _)): Result<(usize, SocketAddr), _> = socket.recv_from(&mut bytes) else {
            continue;
        };
        match mail.try_send(Mail::Datagram(bytes[..count].to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => drop(dropped.fetch_add(1, Ordering::Relaxed)),
            Err(TrySendError::Disconnected(_)) => return,
        }
    }
}
