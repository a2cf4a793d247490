//! The wire format: encoding and decoding of messages and records.
//!
//! Received messages are untrusted. A record that is malformed (an overlong name, an invalid address, an unknown
//! status) is ignored; a message that is too long is not decoded at all.

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;

use crate::authentication::{
    AuthenticationError, MessageAuthenticator, HEADER_BYTES, PROTOCOL_VERSION,
};
use crate::record::{MemberRecord, Metadata, Phase, Status};

/// The messages generated from `proto/members.proto`, which documents them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.members.v1.rs"));
}

pub use wire::message::Payload;
pub use wire::{Ack, FullView, Message, Nack, Ping, PingRequest, VersionRejection};

/// Maximum length of a datagram, so that it fits an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum length of one direction of an exchange: enough for 4,096 members with names of usual length.
pub const MAX_EXCHANGE_BYTES: usize = 1024 * 1024;
/// Maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a datagram that are reserved for version and MAC, the sender's record and the payload, at their longest.
const RESERVED_BYTES: usize = 400;
/// Maximum bytes of an encoded record without its two names: address, numbers and protobuf tags.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Why a message was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is longer than allowed.
    #[error("the message is longer than {max_bytes} bytes")]
    TooLong {
        /// The allowed length.
        max_bytes: usize,
    },
    /// It was not authenticated with the fleet's key, or was modified.
    #[error("the message is not authentic")]
    Unauthenticated,
    /// It is of another protocol version.
    #[error("the message is of the unsupported protocol version {version}")]
    UnsupportedVersion {
        /// Its version.
        version: u8,
        /// Where to send a rejection, if the sender's address could be decoded as in this version.
        sender: Option<SocketAddr>,
    },
    /// It cannot be decoded.
    #[error("the message is malformed")]
    Malformed(#[source] prost::DecodeError),
    /// It has no valid record of its sender.
    #[error("the message has no valid sender")]
    InvalidSender,
}

fn encode_address(address: SocketAddr) -> wire::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    wire::Address {
        ip,
        port: address.port().into(),
    }
}

fn decode_address(address: Option<&wire::Address>) -> Option<SocketAddr> {
    let address = address?;
    let ip: IpAddr = match address.ip.len() {
        4 => <[u8; 4]>::try_from(&address.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&address.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(address.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// The wire form of a record.
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

fn decode_status(status: u32) -> Option<Status> {
    match status {
        0 => Some(Status::Alive),
        1 => Some(Status::Suspect),
        2 => Some(Status::Dead),
        3 => Some(Status::Left),
        _ => None,
    }
}

/// An unknown phase counts as draining, so that a process of a later release is not sent work in a phase in which it
/// may accept none.
fn decode_phase(phase: u32) -> Phase {
    match phase {
        0 => Phase::WarmingUp,
        1 => Phase::Ready,
        2 => Phase::AtCapacity,
        _ => Phase::Draining,
    }
}

fn decode_percent(percent: u32) -> u8 {
    u8::try_from(percent.min(100)).unwrap_or(100)
}

/// The record of a wire form; `None` if it is malformed.
pub fn decode_record(record: &wire::Record) -> Option<MemberRecord> {
    let is_name_valid = !record.name.is_empty() && record.name.len() <= MAX_NAME_BYTES;
    if !is_name_valid || record.reported_by.len() > MAX_NAME_BYTES {
        return None;
    }
    Some(MemberRecord {
        name: record.name.clone(),
        address: decode_address(record.address.as_ref())?,
        generation: record.generation,
        nonce: record.nonce,
        incarnation: record.incarnation,
        status: decode_status(record.status)?,
        metadata: Metadata {
            phase: decode_phase(record.phase),
            load_percent: decode_percent(record.load_percent),
            warm_percent: decode_percent(record.warm_percent),
        },
        reported_by: record.reported_by.clone(),
    })
}

/// A request to a relay to ping the target (SWIM's ping-req).
pub fn ping_request(seq: u32, target: &MemberRecord) -> Payload {
    Payload::PingRequest(PingRequest {
        seq,
        name: target.name.clone(),
        address: Some(encode_address(target.address)),
    })
}

/// The address of a ping request's target; `None` if it is malformed.
pub fn ping_request_address(request: &PingRequest) -> Option<SocketAddr> {
    decode_address(request.address.as_ref())
}

/// An upper estimate of the bytes that a record takes in a datagram.
pub fn record_bytes(record: &MemberRecord) -> usize {
    RECORD_OVERHEAD_BYTES + record.name.len() + record.reported_by.len()
}

/// The bytes of a datagram that gossip may take.
pub fn gossip_capacity_bytes() -> usize {
    MAX_DATAGRAM_BYTES - RESERVED_BYTES
}

/// The message as authenticated bytes.
pub fn encode(authenticator: &MessageAuthenticator, message: &Message) -> Vec<u8> {
    authenticator.authenticate(&message.encode_to_vec())
}

/// The message of these bytes, and its sender's record.
///
/// # Errors
///
/// If the message is too long, not authentic, of another version or malformed.
pub fn decode(
    authenticator: &MessageAuthenticator,
    bytes: &[u8],
    max_bytes: usize,
) -> Result<(Message, MemberRecord), DecodeError> {
    if bytes.len() > max_bytes {
        return Err(DecodeError::TooLong { max_bytes });
    }
    let body = authenticator.verify(bytes).map_err(|error| match error {
        AuthenticationError::WrongMac => DecodeError::Unauthenticated,
        AuthenticationError::UnsupportedVersion(version) => DecodeError::UnsupportedVersion {
            version,
            sender: sender_of_other_version(bytes),
        },
    })?;
    let message = Message::decode(body).map_err(DecodeError::Malformed)?;
    let sender = message
        .sender
        .as_ref()
        .and_then(decode_record)
        .ok_or(DecodeError::InvalidSender)?;
    Ok((message, sender))
}

/// The sender's address in a message of another version, on the assumption that the header and the address have the
/// same form there.
fn sender_of_other_version(bytes: &[u8]) -> Option<SocketAddr> {
    let message = Message::decode(bytes.get(HEADER_BYTES..)?).ok()?;
    decode_address(message.sender?.address.as_ref())
}

/// The answer to a message of another version.
pub fn version_rejection() -> Payload {
    Payload::VersionRejection(VersionRejection {
        min_version: PROTOCOL_VERSION.into(),
        max_version: PROTOCOL_VERSION.into(),
    })
}
