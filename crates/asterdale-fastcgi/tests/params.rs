//! Decoding of name-value pairs.

use asterdale_fastcgi::{Params, ProtocolError};

#[test]
fn one_byte_and_four_byte_lengths_are_decoded() {
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
fn an_invalid_length_is_an_error_and_ends_the_iteration() {
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
