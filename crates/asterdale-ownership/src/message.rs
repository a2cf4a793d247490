//! Letters as bytes. All of them are untrusted: what can't be read, or makes no sense, is passed over.

use std::net::{IpAddr, SocketAddr};

use asterdale_membership::authentication::MessageAuthenticator;
use prost::Message as _;

/// The messages, as `proto/takeover.proto` has them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.takeover.v1.rs"));
}

pub use wire::command::Kind as CommandKind;
pub use wire::envelope::Body as MessageBody;
pub use wire::{Envelope, KeyedRequest, Member};

/// A letter is no longer, in bytes: a whole book of the default size, and what the library puts around it.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1024 * 1024;
/// A name is no longer.
pub const MAX_NAME_BYTES: usize = 64;
/// A key is no longer: stage, tenant, and what a caller may send.
pub const MAX_KEY_BYTES: usize = 512;
/// Bodies and results are no longer; the platform's are 2 and 4 KiB.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A process under this name, with this number, reached there.
pub fn member(name: &str, node: u64, at: SocketAddr) -> Member {
    let ip = match at.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    Member {
        name: name.to_owned(),
        node,
        ip,
        port: at.port().into(),
    }
}

/// Where it is reached; `None` if that makes no sense.
pub fn socket_addr(member: &Member) -> Option<SocketAddr> {
    let ip: IpAddr = match member.ip.len() {
        4 => <[u8; 4]>::try_from(&member.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&member.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(member.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// A letter as bytes.
pub fn encode(authenticator: &MessageAuthenticator, from: &Member, what: MessageBody) -> Vec<u8> {
    authenticator.authenticate(
        &Envelope {
            from: Some(from.clone()),
            body: Some(what),
        }
        .encode_to_vec(),
    )
}

/// The letter of these bytes: who wrote it, from where, and what.
pub fn decode(
    authenticator: &MessageAuthenticator,
    bytes: &[u8],
) -> Option<(Member, SocketAddr, MessageBody)> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let envelope = Envelope::decode(authenticator.verify(bytes).ok()?).ok()?;
    let from = envelope.from.filter(|from| {
        let named = !from.name.is_empty() && from.name.len() <= MAX_NAME_BYTES;
        named && from.node != 0
    })?;
    let at = socket_addr(&from)?;
    Some((from, at, envelope.body?))
}

/// Whether work makes sense: a peer's word fills no more than its place.
pub fn is_valid_request(work: &KeyedRequest) -> bool {
    let times = [
        work.deadline_ms,
        work.retry_window_ms,
        work.hint_ms,
        work.kb,
    ];
    (1..=MAX_KEY_BYTES).contains(&work.key.len())
        && work.body.len() <= MAX_BODY_BYTES
        && work.execution_id.len() == 16
        && work.class.len() <= MAX_NAME_BYTES
        && times
            .iter()
            .all(|ms| ms.is_finite() && *ms >= 0.0 && *ms < 1e9)
}
