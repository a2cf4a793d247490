use super::*;

fn entry() -> Entry {
    Entry {
        state: 1,
        body_digest: 7,
        attempt_id: vec![b'a'; ATTEMPT_ID_BYTES],
        expires_at_ms: 5.0,
        result: vec![1, 2],
        run: 3,
    }
}

#[test]
fn encoded_entry_is_decoded_and_invalid_bytes_and_values_are_not() {
    let bytes = encode(&entry());
    assert_eq!(decode::<Entry>(&bytes), Some(entry()));
    assert!(is_well_formed(&entry()));
    assert!(!is_well_formed(&Entry {
        state: 9,
        ..entry()
    }));
    assert!(!is_well_formed(&Entry {
        expires_at_ms: f64::NAN,
        ..entry()
    }));
    assert_eq!(decode::<Entry>(&[]), None);
    let other_version = [&[2], &bytes[1..]].concat();
    assert_eq!(decode::<Entry>(&other_version), None);
}
