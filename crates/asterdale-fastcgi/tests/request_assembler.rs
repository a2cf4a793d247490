//! Assembly of requests from records.

use asterdale_fastcgi::{AssemblyEvent, CompleteRequest, Record, RequestAssembler, RequestFault};

fn record(record_type: u8, request_id: u16, content: &[u8]) -> Record<'_> {
    Record {
        record_type,
        request_id,
        content,
    }
}

const BEGIN: &[u8] = &[0, 1, 1, 0, 0, 0, 0, 0];

#[test]
fn interleaved_requests_are_assembled_separately() {
    let mut assembler = RequestAssembler::default();
    for (record_type, request_id, content) in [
        (1, 1, BEGIN),
        (1, 2, &[0, 1, 0, 0, 0, 0, 0, 0]),
        (4, 2, b"pa"),
        (4, 1, b"one"),
        (4, 2, b"rt"),
        (4, 2, b""),
        (5, 2, b""),
    ] {
        let event = assembler.handle_record(record(record_type, request_id, content), true);
        let request = CompleteRequest {
            params: b"part".to_vec(),
            ..CompleteRequest::default()
        };
        assert_eq!(
            event,
            if record_type == 5 {
                AssemblyEvent::Complete(2, request)
            } else {
                AssemblyEvent::Pending
            }
        );
    }
    assert_eq!(assembler.pending_count(), 1);
    assert_eq!(
        assembler.handle_record(record(4, 1, b""), true),
        AssemblyEvent::Pending
    );
    assert_eq!(
        assembler.handle_record(record(5, 1, b"\0\xff"), true),
        AssemblyEvent::Pending
    );
    let request = CompleteRequest {
        params: b"one".to_vec(),
        body: b"\0\xff".to_vec(),
        keep_connection: true,
    };
    assert_eq!(
        assembler.handle_record(record(5, 1, b""), true),
        AssemblyEvent::Complete(1, request)
    );
}

#[test]
fn the_streams_of_a_request_may_end_in_either_order() {
    let mut assembler = RequestAssembler::default();
    for (record_type, content) in [(1, BEGIN), (5, &b"body"[..]), (5, b""), (4, b"head")] {
        assert_eq!(
            assembler.handle_record(record(record_type, 1, content), true),
            AssemblyEvent::Pending
        );
    }
    let request = CompleteRequest {
        params: b"head".to_vec(),
        body: b"body".to_vec(),
        keep_connection: true,
    };
    assert_eq!(
        assembler.handle_record(record(4, 1, b""), true),
        AssemblyEvent::Complete(1, request)
    );
    assert_eq!(
        (assembler.pending_count(), assembler.pending_bytes()),
        (0, 0)
    );
}

#[test]
fn a_body_that_is_too_long_is_rejected_before_its_end() {
    let mut assembler = RequestAssembler::default();
    assembler.handle_record(record(1, 1, BEGIN), true);
    assert_eq!(
        assembler.handle_record(record(5, 1, &[7; 2048]), true),
        AssemblyEvent::Pending
    );
    assert_eq!(
        assembler.handle_record(record(5, 1, &[7]), true),
        AssemblyEvent::Rejected(1, RequestFault::BodyTooLong)
    );
    // The rest of the body has no effect, however long it is.
    assert_eq!(
        assembler.handle_record(record(5, 1, &[7; 60_000]), true),
        AssemblyEvent::Ignored
    );
    assert_eq!(
        (assembler.pending_count(), assembler.pending_bytes()),
        (0, 0)
    );
}

#[test]
fn incomplete_requests_have_a_memory_limit() {
    let mut assembler = RequestAssembler::default();
    for round in 0..4 {
        assembler.handle_record(record(1, 1, BEGIN), true);
        assert_eq!(
            assembler.handle_record(record(4, 1, &[0; 60_000]), true),
            AssemblyEvent::Pending,
            "{round}"
        );
        assembler.handle_record(record(2, 1, b""), true);
    }
    assembler.handle_record(record(1, 1, BEGIN), true);
    assembler.handle_record(record(1, 2, BEGIN), true);
    assert_eq!(
        assembler.handle_record(record(4, 1, &[0; 60_000]), true),
        AssemblyEvent::Pending
    );
    // The request that grows is dropped, or the largest one if that is another.
    assert_eq!(
        assembler.handle_record(record(4, 2, &[0; 60_000]), true),
        AssemblyEvent::Rejected(2, RequestFault::TooManyPendingBytes)
    );
    assembler.handle_record(record(1, 2, BEGIN), true);
    assembler.handle_record(record(4, 2, &[0; 30_000]), true);
    assert_eq!(
        assembler.handle_record(record(4, 2, &[0; 10_000]), true),
        AssemblyEvent::Rejected(1, RequestFault::TooManyPendingBytes)
    );
    // The other one is not affected.
    assembler.handle_record(record(4, 2, b""), true);
    let event = assembler.handle_record(record(5, 2, b""), true);
    assert!(matches!(event, AssemblyEvent::Complete(2, request) if request.params.len() == 40_000));
    assert_eq!(assembler.pending_bytes(), 0);
}

#[test]
fn invalid_records_are_answered_and_affect_their_request_alone() {
    let mut assembler = RequestAssembler::default();
    assert_eq!(
        assembler.handle_record(record(1, 1, &[0, 2, 1]), true),
        AssemblyEvent::EndRequest(1, 3)
    );
    assert_eq!(
        assembler.handle_record(record(1, 1, BEGIN), false),
        AssemblyEvent::NotAccepted(1)
    );
    assert_eq!(
        assembler.handle_record(record(1, 1, &[0]), true),
        AssemblyEvent::Rejected(1, RequestFault::TruncatedBegin)
    );
    assert_eq!(
        assembler.handle_record(record(1, 1, BEGIN), true),
        AssemblyEvent::Pending
    );
    assert_eq!(
        assembler.handle_record(record(1, 1, BEGIN), true),
        AssemblyEvent::Rejected(1, RequestFault::DuplicateId)
    );
    // What follows could belong to either request of this id, and completes neither.
    for record_type in [4, 5] {
        assert_eq!(
            assembler.handle_record(record(record_type, 1, b""), true),
            AssemblyEvent::Ignored
        );
    }
    assembler.handle_record(record(1, 1, BEGIN), true);
    assert_eq!(
        assembler.handle_record(record(2, 1, b""), true),
        AssemblyEvent::EndRequest(1, 0)
    );
    assert_eq!(
        assembler.handle_record(record(2, 1, b""), true),
        AssemblyEvent::Abort(1)
    );
    assert_eq!(
        assembler.handle_record(record(4, 9, b"x"), true),
        AssemblyEvent::Ignored
    );
}

#[test]
fn management_records_are_answered() {
    let mut assembler = RequestAssembler::default();
    assert_eq!(
        assembler.handle_record(record(77, 0, b"x"), true),
        AssemblyEvent::UnknownType(77)
    );
    assert_eq!(
        assembler.handle_record(record(9, 0, b"x"), true),
        AssemblyEvent::GetValues(b"x".to_vec())
    );
    // A query that is far longer than all known variables is answered in part.
    assert_eq!(
        assembler.handle_record(record(9, 0, &[0; 60_000]), true),
        AssemblyEvent::GetValues(vec![0; 1024])
    );
}
