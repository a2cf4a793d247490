//! Decoding of frames: from pieces of any size, malformed frames, and message kinds of later releases.

use asterdale_hot_restart::frame::{encode, FrameDecoder, FrameError, MAX_FRAME_BYTES};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{Go, Hello, Refuse, StateChunk};

#[test]
fn frames_are_decoded_from_pieces_of_any_size_and_malformed_ones_rejected() {
    let all = [
        Payload::Hello(Hello {
            version: 1,
            state_format: 2,
            nonce: vec![7; 16],
        }),
        Payload::State(StateChunk {
            epoch: 3,
            bytes: vec![1; 5000],
            is_last: true,
        }),
        Payload::Refuse(Refuse {
            reason: "no".into(),
        }),
        Payload::Go(Go { epoch: 3 }),
    ];
    let bytes: Vec<u8> = all
        .iter()
        .flat_map(|payload| encode(payload.clone()))
        .collect();
    for piece_bytes in [1, 3, 4096, bytes.len()] {
        let (mut decoder, mut decoded) = (FrameDecoder::default(), Vec::new());
        for piece in bytes.chunks(piece_bytes) {
            decoder.push(piece);
            while let Some(payload) = decoder.next_message().unwrap() {
                decoded.push(payload);
            }
        }
        assert_eq!(decoded, all);
    }
    let mut too_long = FrameDecoder::default();
    too_long.push(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert_eq!(too_long.next_message(), Err(FrameError::TooLong));
    let mut undecodable = FrameDecoder::default();
    undecodable.push(&[0, 0, 0, 3, 0xff, 0xff, 0xff]);
    assert_eq!(undecodable.next_message(), Err(FrameError::Undecodable));
    // A message kind of a later release is skipped: field 500, two bytes.
    let mut later = FrameDecoder::default();
    later.push(&[0, 0, 0, 5, 0xa2, 0x1f, 2, 1, 2]);
    later.push(&encode(Payload::Go(Go { epoch: 1 })));
    assert_eq!(later.next_message(), Ok(Some(Payload::Go(Go { epoch: 1 }))));
}
