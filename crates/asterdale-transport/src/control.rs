//! The control socket of a process: a client sends a command as a line of text, and the server answers with a line of JSON.
//! The file permissions of the socket's folder decide who may connect.

mod client;
mod server;

use std::time::Duration;

pub use client::{leave, replica_status, show, ControlError};
pub(crate) use server::ControlSocket;

/// How long the server waits for a client to send or receive its line.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
// The commands.
const SHOW: &str = "show";
const LEAVE: &str = "leave";
const REPLICA_STATUS: &str = "keepers";
