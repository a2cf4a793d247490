//! Cluster membership: SWIM with the Lifeguard extensions, as a state machine without I/O and without a clock.
//!
//! [`Membership`] is the protocol state of one process. The caller passes in received datagrams, exchange messages, the
//! current time and a random seed; the state machine returns datagrams to send, exchanges to start, events for the
//! program, and the time at which its next timer is due. It runs no threads and opens no sockets, so tests and the
//! simulator can run complete fleets deterministically.
//!
//! The protocol follows SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2018).
//! `docs/fleet-view.md` compares the alternatives and lists what is added to the papers: generations that a restarted
//! process learns from the other members, pings to dead members so that partitions heal, detection of two processes
//! under one name, periodic exchange of full views, and an estimate of whether a process still reaches a majority.
//!
//! **A view is a hint, never a lock.** At any moment two processes may have different views.
//!
//! # Generation and incarnation
//!
//! Two numbers order the records of one name, and must not be confused:
//!
//! - The **generation** is the number of a run under the name. A process takes a new generation when it starts,
//!   and when it rejoins after other members declared it dead. The generation and a random nonce form the run ID
//!   ([`MemberRecord::run_id`]), which identifies one run of one process.
//! - The **incarnation** is SWIM's: it starts at 0 in each generation. A process raises it to refute a suspicion, or
//!   when its metadata changes. The record of a death has the incarnation after the suspected one.
//!
//! # Modules
//!
//! [`record`] orders contradictory records; [`message`] and [`authentication`] are the wire format; [`local_health`],
//! [`suspicion`] and [`gossip_queue`] implement one mechanism of the papers each; [`view`] is the membership table;
//! [`state_machine`] is the protocol; [`settings`] and [`config`] are its parameters.

pub mod authentication;
pub mod config;
pub mod counters;
pub mod event;
pub mod failpoint;
pub mod gossip_queue;
pub mod local_health;
pub mod message;
mod random;
mod receive_limiter;
pub mod record;
pub mod settings;
pub mod state_machine;
pub mod suspicion;
pub mod view;

pub use config::MembershipConfig;
pub use counters::Counters;
pub use event::{Action, Event, MemberChange};
pub use record::{MemberRecord, Metadata, Phase, Status};
pub use settings::Settings;
pub use state_machine::Membership;
pub use view::{MemberEntry, View};
