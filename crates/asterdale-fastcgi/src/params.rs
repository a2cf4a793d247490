//! Iterator over FastCGI name-value pairs, which borrows from the encoded bytes.

use crate::error::ProtocolError;

/// The high bit of a length's first byte marks a four-byte length; the other 31 bits are its value.
const LONG_LENGTH_FLAG: u8 = 0x80;

/// The name-value pairs that are encoded in these bytes. The first invalid length is returned as an error and ends the
/// iteration.
pub struct Params<'a>(pub &'a [u8]);

impl<'a> Params<'a> {
    fn read_length(&mut self) -> Result<usize, ProtocolError> {
        let (&first, rest) = self
            .0
            .split_first()
            .ok_or(ProtocolError::LengthOutOfBounds)?;
        if first & LONG_LENGTH_FLAG == 0 {
            self.0 = rest;
            return Ok(usize::from(first));
        }
        let low_bytes = rest.get(..3).ok_or(ProtocolError::LengthOutOfBounds)?;
        self.0 = &rest[3..];
        let high_byte = first & !LONG_LENGTH_FLAG;
        Ok(u32::from_be_bytes([high_byte, low_bytes[0], low_bytes[1], low_bytes[2]]) as usize)
    }

    fn read_bytes(&mut self, length: usize) -> Result<&'a [u8], ProtocolError> {
        let bytes = self
            .0
            .get(..length)
            .ok_or(ProtocolError::LengthOutOfBounds)?;
        self.0 = &self.0[length..];
        Ok(bytes)
    }

    fn read_pair(&mut self) -> Result<(&'a [u8], &'a [u8]), ProtocolError> {
        let name_length = self.read_length()?;
        let value_length = self.read_length()?;
        let name = self.read_bytes(name_length)?;
        let value = self.read_bytes(value_length)?;
        Ok((name, value))
    }
}

impl<'a> Iterator for Params<'a> {
    type Item = Result<(&'a [u8], &'a [u8]), ProtocolError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.is_empty() {
            return None;
        }
        let pair = self.read_pair();
        if pair.is_err() {
            self.0 = &[];
        }
        Some(pair)
    }
}
