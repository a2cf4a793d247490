//! What lasts, as bytes. What can't be read, or makes no sense, is told as damaged and never guessed at.

use prost::Message;

/// How far a task had come when this was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ExecutionState {
    /// It was about to start: it may have run.
    Intent = 0,
    /// It ended with a result.
    Succeeded = 1,
    /// It ended without one that could be given.
    Failed = 2,
}

/// The word that `asterdale journal dump` prints for a state.
impl std::fmt::Display for ExecutionState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ExecutionState::Intent => "intent",
            ExecutionState::Succeeded => "passed",
            ExecutionState::Failed => "failed",
        })
    }
}

/// What is known of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// How far it had come.
    #[prost(enumeration = "ExecutionState", tag = "1")]
    pub state: i32,
    /// What tells its body from others.
    #[prost(fixed64, tag = "2")]
    pub body_digest: u64,
    /// The id of the try that ran.
    #[prost(bytes = "vec", tag = "3")]
    pub attempt_id: Vec<u8>,
    /// Its window ends then, in the folder's time.
    #[prost(double, tag = "4")]
    pub expires_at_ms: f64,
    /// Its result, where it has one.
    #[prost(bytes = "vec", tag = "5")]
    pub result: Vec<u8>,
    /// The run of the program that wrote it.
    #[prost(uint64, tag = "6")]
    pub run: u64,
}

/// What a folder says of itself.
#[derive(Clone, PartialEq, Message)]
pub struct FolderHeader {
    /// The process's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Drawn when the folder was made.
    #[prost(fixed64, tag = "2")]
    pub folder_id: u64,
    /// Counts the runs of the program over it.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// The generation of the process in the view of its fleet; 0 for none.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// The folder's time: goes on while a process has it open, and never steps.
    #[prost(double, tag = "5")]
    pub folder_time_ms: f64,
    /// The Unix time of the same moment, by a clock that may step.
    #[prost(double, tag = "6")]
    pub unix_time_ms: f64,
    /// Of the signs of bodies.
    #[prost(fixed64, tag = "7")]
    pub digest_secret: u64,
    /// Nothing that is not known is run before then, in the folder's time: what ran before may have been lost.
    #[prost(double, tag = "8")]
    pub quiet_until_ms: f64,
}

/// The version of the bytes: another is not read.
const VERSION: u8 = 1;

/// As bytes: a version, and the message.
pub fn encode(message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + message.encoded_len());
    bytes.push(VERSION);
    // Into memory that grows: that can't fail.
    let _ = message.encode(&mut bytes);
    bytes
}

/// From bytes; `None` if they are damaged, or of another version.
pub fn decode<M: Message + Default>(bytes: &[u8]) -> Option<M> {
    let (&version, rest) = bytes.split_first()?;
    (version == VERSION).then(|| M::decode(rest).ok()).flatten()
}

/// Whether an entry makes sense.
pub fn is_well_formed(entry: &Entry) -> bool {
    let known = ExecutionState::try_from(entry.state).is_ok();
    known && entry.expires_at_ms.is_finite() && entry.attempt_id.len() == 16
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_is_read_and_other_bytes_are_not() {
        let entry = Entry {
            state: 1,
            body_digest: 7,
            attempt_id: vec![b'a'; 16],
            expires_at_ms: 5.0,
            result: vec![1, 2],
            run: 3,
        };
        let bytes = encode(&entry);
        assert_eq!(decode::<Entry>(&bytes), Some(entry.clone()));
        assert!(
            is_well_formed(&entry)
                && !is_well_formed(&Entry {
                    state: 9,
                    ..entry.clone()
                })
        );
        assert!(!is_well_formed(&Entry {
            expires_at_ms: f64::NAN,
            ..entry
        }));
        assert_eq!(decode::<Entry>(&[]), None);
        assert_eq!(decode::<Entry>(&[&[2], &bytes[1..]].concat()), None);
    }
}
