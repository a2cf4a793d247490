//! Replies: a header, action records of fixed size, and a tail for texts.

use super::action_code;

const HEADER_BYTES: usize = 8;
const RECORD_BYTES: usize = 16;

/// A reply that is being written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    /// The instance that the last record concerns.
    instance: Option<u16>,
}

impl Reply {
    /// Starts the reply to the next batch.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.instance = None;
    }

    /// Adds an action of an instance; its fields are encoded already and in order.
    pub fn action(&mut self, instance: u16, code: u8, fields: &[&[u8]]) {
        if self.instance != Some(instance) {
            self.push(action_code::CONTEXT, &[&instance.to_be_bytes()]);
            self.instance = Some(instance);
        }
        self.push(code, fields);
    }

    /// Adds an action whose only field is a text.
    pub fn text_action(&mut self, instance: u16, code: u8, text: &str) {
        let start = self.tail.len() as u32;
        let length = text.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.action(
            instance,
            code,
            &[&start.to_be_bytes(), &length.to_be_bytes()],
        );
    }

    /// The complete frame.
    pub fn frame(&self) -> Vec<u8> {
        let bytes = HEADER_BYTES + self.records.len() + self.tail.len();
        let records = self.records.len() / RECORD_BYTES;
        let mut frame = Vec::with_capacity(bytes);
        frame.extend_from_slice(&(bytes as u32).to_be_bytes());
        frame.extend_from_slice(&(records as u32).to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }

    fn push(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + RECORD_BYTES;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }
}

/// Milliseconds as a field of nanoseconds; negative ones as 0.
pub fn nanoseconds(milliseconds: f64) -> [u8; 8] {
    ((milliseconds.max(0.0) * 1e6).round() as u64).to_be_bytes()
}
