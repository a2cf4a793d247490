//! Tests of the ownership table's answer to each command.

use super::*;

use crate::message::wire::{Claim, Command, Complete, KeyedRequest, Release, Renew};
use crate::message::{member, CommandKind};

fn process(n: u64) -> Member {
    member(&format!("n{n}"), n, ([127, 0, 0, 1], 9).into())
}

fn request(key: &[u8], id: u8, fenced: bool) -> KeyedRequest {
    KeyedRequest {
        key: key.to_vec(),
        class: "bid".to_owned(),
        execution_id: vec![id; 16],
        body: b"body".to_vec(),
        deadline_ms: 10_000.0,
        retry_window_ms: 20_000.0,
        fenced,
        ..KeyedRequest::default()
    }
}

struct Harness(OwnershipTable);

impl Harness {
    fn new() -> Harness {
        let settings = OwnershipSettings {
            max_retry_window_ms: 0.0,
            max_bytes: 4096,
            ..OwnershipSettings::default()
        };
        Harness(OwnershipTable::new(3, &[], settings))
    }

    fn execute(&mut self, from: u64, kind: CommandKind) -> (Verdict, u64) {
        let command = Some(Command {
            seq: 7,
            kind: Some(kind),
        });
        let all = self.0.apply(LogEntry {
            elapsed_ms: 1.0,
            proposals: vec![Proposal {
                from: Some(process(from)),
                command,
            }],
        });
        let read = OwnershipTable::decode(&self.0.encode(), self.0.settings.clone());
        assert_eq!(
            read.as_ref(),
            Some(&self.0),
            "decoding an encoded table gives the same table"
        );
        (all[0].1.verdict(), all[0].1.number)
    }

    fn join(&mut self, from: u64) -> u64 {
        self.execute(from, CommandKind::Join(0)).1
    }

    fn claim(&mut self, from: u64, epoch: u64, request: KeyedRequest) -> (Verdict, u64) {
        self.execute(
            from,
            CommandKind::Claim(Claim {
                epoch,
                request: Some(request),
            }),
        )
    }

    fn advance(&mut self, ms: f64) {
        self.0.apply(LogEntry {
            elapsed_ms: ms,
            proposals: Vec::new(),
        });
    }
}

#[test]
fn only_one_owner_gets_a_claim_and_its_outcome_is_answered_to_others() {
    let mut harness = Harness::new();
    let (first, second) = (harness.join(1), harness.join(2));
    assert!(
        first > 3 * NUMBERS_PER_GROUP && second > first && harness.join(1) == first,
        "a duplicated join ends no epoch"
    );
    let (verdict, fence) = harness.claim(1, first, request(b"k", 1, true));
    assert_eq!(
        (verdict, harness.claim(1, first, request(b"k", 1, true))),
        (Verdict::Granted, (Verdict::Granted, fence))
    );
    assert_eq!(
        harness.claim(2, second, request(b"k", 2, true)).0,
        Verdict::InProgress
    );
    assert_eq!(
        harness
            .claim(
                2,
                second,
                KeyedRequest {
                    body_digest: 9,
                    ..request(b"k", 2, true)
                }
            )
            .0,
        Verdict::DigestMismatch
    );
    let outcome = |fence| {
        CommandKind::Complete(Complete {
            key: b"k".to_vec(),
            fence,
            result: Some(b"sold".to_vec()),
        })
    };
    assert_eq!(harness.execute(1, outcome(fence - 1)).0, Verdict::Fenced);
    assert_eq!(harness.execute(1, outcome(fence)).0, Verdict::Recorded);
    assert_eq!(
        harness.claim(2, second, request(b"k", 2, true)).0,
        Verdict::Completed
    );
    harness.advance(20_001.0);
    assert!(
        harness.0.requests().is_empty()
            && harness.0.size_bytes() == 0
            && harness.0.leases().is_empty()
    );
}

#[test]
fn after_lease_expiry_only_fenced_requests_can_be_claimed_again() {
    let mut harness = Harness::new();
    let first = harness.join(1);
    let (_, fence) = harness.claim(1, first, request(b"fenced", 1, true));
    let (_, other) = harness.claim(1, first, request(b"not", 2, false));
    harness.advance(2001.0);
    assert_eq!(
        harness
            .execute(
                1,
                CommandKind::Renew(Renew {
                    epoch: first,
                    capacity: 0
                })
            )
            .0,
        Verdict::EpochEnded
    );
    let second = harness.join(2);
    assert_eq!(harness.0.claimable().count(), 1);
    assert_eq!(
        harness.claim(2, second, request(b"not", 3, false)).0,
        Verdict::OutcomeUnknown
    );
    let (verdict, newer) = harness.claim(2, second, request(b"fenced", 3, true));
    assert!(verdict == Verdict::Granted && newer > fence);
    // The first owner submits both outcomes. The fenced request has a newer claim, so its outcome is rejected; the
    // other one has none, so its outcome is recorded.
    let outcome = |key: &[u8], fence| {
        CommandKind::Complete(Complete {
            key: key.to_vec(),
            fence,
            result: Some(vec![1]),
        })
    };
    assert_eq!(
        harness.execute(1, outcome(b"fenced", fence)).0,
        Verdict::Fenced
    );
    assert_eq!(
        harness.execute(1, outcome(b"not", other)).0,
        Verdict::Recorded
    );
    assert_eq!(
        harness.claim(2, second, request(b"not", 4, false)).0,
        Verdict::Completed
    );
}

