//! The stored records and their encoding: a version byte and a protobuf message. Bytes that can't be decoded are reported as
//! damaged. Field tags and enumeration values are stored; names are not.

use std::fmt;

use prost::Message;

/// The state of a request's execution when its entry was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ExecutionState {
    /// The execution was about to start: it may have run.
    Intent = 0,
    /// The execution ended with a result, which is stored.
    Succeeded = 1,
    /// The execution ended without a result, or with one that could not be stored.
    Failed = 2,
}

/// The word that `asterdale journal dump` prints.
impl fmt::Display for ExecutionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExecutionState::Intent => "intent",
            ExecutionState::Succeeded => "passed",
            ExecutionState::Failed => "failed",
        })
    }
}

/// The stored state of an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// An [`ExecutionState`].
    #[prost(enumeration = "ExecutionState", tag = "1")]
    pub state: i32,
    /// The digest of the request's body, to detect another body under the same key.
    #[prost(fixed64, tag = "2")]
    pub body_digest: u64,
    /// The 16 bytes of the id of the attempt that ran.
    #[prost(bytes = "vec", tag = "3")]
    pub attempt_id: Vec<u8>,
    /// When the idempotency window ends, in folder time, in milliseconds.
    #[prost(double, tag = "4")]
    pub expires_at_ms: f64,
    /// The result of an execution that succeeded.
    #[prost(bytes = "vec", tag = "5")]
    pub result: Vec<u8>,
    /// The number of the run (see [`FolderHeader::run`]) that wrote the entry.
    #[prost(uint64, tag = "6")]
    pub run: u64,
}

/// The stored description of a folder.
#[derive(Clone, PartialEq, Message)]
pub struct FolderHeader {
    /// The name of the process that owns the folder.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A random id, generated when the folder was created.
    #[prost(fixed64, tag = "2")]
    pub folder_id: u64,
    /// Counts the processes that have opened the folder.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// The generation of the owner in its fleet; 0 for none.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// Folder time at the last commit, in milliseconds. It advances only while a process has the folder open, without steps.
    #[prost(double, tag = "5")]
    pub folder_time_ms: f64,
    /// Unix time at the last commit, in milliseconds. This clock may step.
    #[prost(double, tag = "6")]
    pub unix_time_ms: f64,
    /// The secret key of body digests.
    #[prost(fixed64, tag = "7")]
    pub digest_secret: u64,
    /// The end of the quiet period, in folder time, in milliseconds: until then no key without an entry may be executed,
    /// since entries of earlier runs may have been lost.
    #[prost(double, tag = "8")]
    pub quiet_until_ms: f64,
}

/// The version of the encoding. Other versions are not decoded.
const VERSION: u8 = 1;
/// The length of an attempt id, in bytes.
const ATTEMPT_ID_BYTES: usize = 16;

/// Encodes a message after a version byte.
pub fn encode(message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + message.encoded_len());
    bytes.push(VERSION);
    // Encoding fails only if the buffer is too small, and a vector grows.
    let _ = message.encode(&mut bytes);
    bytes
}

/// Decodes a message; `None` if the bytes are damaged or of another version.
pub fn decode<M: Message + Default>(bytes: &[u8]) -> Option<M> {
    let (&version, message) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    M::decode(message).ok()
}

/// Whether all fields of a decoded entry have valid values.
pub fn is_well_formed(entry: &Entry) -> bool {
    ExecutionState::try_from(entry.state).is_ok()
        && entry.expires_at_ms.is_finite()
        && entry.attempt_id.len() == ATTEMPT_ID_BYTES
}

#[cfg(test)]
mod tests;
