//! What the state machine returns to its caller: actions, and events for the program.

use std::net::SocketAddr;

/// How another member's record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It is alive and was unknown or dead before.
    Joined,
    /// It is alive under a known name with a newer run ID.
    Restarted,
    /// It is suspected.
    Suspected,
    /// It refuted the suspicion.
    Refuted,
    /// It was declared dead.
    Died,
    /// It left on its own.
    Left,
}

/// A notification to the program. The program has to act on some of the variants.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The highest generation that other members have reported for this process's name; 0 if none has. Emitted before
    /// [`Event::Joined`].
    PriorGeneration(u64),
    /// This process became a member, with this generation.
    Joined(u64),
    /// The record of another member changed.
    MemberChanged {
        /// The member's name.
        name: String,
        /// The member's generation.
        generation: u64,
        /// What changed.
        change: MemberChange,
        /// Name of the process that reported it.
        reported_by: String,
    },
    /// Other members declared this process dead, and it cannot be sure that it reached a majority in the meantime. The
    /// program gives up everything that the process owns, then calls
    /// [`Membership::rejoin`](crate::Membership::rejoin).
    DeclaredDead {
        /// Name of the process that reported it.
        reported_by: String,
    },
    /// This process is a member again, with this generation.
    Rejoined(u64),
    /// A newer process may be alive under this process's name at this address. Until that is known, this process sends
    /// no gossip and answers no pings.
    NameConflict(SocketAddr),
    /// A newer process has this process's name, at this address. This process is no longer a member.
    Superseded(SocketAddr),
    /// This process was paused for this many milliseconds.
    Paused(f64),
    /// Whether this process reaches more than half of the fleet, see
    /// [`Membership::has_majority`](crate::Membership::has_majority).
    MajorityChanged(bool),
    /// Another process supports none of this release's protocol versions.
    VersionRejected {
        /// The lowest version that it supports.
        min_version: u32,
        /// The highest version that it supports.
        max_version: u32,
    },
}

/// What the caller has to do. Actions are performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the datagram to the address.
    Send(SocketAddr, Vec<u8>),
    /// Connect to the address, send the bytes, and pass the response to
    /// [`Membership::handle_exchange_response`](crate::Membership::handle_exchange_response).
    Exchange(SocketAddr, Vec<u8>),
    /// Pass the event to the program.
    Event(Event),
}