#[test]
fn restarted_process_ends_the_epoch_of_its_predecessor() {
    let mut harness = Harness::new();
    let first = harness.join(1);
    harness.claim(1, first, request(b"k", 1, true));
    let mut successor = process(8);
    successor.name = "n1".to_owned();
    let command = Some(Command {
        seq: 1,
        kind: Some(CommandKind::Join(0)),
    });
    harness.0.apply(LogEntry {
        elapsed_ms: 0.0,
        proposals: vec![Proposal {
            from: Some(successor),
            command,
        }],
    });
    assert!(harness.0.claimable().count() == 1 && harness.0.leases().len() == 1);
    assert_eq!(
        harness.claim(1, first, request(b"other", 2, true)).0,
        Verdict::EpochEnded
    );
    let epoch = *harness.0.leases().keys().next().unwrap();
    let renew = Some(Command {
        seq: 2,
        kind: Some(CommandKind::Renew(Renew { epoch, capacity: 0 })),
    });
    let mut successor = process(8);
    successor.name = "n1".to_owned();
    harness.0.apply(LogEntry {
        elapsed_ms: 0.0,
        proposals: vec![Proposal {
            from: Some(successor),
            command: renew,
        }],
    });
    assert_eq!(
        harness.execute(1, CommandKind::Join(0)).0,
        Verdict::EpochEnded,
        "delayed join of the replaced process"
    );
    assert_eq!(harness.0.leases().len(), 1);
}

#[test]
fn claims_are_blocked_for_a_window_and_refused_beyond_capacity() {
    let settings = OwnershipSettings {
        max_retry_window_ms: 500.0,
        max_bytes: 2000,
        max_requests: 3,
        ..OwnershipSettings::default()
    };
    let mut harness = Harness(OwnershipTable::new(1, &[], settings));
    let first = harness.join(1);
    assert_eq!(
        harness.claim(1, first, request(b"k", 1, true)).0,
        Verdict::RetryLater
    );
    harness.advance(500.0);
    for n in 0..3 {
        assert_eq!(
            harness.claim(1, first, request(&[n], n, true)).0,
            Verdict::Granted
        );
    }
    assert_eq!(
        harness.claim(1, first, request(b"one more", 9, true)).0,
        Verdict::RetryLater
    );
    assert_eq!(
        harness.claim(1, first, request(&[0], 0, true)).0,
        Verdict::Granted,
        "a repeated claim needs no capacity"
    );
    // A result that exceeds the capacity is dropped, but the end of the request is recorded.
    let key = vec![0];
    let fence = harness.0.requests()[&key].fence;
    let outcome = CommandKind::Complete(Complete {
        key: key.clone(),
        fence,
        result: Some(vec![0; 3000]),
    });
    assert_eq!(harness.execute(1, outcome).0, Verdict::Recorded);
    assert_eq!(harness.0.requests()[&key].state, RequestState::Failed);
}

#[test]
fn handed_over_request_is_claimed_once_and_unused_claim_is_released() {
    let mut harness = Harness::new();
    let (first, second) = (harness.join(1), harness.join(2));
    assert_eq!(
        harness
            .execute(1, CommandKind::HandOver(request(b"queued", 1, false)))
            .0,
        Verdict::Recorded
    );
    assert_eq!(harness.0.claimable().count(), 1);
    let (verdict, fence) = harness.claim(2, second, request(b"queued", 2, false));
    assert_eq!(
        (
            verdict,
            harness.claim(1, first, request(b"queued", 3, false)).0
        ),
        (Verdict::Granted, Verdict::InProgress)
    );
    let release = |fence| {
        CommandKind::Release(Release {
            key: b"queued".to_vec(),
            fence,
        })
    };
    harness.execute(2, release(fence - 1));
    assert_eq!(harness.0.requests().len(), 1);
    harness.execute(2, release(fence));
    assert_eq!(
        harness.claim(1, first, request(b"queued", 4, false)).0,
        Verdict::Granted
    );
}
