//! The talk between the processes of a fleet, on real sockets: UDP for probes and news, TCP for exchanges of whole
//! views. Who is there is decided by `asterdale-membership`, which this drives: it owns the sockets, the clock and the
//! threads, and decides nothing. All answers go to the addresses that the others advertise, never to where a message
//! came from, so that a fleet works behind translated addresses.
//!
//! Three threads: [`actor`] owns the state machine; one reads datagrams; one ([`exchanges`]) waits for all streams
//! together. A fourth ([`control`]) where there is a control socket. Two more where work in hand is kept: [`custody`]
//! owns its state machines, [`links`] the streams that stay.

pub mod actor;
pub mod control;
mod exchanges;
mod links;
pub mod ownership;
pub mod status;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_membership::{Event, Membership, MembershipConfig, Metadata};
use crossbeam_channel::{bounded, Sender};

use actor::{Actor, Mail};
use status::StatusReport;

/// Mail that waits for the state machine. A datagram that finds no place is dropped, as on any full way.
const WAITING: usize = 4096;
/// Of threads that keep their buffers on the heap.
const STACK: usize = 256 * 1024;
/// How long whoever asks waits for a word of the state machine.
const PATIENCE: Duration = Duration::from_secs(5);

/// Where a process talks.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// Where it listens, over UDP and TCP.
    pub listen: SocketAddr,
    /// Path of its control socket, if it has one.
    pub control_socket: Option<PathBuf>,
    /// What it tells the others of itself; its address there is the one that they reach it at.
    pub membership: MembershipConfig,
    /// Where work in hand is kept, if it is.
    pub ownership: Option<ownership::OwnershipActorSettings>,
}

/// What is known of the fleet at any moment, for whoever decides with it. A hint: it may be old or wrong.
#[derive(Debug, Default)]
pub struct FleetSummary {
    /// Members that are there, this one among them; 0 before it is one.
    there: AtomicU32,
    /// Those of them that take work and are warm.
    warm: AtomicU32,
    /// 1 where this one is.
    own: AtomicU32,
    /// 1 where more than half of the fleet is heard.
    certain: AtomicU32,
    /// Its own generation.
    generation: AtomicU64,
}

impl FleetSummary {
    /// Members that are there, this one among them; 0 where that is not known, or known to a minority alone.
    pub fn live_members(&self) -> u32 {
        if self.certain.load(Ordering::Relaxed) == 1 {
            self.there.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    /// Those of them that take work and are warm.
    pub fn warm_members(&self) -> u32 {
        self.warm.load(Ordering::Relaxed).min(self.live_members())
    }

    /// This process is among those.
    pub fn is_local_warm(&self) -> bool {
        self.own.load(Ordering::Relaxed) == 1
    }

    /// The generation that this process has.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }
}

/// The talk, as others hold it.
#[derive(Clone)]
pub struct Transport {
    mail: Sender<Mail>,
    /// What is known of the fleet.
    pub summary: Arc<FleetSummary>,
    /// Where work in hand is kept.
    pub ownership: Option<ownership::OwnershipHandle>,
}

impl Transport {
    /// What this process says of itself from now on.
    pub fn publish_status(&self, notes: Metadata) {
        let _ = self.mail.try_send(Mail::Note(notes));
    }

    /// All that is held, for people and tools.
    pub fn status_report(&self) -> Option<StatusReport> {
        let (to, report) = bounded(1);
        self.mail.send_timeout(Mail::Show(to), PATIENCE).ok()?;
        report.recv_timeout(PATIENCE).ok()
    }

    /// Leaves the fleet; comes back once that has been said.
    pub fn leave(&self) -> bool {
        let (over, left) = bounded(1);
        self.mail.send_timeout(Mail::Leave(over), PATIENCE).is_ok()
            && left.recv_timeout(PATIENCE).is_ok()
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}

/// Begins to talk. `heard` is called with each event, in order, by the thread of the state machine, and `kept` with each
/// word of custody by that one's: they must not wait.
pub fn start(
    place: TransportSettings,
    heard: impl Fn(&Event) + Send + 'static,
    kept: impl Fn(ownership::OwnershipNotification) + Send + 'static,
) -> io::Result<Transport> {
    let socket = Arc::new(UdpSocket::bind(place.listen)?);
    let listener = TcpListener::bind(place.listen)?;
    let began = Instant::now();
    let (mail, mailbox) = bounded(WAITING);
    let summary = Arc::new(FleetSummary::default());
    let dropped = Arc::new(AtomicU64::new(0));
    let (mut streams, mut ownership) = (None, None);
    if let Some(told) = place.ownership {
        let start = &place.membership;
        let seal = MessageAuthenticator::new(&start.key);
        let (letters, read) = bounded(ownership::WAITING);
        let links = links::begin(seal.clone(), letters)?;
        let (name, node, at, seed) = (
            start.name.clone(),
            start.nonce | 1,
            start.address,
            start.random_seed,
        );
        let me = ownership::Me {
            name,
            node,
            at,
            seal,
            seed,
        };
        ownership = Some(ownership::begin(told, me, links.clone(), read, kept)?);
        streams = Some(links);
    }
    let exchanges = exchanges::begin(listener, mail.clone(), streams)?;
    let control = place
        .control_socket
        .as_deref()
        .map(control::bind)
        .transpose()?;
    let talk = Transport {
        mail: mail.clone(),
        summary: summary.clone(),
        ownership,
    };
    let actor = Actor {
        fleet: Membership::new(0.0, place.membership),
        began,
        socket: socket.clone(),
        exchanges,
        summary,
        dropped: dropped.clone(),
        left: None,
    };
    spawn("talk", move || actor.serve(&mailbox, heard))?;
    spawn("talk in", move || {
        actor::datagrams(&socket, &mail, &dropped)
    })?;
    if let Some((socket, path)) = control {
        let asked = talk.clone();
        spawn("talk control", move || {
            control::serve(&socket, &path, &asked)
        })?;
    }
    Ok(talk)
}
