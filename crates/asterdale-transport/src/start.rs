//! Starting the transport: binds the sockets and starts the threads.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Instant;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_membership::{Event, Membership, MembershipConfig};
use crossbeam_channel::bounded;

use crate::control;
use crate::datagrams;
use crate::exchanges;
use crate::handle::Transport;
use crate::membership_actor::MembershipActor;
use crate::ownership::{
    self, LocalProcess, OwnershipActorSettings, OwnershipHandle, OwnershipNotification,
};
use crate::persistent_streams::{self, PersistentStreams};
use crate::summary::FleetSummary;
use crate::threads;

/// The capacity of the membership actor's mailbox. If it is full, a datagram is dropped, as by any full queue on its path;
/// the protocol repeats what has to arrive.
const MAILBOX_CAPACITY: usize = 4096;

/// The settings of the transport.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The local address, over UDP and TCP.
    pub listen: SocketAddr,
    /// The path of the control socket, if there is one.
    pub control_socket: Option<PathBuf>,
    /// The local member, with the address that it advertises, and the protocol's settings.
    pub membership: MembershipConfig,
    /// How keyed requests are replicated, if they are.
    pub ownership: Option<OwnershipActorSettings>,
}

/// Starts the transport. The membership actor's thread calls `on_event` with each membership event, in order, and the
/// ownership actor's thread calls `on_notification` with each of its notifications. Neither callback may block.
///
/// # Errors
/// If a socket cannot be bound or a thread cannot be started.
pub fn start(
    settings: TransportSettings,
    on_event: impl Fn(&Event) + Send + 'static,
    on_notification: impl Fn(OwnershipNotification) + Send + 'static,
) -> io::Result<Transport> {
    let socket = Arc::new(UdpSocket::bind(settings.listen)?);
    let listener = TcpListener::bind(settings.listen)?;
    let started = Instant::now();
    let (mailbox, messages) = bounded(MAILBOX_CAPACITY);
    let summary = Arc::new(FleetSummary::default());
    let dropped_datagrams = Arc::new(AtomicU64::new(0));
    let ownership = settings
        .ownership
        .map(|ownership| start_ownership(ownership, &settings.membership, on_notification))
        .transpose()?;
    let (ownership, streams) = ownership.unzip();
    let exchanges = exchanges::start(listener, mailbox.clone(), streams)?;
    let control_socket = settings
        .control_socket
        .map(control::ControlSocket::bind)
        .transpose()?;
    let transport = Transport {
        mailbox: mailbox.clone(),
        summary: summary.clone(),
        ownership,
    };
    let actor = MembershipActor {
        membership: Membership::new(0.0, settings.membership),
        started,
        socket: socket.clone(),
        exchanges,
        summary,
        dropped_datagrams: dropped_datagrams.clone(),
        waiting_for_leave: None,
        on_event,
    };
    threads::spawn("membership", move || actor.run(&messages))?;
    threads::spawn("datagrams", move || {
        datagrams::receive(&socket, &mailbox, &dropped_datagrams);
    })?;
    if let Some(control_socket) = control_socket {
        let transport = transport.clone();
        threads::spawn("fleet control", move || control_socket.serve(&transport))?;
    }
    Ok(transport)
}

/// Starts the ownership actor, and the thread of the streams between the processes' ownership actors.
fn start_ownership(
    settings: OwnershipActorSettings,
    membership: &MembershipConfig,
    on_notification: impl Fn(OwnershipNotification) + Send + 'static,
) -> io::Result<(OwnershipHandle, PersistentStreams)> {
    let authenticator = MessageAuthenticator::new(&membership.key);
    let (messages, received) = bounded(ownership::MESSAGE_QUEUE_CAPACITY);
    let streams = persistent_streams::start(authenticator.clone(), messages)?;
    let local = LocalProcess {
        name: membership.name.clone(),
        // Odd, so that it is never 0, the id of no process.
        node_id: membership.nonce | 1,
        address: membership.address,
        authenticator,
        random_seed: membership.random_seed,
    };
    let handle = ownership::start(settings, local, streams.clone(), received, on_notification)?;
    Ok((handle, streams))
}
