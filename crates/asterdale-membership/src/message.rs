//! Messages as bytes, and what of them is taken. All of it is untrusted: a name too long, an address of no length, an
//! unknown status make a record nothing, not an error; a message too long is not read at all.

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;

use crate::authentication::{AuthenticationError, MessageAuthenticator, PROTOCOL_VERSION};
use crate::record::{MemberRecord, Metadata, Phase, Status};

/// The messages, as `proto/members.proto` has them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.members.v1.rs"));
}

pub use wire::message::Payload;
pub use wire::{Ack, FullView, Message, Nack, Ping, PingRequest, VersionRejection};

/// A datagram is no longer, in bytes: it passes every network whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// One side of an exchange is no longer: 4,096 members with names of a sensible length.
pub const MAX_EXCHANGE_BYTES: usize = 1024 * 1024;
/// A name is no longer.
pub const MAX_NAME_BYTES: usize = 64;
/// What a datagram has room for beside its news: the check, the sender's own record, and what is asked.
const RESERVED_BYTES: usize = 400;

/// Why a message is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is longer than any may be.
    TooLong,
    /// It was not made with the fleet's key, or was changed.
    Unauthenticated,
    /// Of another version. Where to say so, if it tells that as this version does.
    UnsupportedVersion(u8, Option<SocketAddr>),
    /// It can't be read, or does not say who speaks.
    Malformed,
}

/// An address as a message has it.
fn encode_address(at: SocketAddr) -> wire::Address {
    let ip = match at.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    wire::Address {
        ip,
        port: at.port().into(),
    }
}

fn decode_address(at: Option<&wire::Address>) -> Option<SocketAddr> {
    let at = at?;
    let ip: IpAddr = match at.ip.len() {
        4 => <[u8; 4]>::try_from(&at.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&at.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(at.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// A record as a message has it.
pub fn encode_record(record: &MemberRecord) -> wire::Record {
    wire::Record {
        name: record.name.clone(),
        address: Some(encode_address(record.address)),
        generation: record.generation,
        nonce: record.nonce,
        incarnation: record.incarnation,
        status: record.status as u32,
        phase: record.metadata.phase as u32,
        load_percent: record.metadata.load_percent.into(),
        warm_percent: record.metadata.warm_percent.into(),
        reported_by: record.reported_by.clone(),
    }
}

/// The record that a message has; `None` if it makes no sense.
pub fn decode_record(record: &wire::Record) -> Option<MemberRecord> {
    let named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !named(&record.name) || record.reported_by.len() > MAX_NAME_BYTES {
        return None;
    }
    let hundredths = |n: u32| u8::try_from(n.min(100)).unwrap_or(100);
    Some(MemberRecord {
        name: record.name.clone(),
        address: decode_address(record.address.as_ref())?,
        generation: record.generation,
        nonce: record.nonce,
        incarnation: record.incarnation,
        status: match record.status {
            0 => Status::Alive,
            1 => Status::Suspect,
            2 => Status::Dead,
            3 => Status::Left,
            _ => return None,
        },
        metadata: Metadata {
            phase: match record.phase {
                0 => Phase::WarmingUp,
                1 => Phase::Ready,
                2 => Phase::AtCapacity,
                _ => Phase::Draining,
            },
            load_percent: hundredths(record.load_percent),
            warm_percent: hundredths(record.warm_percent),
        },
        reported_by: record.reported_by.clone(),
    })
}

/// A question to another for a third.
pub fn ping_request(seq: u32, record: &MemberRecord) -> Payload {
    Payload::PingRequest(PingRequest {
        seq,
        name: record.name.clone(),
        address: Some(encode_address(record.address)),
    })
}

/// Whom a question is about.
pub fn ping_request_address(request: &PingRequest) -> Option<SocketAddr> {
    decode_address(request.address.as_ref())
}

/// About how many bytes of a datagram a record takes.
pub fn record_bytes(record: &MemberRecord) -> usize {
    // Two addresses' worth of numbers, their tags, and the two names.
    64 + record.name.len() + record.reported_by.len()
}

/// Bytes that a datagram has for news.
pub fn gossip_capacity_bytes() -> usize {
    MAX_DATAGRAM_BYTES - RESERVED_BYTES
}

/// A message as bytes.
pub fn encode(seal: &MessageAuthenticator, message: &Message) -> Vec<u8> {
    seal.authenticate(&message.encode_to_vec())
}

/// The message of these bytes, and the sender's record.
pub fn decode(
    seal: &MessageAuthenticator,
    bytes: &[u8],
    most: usize,
) -> Result<(Message, MemberRecord), DecodeError> {
    if bytes.len() > most {
        return Err(DecodeError::TooLong);
    }
    let body = match seal.verify(bytes) {
        Ok(body) => body,
        Err(AuthenticationError::WrongMac) => return Err(DecodeError::Unauthenticated),
        Err(AuthenticationError::UnsupportedVersion(version)) => {
            // Behind the version and the check, as here, if that has not changed.
            let body = bytes.get(17..).and_then(|body| Message::decode(body).ok());
            let at =
                body.and_then(|message| decode_address(message.sender.as_ref()?.address.as_ref()));
            return Err(DecodeError::UnsupportedVersion(version, at));
        }
    };
    let message = Message::decode(body).map_err(|_| DecodeError::Malformed)?;
    let from = message
        .sender
        .as_ref()
        .and_then(decode_record)
        .ok_or(DecodeError::Malformed)?;
    Ok((message, from))
}

/// What is said to a message of another version.
pub fn version_rejection() -> Payload {
    Payload::VersionRejection(VersionRejection {
        min_version: PROTOCOL_VERSION.into(),
        max_version: PROTOCOL_VERSION.into(),
    })
}
