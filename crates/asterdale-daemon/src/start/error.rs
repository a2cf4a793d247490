//! The error of loading a start file: every fault that was found, each with the path of its field.

use std::fmt;
use std::io;

use thiserror::Error;

/// The maximum number of reported faults. Bounds the output if the file is not a start file at all.
pub const MAX_FAULTS: usize = 64;

/// What is wrong with one field.
#[derive(Debug, Error)]
pub enum Problem {
    /// An environment variable is absent or empty.
    #[error("is not set")]
    NotSet,
    /// A required field is absent.
    #[error("is missing")]
    Missing,
    /// A text is empty.
    #[error("is empty")]
    Empty,
    /// A name that must be unique occurs twice in its list.
    #[error("duplicate name {0:?}")]
    Duplicate(String),
    /// A text is not an IP address with a port.
    #[error("{0:?} is not an IP address with a port")]
    NotAnAddress(String),
    /// The value has the wrong type, or can't be parsed.
    #[error("{0}")]
    Malformed(String),
    /// The value breaks a rule of its field, or the section is not supported by this build or conflicts with another
    /// one.
    #[error("{0}")]
    Invalid(String),
    /// A file that the field names can't be read.
    #[error("{file}: {source}")]
    UnreadableFile {
        /// The file's path, as the field has it.
        file: String,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A file that the field names was read, but its content is invalid.
    #[error("{file}: {reason}")]
    UnusableFile {
        /// The file's path, as the field has it.
        file: String,
        /// What is wrong with the content.
        reason: String,
    },
}

impl From<&str> for Problem {
    fn from(rule: &str) -> Problem {
        Problem::Invalid(rule.to_owned())
    }
}

impl From<String> for Problem {
    fn from(rule: String) -> Problem {
        Problem::Invalid(rule)
    }
}

/// One fault: a field and what is wrong with it.
#[derive(Debug, Error)]
#[error("{path}: {problem}")]
pub struct Fault {
    /// The path of the field, such as `fleet.seeds[0]`; for faults outside of a field, the environment variable or
    /// `start file`.
    pub path: String,
    /// What is wrong with it.
    #[source]
    pub problem: Problem,
}

impl Fault {
    /// A fault at this path.
    pub fn new(path: impl Into<String>, problem: impl Into<Problem>) -> Fault {
        Fault {
            path: path.into(),
            problem: problem.into(),
        }
    }
}

/// Every fault that was found in a start file, in the order in which they were found; at least one.
#[derive(Debug)]
pub struct StartError {
    faults: Vec<Fault>,
}

impl StartError {
    /// The faults.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl From<Fault> for StartError {
    fn from(fault: Fault) -> StartError {
        StartError {
            faults: vec![fault],
        }
    }
}

impl fmt::Display for StartError {
    /// All faults in one line, for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for StartError {}

/// Collects faults while a file is checked.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault, unless the same was reported before or the list is full.
    pub fn add(&mut self, path: impl Into<String>, problem: impl Into<Problem>) {
        let fault = Fault::new(path, problem);
        let text = fault.to_string();
        let is_reported = self.0.iter().any(|known| known.to_string() == text);
        if self.0.len() < MAX_FAULTS && !is_reported {
            self.0.push(fault);
        }
    }

    /// Whether a fault was reported for exactly this path.
    pub fn has(&self, path: &str) -> bool {
        self.0.iter().any(|fault| fault.path == path)
    }

    /// Returns a required value unchanged. Reports an absent one, unless its path has a fault already.
    pub fn require<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.has(path) {
            self.add(path, Problem::Missing);
        }
        value
    }

    /// Returns an error with all reported faults, if there are any.
    pub fn into_result(self) -> Result<(), StartError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(StartError { faults: self.0 })
        }
    }
}
