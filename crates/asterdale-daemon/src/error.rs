//! What several modules need to report errors.

use std::error::Error;
use std::fmt;

use crate::start::faults::Fault;

/// The start file, or a file that it names, is invalid. Its text is one line with all faults.
#[derive(Debug)]
pub struct InvalidFile(pub Vec<Fault>);

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&faults.join("; "))
    }
}

impl Error for InvalidFile {}

/// An error's text, followed by those of its sources.
pub fn with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
