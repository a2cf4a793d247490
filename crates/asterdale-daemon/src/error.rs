//! The text of an error with its sources.

use std::error::Error;

/// An error's text, followed by those of its sources. Unlike `asterdale_engine::log::error_chain`, it leaves out the
/// text of a source that the error's own text already ends with, as it does for some errors of the start file.
pub fn with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        let source_text = e.to_string();
        if !text.ends_with(&source_text) {
            text.push_str(": ");
            text.push_str(&source_text);
        }
        source = e.source();
    }
    text
}
