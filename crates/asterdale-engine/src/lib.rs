//! The engine: one actor owns the server's decisions, its tasks and fingerprints; others keep the links to the
//! runtime, the records service and the registry. Fronts bring tasks as [`mail::Mail`] and take answers as
//! [`mail::Reply`]; which protocol they speak is theirs alone.
//!
//! Floors, from below: `mail` (plain data, which imports nothing of the engine) and what all share (`counters`, `log`,
//! `clock`, `gather`, `http`, `exchange`, `post`); the links (`runtime`, `records`, `registry`, `issuer`), the table of `fingerprints`
//! and `callers`; `tasks` and its `gate`; `host`, the module's actor; and what else that actor does, a file a concern:
//! `below` (the runtime's word, calls, checks), `custody` (work that others keep), `leaving`,
//! `passing`. None names one above it.

mod access;
mod checks;
mod clock;
pub mod counters;
mod draining;
pub mod engine;
mod exchange;
pub mod http;
mod idempotency;
mod identity_gate;
pub mod issuer;
pub mod log;
pub mod mailbox;
pub mod message;
#[cfg(feature = "ownership")]
mod ownership;
#[cfg(feature = "hot-restart")]
mod paused;
pub mod records;
pub mod registry;
pub mod runtime;
mod runtime_events;
#[cfg(feature = "hot-restart")]
pub mod state_transfer;
mod tasks;
pub mod vectored_write;

pub use engine::{Engine, EnginePorts};
