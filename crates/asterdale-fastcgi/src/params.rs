//! Name-value pairs, read in place.

use crate::record_reader::ProtocolError;

/// The pairs that lie in these bytes.
pub struct Params<'a>(pub &'a [u8]);

impl<'a> Params<'a> {
    fn length(&mut self) -> Result<usize, ProtocolError> {
        let (&first, rest) = self
            .0
            .split_first()
            .ok_or(ProtocolError::LengthOutOfBounds)?;
        if first < 128 {
            self.0 = rest;
            return Ok(usize::from(first));
        }
        let long = rest.get(..3).ok_or(ProtocolError::LengthOutOfBounds)?;
        self.0 = &rest[3..];
        Ok(u32::from_be_bytes([first & 127, long[0], long[1], long[2]]) as usize)
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], ProtocolError> {
        let taken = self
            .0
            .get(..length)
            .ok_or(ProtocolError::LengthOutOfBounds)?;
        self.0 = &self.0[length..];
        Ok(taken)
    }

    fn pair(&mut self) -> Result<(&'a [u8], &'a [u8]), ProtocolError> {
        let (name, value) = (self.length()?, self.length()?);
        Ok((self.take(name)?, self.take(value)?))
    }
}

impl<'a> Iterator for Params<'a> {
    type Item = Result<(&'a [u8], &'a [u8]), ProtocolError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.is_empty() {
            return None;
        }
        let pair = self.pair();
        if pair.is_err() {
            self.0 = &[];
        }
        Some(pair)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_of_length_are_read() {
        let mut bytes = vec![1, 128, 0, 0, 200, b'a'];
        bytes.extend([b'x'; 200]);
        bytes.extend([128, 0, 0, 2, 0, b'b', b'c']);
        let pairs: Vec<_> = Params(&bytes).map(Result::unwrap).collect();
        assert_eq!(
            pairs,
            [(&b"a"[..], &[b'x'; 200][..]), (&b"bc"[..], &b""[..])]
        );
    }

    #[test]
    fn an_impossible_length_is_malformed_and_ends_the_pairs() {
        for bytes in [
            &[5u8, 1, b'a'][..],
            &[1],
            &[128, 0],
            &[255, 255, 255, 255, 1, b'a'],
        ] {
            let pairs: Vec<_> = Params(bytes).collect();
            assert_eq!(pairs, [Err(ProtocolError::LengthOutOfBounds)]);
        }
    }
}
