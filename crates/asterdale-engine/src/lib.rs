//! The engine: one actor owns the server's decisions, its tasks and fingerprints; others keep the links to the
//! runtime, the records service and the registry. Fronts bring tasks as [`mail::Mail`] and take answers as
//! [`mail::Reply`]; which protocol they speak is theirs alone.
//!
//! Floors, from below: `mail` (plain data, which imports nothing of the engine) and what all share (`counters`, `log`,
//! `clock`, `gather`, `http`, `exchange`, `post`); the links (`runtime`, `records`, `registry`, `issuer`), the table of `fingerprints`
//! and `callers`; `tasks` and its `gate`; `host`, the module's actor; and what else that actor does, a file a concern:
//! `below` (the runtime's word, calls, checks), `custody` (work that others keep), `leaving`,
//! `passing`. None names one above it.

#[cfg(feature = "hot-restart")]
mod aside;
mod below;
mod callers;
mod checks;
mod clock;
pub mod counters;
#[cfg(feature = "ownership")]
mod custody;
mod exchange;
mod fingerprints;
mod gate;
pub mod gather;
pub mod host;
pub mod http;
pub mod issuer;
mod leaving;
pub mod log;
pub mod mail;
#[cfg(feature = "hot-restart")]
pub mod passing;
pub mod post;
pub mod records;
pub mod registry;
pub mod runtime;
mod tasks;

pub use host::{Around, Host};
