//! How a serving process hands its work to another on the same machine, without I/O and clock: the messages, and a
//! state machine for each side. Events and times come in, actions go out; both are explored in every order of
//! messages, time-outs and deaths (`tests.rs`).
//!
//! The rule that all serves: at every instant at most one process may start work, and whoever may knows all that
//! was ever started. `docs/upgrade.md` weighs the ways and shows why it holds.

pub mod frame;
pub mod giver;
pub mod taker;

/// The messages, as `proto/handover.proto` has them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod message {
    include!(concat!(env!("OUT_DIR"), "/asterdale.handover.v1.rs"));
}

#[cfg(test)]
mod tests;

/// The protocol that this release speaks.
pub const VERSION: u32 = 1;
