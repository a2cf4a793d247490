//! What the end of a call proves about whether it ran.

use super::*;

#[test]
fn only_not_begun_responses_prove_that_nothing_ran() {
    let response = |status, never_ran| Response {
        status,
        never_ran,
        tag: None,
        body: Vec::new(),
    };
    for (status, never_ran, expected) in [
        (200, false, Outcome::Ok),
        (503, true, Outcome::Rejected),
        (503, false, Outcome::Failed),
        (409, true, Outcome::Stale),
        (409, false, Outcome::Failed),
        (500, false, Outcome::Failed),
        (500, true, Outcome::Failed),
        (504, false, Outcome::TimedOut),
        (302, false, Outcome::Failed),
    ] {
        let actual = response_outcome(&response(status, never_ran));
        assert_eq!(actual, expected, "{status} {never_ran}");
        assert_eq!(actual.never_ran(), never_ran && matches!(status, 503 | 409));
    }
}

#[test]
fn only_refused_connections_prove_that_nothing_ran() {
    use io::ErrorKind::*;
    assert_eq!(
        connect_outcome(&ConnectionRefused.into()),
        Outcome::Unreachable
    );
    for kind in [
        ConnectionReset,
        BrokenPipe,
        UnexpectedEof,
        InvalidData,
        TimedOut,
        WouldBlock,
    ] {
        assert!(
            !connect_outcome(&kind.into()).never_ran()
                && !exchange_outcome(&kind.into()).never_ran()
        );
    }
    assert!(!exchange_outcome(&ConnectionRefused.into()).never_ran());
}
