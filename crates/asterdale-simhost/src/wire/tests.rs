use super::batch::{Header, RECORD_BYTES};
use super::*;

#[test]
fn empty_batch_of_the_wire_page() {
    let bytes: [u8; 16] = [
        0, 0, 0, 1, 0xf5, 0x68, 0xbf, 0x90, 0, 0, 0, 0x10, 0, 0, 0, 0,
    ];
    let header = read_header(&bytes).unwrap();
    assert_eq!(
        (header.clock_ns, header.bytes, header.records),
        (0x1f568bf90, 16, 0)
    );
    assert_eq!(Reply::default().frame(), [0, 0, 0, 8, 0, 0, 0, 0]);
}

#[test]
fn impossible_header_is_reported_with_its_offset() {
    let mut bytes = [0u8; 16];
    bytes[11] = 15;
    assert_eq!(read_header(&bytes).unwrap_err().offset, 8);
    bytes[11] = 64;
    bytes[15] = 1;
    assert_eq!(read_header(&bytes).unwrap_err().offset, 12);
}

#[test]
fn texts_are_in_the_tail_and_the_instance_is_written_once() {
    let mut reply = Reply::default();
    reply.action(3, 1, &[&7u32.to_be_bytes()]);
    reply.text_action(3, 12, "ab");
    reply.text_action(5, 12, "cde");
    let frame = reply.frame();
    assert_eq!(frame.len(), 8 + 5 * 16 + 5);
    assert_eq!(frame[7], 5);
    assert_eq!(&frame[8 + 16..8 + 21], [1, 0, 0, 0, 7]);
    assert_eq!(
        &frame[8 + 4 * 16 + 1..8 + 4 * 16 + 9],
        [0, 0, 0, 2, 0, 0, 0, 3]
    );
    assert_eq!(&frame[88..], b"abcde");
}

#[test]
fn field_outside_of_the_tail_is_reported_with_its_record() {
    let mut bytes = vec![0u8; HEADER_BYTES + RECORD_BYTES];
    bytes[HEADER_BYTES + 9..HEADER_BYTES + 13].copy_from_slice(&u32::MAX.to_be_bytes());
    let header = Header {
        clock_ns: 0,
        bytes: bytes.len(),
        records: 1,
    };
    let error = Batch::new(&bytes, header).unwrap().tail(0, 9).unwrap_err();
    assert_eq!((error.record, error.offset), (Some(0), HEADER_BYTES + 9));
}
