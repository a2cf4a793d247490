//! Parsing of records from a connection's bytes.

use asterdale_fastcgi::{ProtocolError, RecordReader};

/// The size of the buffer while no larger record is expected, in bytes.
const DEFAULT_BUFFER_BYTES: usize = 4096;

#[test]
fn records_are_parsed_wherever_reads_split_them() {
    // A record of 3 bytes with 5 of padding, then an empty one.
    let bytes = [
        1, 4, 0, 7, 0, 3, 5, 0, b'a', b'b', b'c', 9, 9, 9, 9, 9, 1, 5, 1, 2, 0, 0, 0, 0,
    ];
    for chunk_bytes in 1..bytes.len() {
        let mut reader = RecordReader::default();
        let mut records = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            reader.free_space()[..chunk.len()].copy_from_slice(chunk);
            reader.commit(chunk.len());
            while let Some(record) = reader.next_record().unwrap() {
                records.push((
                    record.record_type,
                    record.request_id,
                    record.content.to_vec(),
                ));
            }
        }
        assert_eq!(
            records,
            [(4, 7, b"abc".to_vec()), (5, 258, Vec::new())],
            "chunks of {chunk_bytes}"
        );
        assert!(reader.is_empty());
    }
}

#[test]
fn the_buffer_grows_for_a_large_record_and_shrinks_again() {
    let mut reader = RecordReader::default();
    reader.free_space()[..8].copy_from_slice(&[1, 5, 0, 1, 255, 255, 255, 0]);
    reader.commit(8);
    assert_eq!(reader.next_record(), Ok(None));
    let free_bytes = reader.free_space().len();
    assert_eq!(free_bytes, 65_535 + 255);
    reader.commit(free_bytes);
    assert_eq!(reader.next_record().unwrap().unwrap().content.len(), 65_535);
    assert_eq!(reader.free_space().len(), DEFAULT_BUFFER_BYTES);
}

#[test]
fn the_rest_of_a_discarded_record_is_skipped_and_the_next_one_is_parsed() {
    let next = [1, 5, 0, 2, 0, 1, 0, 0, b'x'];
    let mut reader = RecordReader::default();
    assert_eq!(reader.discard_record(), None);
    reader.free_space()[..10].copy_from_slice(&[1, 4, 0, 7, 0x40, 0, 3, 0, b'a', b'b']);
    reader.commit(10);
    assert!(reader.free_space().len() > DEFAULT_BUFFER_BYTES);
    assert_eq!(reader.discard_record(), Some(7));
    assert_eq!(reader.buffer_bytes(), DEFAULT_BUFFER_BYTES);
    let mut rest = vec![0; 0x4000 + 3 - 2];
    rest.extend(next);
    for chunk in rest.chunks(1000) {
        assert_eq!(reader.next_record(), Ok(None));
        assert!(!reader.is_empty());
        reader.free_space()[..chunk.len()].copy_from_slice(chunk);
        reader.commit(chunk.len());
    }
    let record = reader.next_record().unwrap().expect("the next record");
    assert_eq!((record.request_id, record.content), (2, &b"x"[..]));
    assert!(reader.is_empty());
    assert_eq!(reader.take_discarded_bytes(), rest.len() - next.len());

    // A record that has been received is discarded at once.
    reader.free_space()[..9].copy_from_slice(&next);
    reader.commit(9);
    assert_eq!(reader.discard_record(), Some(2));
    assert!(reader.is_empty());
}

#[test]
fn an_unsupported_version_is_rejected_at_its_header() {
    let mut reader = RecordReader::default();
    reader.free_space()[..8].copy_from_slice(b"GET / HT");
    reader.commit(8);
    assert_eq!(
        reader.next_record(),
        Err(ProtocolError::UnsupportedVersion(b'G'))
    );
}
