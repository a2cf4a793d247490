//! Letters as bytes. All of them are untrusted: what can't be read, or makes no sense, is passed over.

use std::net::{IpAddr, SocketAddr};

use asterdale_membership::authentication::MessageAuthenticator;
use prost::Message as _;

/// The messages, as `proto/takeover.proto` has them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.takeover.v1.rs"));
}

pub use wire::letter::What;
pub use wire::order::What as Ordered;
pub use wire::{Letter, Member, Work};

/// A letter is no longer, in bytes: a whole book of the default size, and what the library puts around it.
pub const MOST_LETTER: usize = 24 * 1024 * 1024;
/// A name is no longer.
pub const MOST_NAME: usize = 64;
/// A key is no longer: stage, tenant, and what a caller may send.
pub const MOST_KEY: usize = 512;
/// Bodies and results are no longer; the platform's are 2 and 4 KiB.
pub const MOST_BODY: usize = 64 * 1024;

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
pub fn place(member: &Member) -> Option<SocketAddr> {
    let ip: IpAddr = match member.ip.len() {
        4 => <[u8; 4]>::try_from(&member.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&member.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(member.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// A letter as bytes.
pub fn encode(seal: &MessageAuthenticator, from: &Member, what: What) -> Vec<u8> {
    seal.authenticate(
        &Letter {
            from: Some(from.clone()),
            what: Some(what),
        }
        .encode_to_vec(),
    )
}

/// The letter of these bytes: who wrote it, from where, and what.
pub fn decode(seal: &MessageAuthenticator, bytes: &[u8]) -> Option<(Member, SocketAddr, What)> {
    if bytes.len() > MOST_LETTER {
        return None;
    }
    let letter = Letter::decode(seal.verify(bytes).ok()?).ok()?;
    let from = letter.from.filter(|from| {
        let named = !from.name.is_empty() && from.name.len() <= MOST_NAME;
        named && from.node != 0
    })?;
    let at = place(&from)?;
    Some((from, at, letter.what?))
}

/// Whether work makes sense: a peer's word fills no more than its place.
pub fn is_sound(work: &Work) -> bool {
    let times = [work.due_ms, work.window_ms, work.hint_ms, work.kb];
    (1..=MOST_KEY).contains(&work.key.len())
        && work.body.len() <= MOST_BODY
        && work.id.len() == 16
        && work.stage.len() <= MOST_NAME
        && times
            .iter()
            .all(|ms| ms.is_finite() && *ms >= 0.0 && *ms < 1e9)
}
