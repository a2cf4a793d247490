//! The HTTP encoding of a call, and what the end of a call proves about whether it ran.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use asterdale::events::Outcome;

use crate::http::Response;
use crate::message::{request_id_text, Call};

/// Linux error numbers for a process or a machine that has no file descriptor or no buffer left.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// The header fields of a call whose task is claimed. They let the service apply the call only once, and reject calls
/// of older claims.
#[cfg(feature = "ownership")]
fn fence_fields(call: &Call) -> String {
    call.fence.as_ref().map_or_else(String::new, |fence| {
        format!("Op-Key: {}\r\nOp-Fence: {}\r\n", fence.key, fence.fence)
    })
}

#[cfg(not(feature = "ownership"))]
const fn fence_fields(_: &Call) -> &'static str {
    ""
}

/// Encodes a call for the service, including how long this process will still wait for the response.
pub(super) fn request_bytes(address: SocketAddr, call: &Call, deadline: Instant) -> Vec<u8> {
    let wait_ms = deadline
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    let mut bytes = format!(
        "POST /records/op HTTP/1.1\r\nHost: {address}\r\nOp-Of: {}\r\nOp-Wait-Ms: {wait_ms}\r\n{}\
         Content-Length: {}\r\n\r\n",
        request_id_text(&call.id),
        fence_fields(call),
        call.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}

/// The outcome that a response proves.
pub(super) fn response_outcome(response: &Response) -> Outcome {
    match (response.status, response.never_ran) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::Stale,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// The outcome that a failure to connect proves: that nothing ran, but only if the connection was refused or this
/// process had no resources for it.
pub(super) fn connect_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Outcome::Unreachable,
        _ if lacks_resources(error) => Outcome::Unreachable,
        _ => exchange_outcome(error),
    }
}

/// Whether the system refused a descriptor, a port or memory for a connection.
fn lacks_resources(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::AddrNotAvailable
        || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

/// The outcome that any other failure of a connection proves: nothing about whether the call ran.
pub(super) fn exchange_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Outcome::TimedOut,
        _ => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
