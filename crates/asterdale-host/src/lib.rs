//! The engine: one actor owns the server's decisions, its tasks and fingerprints; others keep the links to the
//! runtime, the records service and the registry. Fronts bring tasks as [`mail::Mail`] and take answers as
//! [`mail::Reply`]; which protocol they speak is theirs alone.
//!
//! Floors, from below: `mail` and what all share (`counters`, `log`, `gather`, `http`, `post`); the links (`runtime`,
//! `records`, `registry`, `issuer`), the table of `fingerprints` and the gate of `callers`; `tasks`; `host`. None
//! names one above it.

mod callers;
pub mod counters;
mod fingerprints;
pub mod gather;
pub mod host;
pub mod http;
pub mod issuer;
pub mod log;
pub mod mail;
#[cfg(feature = "handover")]
pub mod passing;
pub mod post;
pub mod records;
pub mod registry;
pub mod runtime;
mod tasks;

pub use host::{Around, Host};
