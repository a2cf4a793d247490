//! Encoding of the messages between owners and replicas. All received bytes are untrusted: messages that are malformed
//! or invalid are ignored.

use std::net::{IpAddr, SocketAddr};

use asterdale_membership::authentication::MessageAuthenticator;
use prost::Message as _;

/// The messages of `proto/takeover.proto`, which documents them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.takeover.v1.rs"));
}

pub use wire::command::Kind as CommandKind;
pub use wire::envelope::Body as MessageBody;
pub use wire::{Envelope, KeyedRequest, Member};

/// Maximum size of a message: a snapshot of a table of the default size (16 MiB) and the overhead of the `raft` crate.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1024 * 1024;
/// Maximum length of the name of a process or a request class.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a key: request class, tenant, and the longest idempotency key that a caller may send.
pub const MAX_KEY_BYTES: usize = 512;
/// Maximum size of a body and of a result. The platform's bodies are up to 2 KiB, its results up to 4 KiB.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Length of an execution id.
const EXECUTION_ID_BYTES: usize = 16;
/// Exclusive upper bound of the durations and sizes of a request: eleven days in milliseconds.
const REQUEST_NUMBER_LIMIT: f64 = 1e9;

/// The `Member` message for the process with this name, node id and address.
pub fn member(name: &str, node: u64, address: SocketAddr) -> Member {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    Member {
        name: name.to_owned(),
        node,
        ip,
        port: address.port().into(),
    }
}

/// The address of a process; `None` if it is malformed.
pub fn socket_addr(member: &Member) -> Option<SocketAddr> {
    let ip: IpAddr = match member.ip.len() {
        4 => <[u8; 4]>::try_from(&member.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&member.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(member.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// Encodes a message of `from`.
pub fn encode(authenticator: &MessageAuthenticator, from: &Member, body: MessageBody) -> Vec<u8> {
    let envelope = Envelope {
        from: Some(from.clone()),
        body: Some(body),
    };
    authenticator.authenticate(&envelope.encode_to_vec())
}

/// Decodes a message into its sender, the sender's address, and its body; `None` if it is not authentic or is
/// malformed.
pub fn decode(
    authenticator: &MessageAuthenticator,
    bytes: &[u8],
) -> Option<(Member, SocketAddr, MessageBody)> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let envelope = Envelope::decode(authenticator.verify(bytes).ok()?).ok()?;
    let from = envelope.from.filter(is_valid_sender)?;
    let address = socket_addr(&from)?;
    Some((from, address, envelope.body?))
}

fn is_valid_sender(from: &Member) -> bool {
    (1..=MAX_NAME_BYTES).contains(&from.name.len()) && from.node != 0
}

/// Whether all fields of a request are within their bounds, so that no process can grow the table beyond its limits.
pub fn is_valid_request(request: &KeyedRequest) -> bool {
    let numbers = [
        request.deadline_ms,
        request.retry_window_ms,
        request.hint_ms,
        request.kb,
    ];
    (1..=MAX_KEY_BYTES).contains(&request.key.len())
        && request.body.len() <= MAX_BODY_BYTES
        && request.execution_id.len() == EXECUTION_ID_BYTES
        && request.class.len() <= MAX_NAME_BYTES
        && numbers
            .iter()
            .all(|number| number.is_finite() && *number >= 0.0 && *number < REQUEST_NUMBER_LIMIT)
}
