//! The sockets of the fleet: UDP datagrams for probes and gossip, TCP for exchanges of full membership views and for the
//! messages of replicated ownership, and a control socket. `asterdale-membership` and `asterdale-ownership` make the
//! decisions; this package owns the sockets, the clock and the threads. Messages are always sent to the addresses that the
//! members advertise, never to the source of an earlier message, so that a fleet works across address translation.
//!
//! Threads:
//! - `membership` owns the membership state machine.
//! - `datagrams` receives datagrams.
//! - `exchanges` polls all streams that carry one exchange.
//! - `fleet control` serves the control socket, if there is one.
//! - `ownership` owns the state machines of replicated ownership, and `streams` the persistent streams between them, if
//!   requests are replicated.

pub mod control;
mod datagrams;
mod exchanges;
mod framing;
mod handle;
mod membership_actor;
mod messages;
pub mod ownership;
mod persistent_streams;
mod start;
pub mod status;
mod summary;
mod threads;

pub use handle::Transport;
pub use start::{start, TransportSettings};
pub use summary::FleetSummary;
