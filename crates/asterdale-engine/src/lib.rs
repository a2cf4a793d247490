//! The engine: one actor owns the server's policies and the task table; other actors hold the links to the runtime, the
//! records service, the registry and the key issuer. Frontends send requests as [`message::EngineMessage`] and get
//! replies as [`message::Reply`]; their wire protocol is not visible here.
//!
//! Layers, from the lowest:
//! - [`message`]: plain data types and port traits, which depend on no other module of the engine;
//! - shared parts: [`counters`], [`log`], `clock`, [`memory`], [`vectored_write`], [`http`], `exchange`, [`mailbox`];
//! - the links, one actor each: [`runtime`], [`records`], [`registry`], [`issuer`];
//! - state: `idempotency`, `identity_gate`, `health_check`, `paused`, the state part of `ownership`;
//! - `tasks`, the task table, and `access`, its identity checks;
//! - [`engine`], the actor itself, and its further concerns, one module each: `runtime_events`, `draining`,
//!   `ownership`, `state_transfer`.

mod access;
mod clock;
pub mod counters;
mod draining;
pub mod engine;
mod exchange;
mod health_check;
pub mod http;
mod idempotency;
mod identity_gate;
pub mod issuer;
pub mod log;
pub mod mailbox;
pub mod memory;
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
