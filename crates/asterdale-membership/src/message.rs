//! Messages as bytes, and what of them is taken. All of it is untrusted: a name too long, an address of no length, an
//! unknown status make a record nothing, not an error; a message too long is not read at all.

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;

use crate::record::{Notes, Phase, Record, Status};
use crate::seal::{Seal, Unheard, VERSION};

/// The messages, as `proto/members.proto` has them.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/asterdale.members.v1.rs"));
}

pub use wire::message::What;
pub use wire::{Ack, Ask, Message, Nack, Ping, Refusal, Whole};

/// A datagram is no longer, in bytes: it passes every network whole.
pub const MOST_DATAGRAM: usize = 1400;
/// One side of an exchange is no longer: 4,096 members with names of a sensible length.
pub const MOST_EXCHANGE: usize = 1024 * 1024;
/// A name is no longer.
pub const MOST_NAME: usize = 64;
/// What a datagram has room for beside its news: the check, the sender's own record, and what is asked.
const BESIDE: usize = 400;

/// Why a message is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// It is longer than any may be.
    TooLong,
    /// It was not made with the fleet's key, or was changed.
    Foreign,
    /// Of another version. Where to say so, if it tells that as this version does.
    Version(u8, Option<SocketAddr>),
    /// It can't be read, or does not say who speaks.
    Unreadable,
}

/// An address as a message has it.
fn address(at: SocketAddr) -> wire::Address {
    let ip = match at.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    wire::Address {
        ip,
        port: at.port().into(),
    }
}

fn read_address(at: Option<&wire::Address>) -> Option<SocketAddr> {
    let at = at?;
    let ip: IpAddr = match at.ip.len() {
        4 => <[u8; 4]>::try_from(&at.ip[..]).ok()?.into(),
        _ => <[u8; 16]>::try_from(&at.ip[..]).ok()?.into(),
    };
    let port = u16::try_from(at.port).ok().filter(|&port| port > 0)?;
    Some(SocketAddr::new(ip, port))
}

/// A record as a message has it.
pub fn write(record: &Record) -> wire::Record {
    wire::Record {
        name: record.name.clone(),
        at: Some(address(record.at)),
        generation: record.generation,
        nonce: record.nonce,
        incarnation: record.incarnation,
        status: record.status as u32,
        phase: record.notes.phase as u32,
        load: record.notes.load.into(),
        warm: record.notes.warm.into(),
        by: record.by.clone(),
    }
}

/// The record that a message has; `None` if it makes no sense.
pub fn read(record: &wire::Record) -> Option<Record> {
    let named = |name: &str| !name.is_empty() && name.len() <= MOST_NAME;
    if !named(&record.name) || record.by.len() > MOST_NAME {
        return None;
    }
    let hundredths = |n: u32| u8::try_from(n.min(100)).unwrap_or(100);
    Some(Record {
        name: record.name.clone(),
        at: read_address(record.at.as_ref())?,
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
        notes: Notes {
            phase: match record.phase {
                0 => Phase::Cold,
                1 => Phase::Ready,
                2 => Phase::Full,
                _ => Phase::Leaving,
            },
            load: hundredths(record.load),
            warm: hundredths(record.warm),
        },
        by: record.by.clone(),
    })
}

/// A question to another for a third.
pub fn ask(seq: u32, record: &Record) -> What {
    What::Ask(Ask {
        seq,
        name: record.name.clone(),
        at: Some(address(record.at)),
    })
}

/// Whom a question is about.
pub fn asked(ask: &Ask) -> Option<SocketAddr> {
    read_address(ask.at.as_ref())
}

/// About how many bytes of a datagram a record takes.
pub fn size(record: &Record) -> usize {
    // Two addresses' worth of numbers, their tags, and the two names.
    64 + record.name.len() + record.by.len()
}

/// Bytes that a datagram has for news.
pub fn room() -> usize {
    MOST_DATAGRAM - BESIDE
}

/// A message as bytes.
pub fn encode(seal: &Seal, message: &Message) -> Vec<u8> {
    seal.close(&message.encode_to_vec())
}

/// The message of these bytes, and the sender's record.
pub fn decode(seal: &Seal, bytes: &[u8], most: usize) -> Result<(Message, Record), Bad> {
    if bytes.len() > most {
        return Err(Bad::TooLong);
    }
    let body = match seal.open(bytes) {
        Ok(body) => body,
        Err(Unheard::Foreign) => return Err(Bad::Foreign),
        Err(Unheard::Version(version)) => {
            // Behind the version and the check, as here, if that has not changed.
            let body = bytes.get(17..).and_then(|body| Message::decode(body).ok());
            let at = body.and_then(|message| read_address(message.from.as_ref()?.at.as_ref()));
            return Err(Bad::Version(version, at));
        }
    };
    let message = Message::decode(body).map_err(|_| Bad::Unreadable)?;
    let from = message
        .from
        .as_ref()
        .and_then(read)
        .ok_or(Bad::Unreadable)?;
    Ok((message, from))
}

/// What is said to a message of another version.
pub fn refusal() -> What {
    What::Refusal(Refusal {
        least: VERSION.into(),
        most: VERSION.into(),
    })
}
