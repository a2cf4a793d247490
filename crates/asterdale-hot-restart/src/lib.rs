//! Hot restart: the protocol by which a new process takes over from a serving one on the same machine. Messages, their
//! frames, and a state machine for each side, without I/O and without a clock: events and times come in, actions go
//! out.
//!
//! Both state machines keep two invariants at all times: at most one process may start requests, and a process that may
//! start requests knows all that were ever started. `tests/exploration.rs` checks them in every order of messages,
//! timeouts and crashes; `docs/upgrade.md` compares this design with others.

pub mod frame;
pub mod new_process;
pub mod old_process;

/// The messages, generated from `proto/hot_restart.proto`.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod message {
    include!(concat!(env!("OUT_DIR"), "/asterdale.hot_restart.v1.rs"));
}

/// The version of the protocol. Processes of different versions reject each other.
pub const VERSION: u32 = 1;
