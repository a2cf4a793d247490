//! The decisions of the ownership table, command by command.

use super::*;
use crate::message::member;
use crate::message::wire::Command;

fn who(n: u64) -> Member {
    member(&format!("n{n}"), n, ([127, 0, 0, 1], 9).into())
}

fn work(key: &[u8], id: u8, fenced: bool) -> KeyedRequest {
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

struct Desk(OwnershipTable);

impl Desk {
    fn new() -> Desk {
        let terms = OwnershipSettings {
            max_retry_window_ms: 0.0,
            max_bytes: 4096,
            ..OwnershipSettings::default()
        };
        Desk(OwnershipTable::new(3, &[], terms))
    }

    fn says(&mut self, from: u64, what: CommandKind) -> (Verdict, u64) {
        let command = Some(Command {
            seq: 7,
            kind: Some(what),
        });
        let all = self.0.apply(LogEntry {
            elapsed_ms: 1.0,
            proposals: vec![Proposal {
                from: Some(who(from)),
                command,
            }],
        });
        let read = OwnershipTable::decode(&self.0.encode(), self.0.settings.clone());
        assert_eq!(read.as_ref(), Some(&self.0), "as bytes it is the same");
        (all[0].1.verdict(), all[0].1.number)
    }

    fn join(&mut self, from: u64) -> u64 {
        self.says(from, CommandKind::Join(0)).1
    }

    fn claim(&mut self, from: u64, epoch: u64, work: KeyedRequest) -> (Verdict, u64) {
        self.says(
            from,
            CommandKind::Claim(Claim {
                epoch,
                request: Some(work),
            }),
        )
    }

    fn passes(&mut self, ms: f64) {
        self.0.apply(LogEntry {
            elapsed_ms: ms,
            proposals: Vec::new(),
        });
    }
}

#[test]
fn a_claim_is_one_owners_and_its_end_is_kept_for_whoever_asks() {
    let mut desk = Desk::new();
    let (a, b) = (desk.join(1), desk.join(2));
    assert!(
        a > 3 * STEP && b > a && desk.join(1) == a,
        "a doubled letter ends nothing"
    );
    let (verdict, fence) = desk.claim(1, a, work(b"k", 1, true));
    assert_eq!(
        (verdict, desk.claim(1, a, work(b"k", 1, true))),
        (Verdict::Granted, (Verdict::Granted, fence))
    );
    assert_eq!(desk.claim(2, b, work(b"k", 2, true)).0, Verdict::InProgress);
    assert_eq!(
        desk.claim(
            2,
            b,
            KeyedRequest {
                body_digest: 9,
                ..work(b"k", 2, true)
            }
        )
        .0,
        Verdict::DigestMismatch
    );
    let end = |fence| {
        CommandKind::Complete(Complete {
            key: b"k".to_vec(),
            fence,
            result: Some(b"sold".to_vec()),
        })
    };
    assert_eq!(desk.says(1, end(fence - 1)).0, Verdict::Fenced);
    assert_eq!(desk.says(1, end(fence)).0, Verdict::Recorded);
    assert_eq!(desk.claim(2, b, work(b"k", 2, true)).0, Verdict::Completed);
    desk.passes(20_001.0);
    assert!(desk.0.requests().is_empty() && desk.0.size_bytes() == 0 && desk.0.leases().is_empty());
}

#[test]
fn work_of_an_owner_that_is_gone_runs_again_only_where_its_effect_is_fenced() {
    let mut desk = Desk::new();
    let a = desk.join(1);
    let (_, fence) = desk.claim(1, a, work(b"fenced", 1, true));
    let (_, other) = desk.claim(1, a, work(b"not", 2, false));
    desk.passes(2001.0);
    assert_eq!(
        desk.says(
            1,
            CommandKind::Renew(Renew {
                epoch: a,
                capacity: 0
            })
        )
        .0,
        Verdict::EpochEnded
    );
    let b = desk.join(2);
    assert_eq!(desk.0.ownerless().count(), 1);
    assert_eq!(
        desk.claim(2, b, work(b"not", 3, false)).0,
        Verdict::OutcomeUnknown
    );
    let (verdict, newer) = desk.claim(2, b, work(b"fenced", 3, true));
    assert!(verdict == Verdict::Granted && newer > fence);
    // The first owner comes back with what it knows: too late for one, in time for the other.
    let end = |key: &[u8], fence| {
        CommandKind::Complete(Complete {
            key: key.to_vec(),
            fence,
            result: Some(vec![1]),
        })
    };
    assert_eq!(desk.says(1, end(b"fenced", fence)).0, Verdict::Fenced);
    assert_eq!(desk.says(1, end(b"not", other)).0, Verdict::Recorded);
    assert_eq!(
        desk.claim(2, b, work(b"not", 4, false)).0,
        Verdict::Completed
    );
}

#[test]
fn a_process_that_starts_anew_orphans_what_the_earlier_one_under_its_name_had() {
    let mut desk = Desk::new();
    let a = desk.join(1);
    desk.claim(1, a, work(b"k", 1, true));
    let mut again = who(8);
    again.name = "n1".to_owned();
    let command = Some(Command {
        seq: 1,
        kind: Some(CommandKind::Join(0)),
    });
    desk.0.apply(LogEntry {
        elapsed_ms: 0.0,
        proposals: vec![Proposal {
            from: Some(again),
            command,
        }],
    });
    assert!(desk.0.ownerless().count() == 1 && desk.0.leases().len() == 1);
    assert_eq!(
        desk.claim(1, a, work(b"other", 2, true)).0,
        Verdict::EpochEnded
    );
    let epoch = *desk.0.leases().keys().next().unwrap();
    let renew = Some(Command {
        seq: 2,
        kind: Some(CommandKind::Renew(Renew { epoch, capacity: 0 })),
    });
    let mut again = who(8);
    again.name = "n1".to_owned();
    desk.0.apply(LogEntry {
        elapsed_ms: 0.0,
        proposals: vec![Proposal {
            from: Some(again),
            command: renew,
        }],
    });
    assert_eq!(
        desk.says(1, CommandKind::Join(0)).0,
        Verdict::EpochEnded,
        "a letter of the earlier one's, come late"
    );
    assert_eq!(desk.0.leases().len(), 1);
}

#[test]
fn nothing_is_claimed_before_the_windows_of_a_lost_group_have_passed_nor_past_the_bounds() {
    let terms = OwnershipSettings {
        max_retry_window_ms: 500.0,
        max_bytes: 2000,
        max_requests: 3,
        ..OwnershipSettings::default()
    };
    let mut desk = Desk(OwnershipTable::new(1, &[], terms));
    let a = desk.join(1);
    assert_eq!(desk.claim(1, a, work(b"k", 1, true)).0, Verdict::RetryLater);
    desk.passes(500.0);
    for n in 0..3 {
        assert_eq!(desk.claim(1, a, work(&[n], n, true)).0, Verdict::Granted);
    }
    assert_eq!(
        desk.claim(1, a, work(b"one more", 9, true)).0,
        Verdict::RetryLater
    );
    assert_eq!(
        desk.claim(1, a, work(&[0], 0, true)).0,
        Verdict::Granted,
        "what is kept stays kept"
    );
    // A result that has no place is not kept; that the task ended is.
    let key = vec![0];
    let fence = desk.0.requests()[&key].fence;
    let end = CommandKind::Complete(Complete {
        key: key.clone(),
        fence,
        result: Some(vec![0; 3000]),
    });
    assert_eq!(desk.says(1, end).0, Verdict::Recorded);
    assert_eq!(desk.0.requests()[&key].state, RequestState::Failed);
}

#[test]
fn what_was_passed_on_is_taken_once_and_what_was_never_started_is_dropped() {
    let mut desk = Desk::new();
    let (a, b) = (desk.join(1), desk.join(2));
    assert_eq!(
        desk.says(1, CommandKind::HandOver(work(b"held", 1, false)))
            .0,
        Verdict::Recorded
    );
    assert_eq!(desk.0.ownerless().count(), 1);
    let (verdict, fence) = desk.claim(2, b, work(b"held", 2, false));
    assert_eq!(
        (verdict, desk.claim(1, a, work(b"held", 3, false)).0),
        (Verdict::Granted, Verdict::InProgress)
    );
    let drop = |fence| {
        CommandKind::Release(Release {
            key: b"held".to_vec(),
            fence,
        })
    };
    desk.says(2, drop(fence - 1));
    assert_eq!(desk.0.requests().len(), 1);
    desk.says(2, drop(fence));
    assert_eq!(
        desk.claim(1, a, work(b"held", 4, false)).0,
        Verdict::Granted
    );
}
