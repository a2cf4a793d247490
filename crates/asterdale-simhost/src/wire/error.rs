//! What can be wrong with a batch, and where.

use std::fmt;

use asterdale_parameters::JsonError;

/// A batch that can't be handled.
#[derive(Debug)]
pub struct Malformed {
    /// Position of the record in its batch, if one record is wrong.
    pub record: Option<usize>,
    /// Offset in the batch, in bytes.
    pub offset: usize,
    /// What is wrong.
    pub problem: Problem,
}

impl Malformed {
    /// A problem of the frame, not of one record.
    pub fn frame(offset: usize, problem: Problem) -> Self {
        Malformed {
            record: None,
            offset,
            problem,
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (offset, problem) = (self.offset, &self.problem);
        match self.record {
            Some(record) => write!(f, "record {record}, offset {offset}: {problem}"),
            None => write!(f, "frame, offset {offset}: {problem}"),
        }
    }
}

impl std::error::Error for Malformed {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&self.problem)
    }
}

/// What is wrong with a frame or a record.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The input ends before the header does.
    #[error("input ends inside a header")]
    TruncatedHeader,
    /// The size in the header is below the minimum or above the maximum.
    #[error("invalid batch size of {0} bytes")]
    InvalidSize(usize),
    /// The header gives more records than fit into the size of the batch.
    #[error("{records} records do not fit into {bytes} bytes")]
    TooManyRecords {
        /// Number of records in the header.
        records: usize,
        /// Size in the header.
        bytes: usize,
    },
    /// The input ends before the batch does.
    #[error("{received} bytes of {expected}")]
    TruncatedBatch {
        /// Bytes that were received.
        received: usize,
        /// Size in the header.
        expected: usize,
    },
    /// A field refers to bytes outside of the tail.
    #[error("field refers to {length} bytes at {start} of a tail of {tail} bytes")]
    OutsideTail {
        /// Length in the field.
        length: usize,
        /// Offset in the field.
        start: usize,
        /// Length of the tail.
        tail: usize,
    },
    /// The record comes before the first context record, which selects an instance.
    #[error("code {0} before any context")]
    NoContext(u8),
    /// No event has this code.
    #[error("unknown code {0}")]
    UnknownCode(u8),
    /// No outcome has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The class of a request is not in the settings.
    #[error("class {class} of {classes}")]
    UnknownClass {
        /// The class of the request.
        class: usize,
        /// Number of classes in the settings.
        classes: usize,
    },
    /// The settings of an instance can't be read.
    #[error("settings: {0}")]
    Settings(#[from] JsonError),
}
