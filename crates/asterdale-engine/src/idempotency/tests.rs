//! Windows, joins and bounds of the idempotency table.

use super::*;

fn key() -> IdempotencyKey {
    IdempotencyKey {
        class: 1,
        tenant: 0,
        bytes: b"key".as_slice().into(),
    }
}

fn key_of_other_class() -> IdempotencyKey {
    IdempotencyKey { class: 0, ..key() }
}

fn owner(task: TaskId) -> Owner {
    Owner {
        task,
        body_digest: 0,
    }
}

const LIMITS: IdempotencyLimits = IdempotencyLimits {
    max_result_bytes: 2048,
    max_entries: 2,
};

fn table() -> IdempotencyTable {
    let mut table = IdempotencyTable::new(LIMITS, 50.0, 7);
    assert!(table.retain(key(), owner(1), 1000.0, None).is_empty());
    table
}

#[test]
fn repeats_are_recognized_by_arrival_time_even_if_read_late() {
    let mut table = table();
    table.complete(&key(), 1, 10.0, Some(vec![1].into()));
    table.sweep(1040.0);
    assert!(table.is_repeat(&key(), 999.0) && !table.is_repeat(&key(), 1000.0));
    assert!(!table.is_repeat(&key_of_other_class(), 0.0));
    let key_of_other_tenant = IdempotencyKey { tenant: 1, ..key() };
    assert!(!table.is_repeat(&key_of_other_tenant, 0.0));
    table.sweep(1051.0);
    assert_eq!((table.len(), table.bytes()), (0, 0));
}

#[test]
fn tasks_that_join_get_the_result_of_the_pending_or_served_one() {
    let mut table = table();
    assert!(matches!(table.join(&key(), 9), EntryState::Pending));
    assert_eq!(table.complete(&key(), 1, 10.0, Some(vec![7].into())), [9]);
    assert!(
        table.complete(&key(), 1, 11.0, None).is_empty(),
        "a task ends only once"
    );
    assert!(matches!(table.join(&key(), 10), EntryState::Served(result) if *result == [7]));
}

#[test]
fn known_key_with_another_body_is_detected() {
    let mut table = table();
    let (original, other) = (table.digest(b"original"), table.digest(b"other"));
    let owner = Owner {
        task: 2,
        body_digest: original,
    };
    table.retain(key(), owner, 1000.0, None);
    assert!(table.has_other_body(&key(), other) && !table.has_other_body(&key(), original));
    assert!(!table.has_other_body(&key_of_other_class(), other));
}

#[test]
fn only_the_owner_drops_its_entry_and_the_joined_tasks_are_returned() {
    let mut table = table();
    table.join(&key(), 9);
    assert!(table.forget(&key(), 2).is_empty() && table.is_repeat(&key(), 0.0));
    assert_eq!(table.forget(&key(), 1), [9]);
    assert!(!table.is_repeat(&key(), 0.0));
}

#[test]
fn pending_task_is_retained_after_its_window_and_its_late_end_does_not_affect_a_newer_entry() {
    let mut table = table();
    table.sweep(9000.0);
    assert_eq!(table.len(), 1);
    table.retain(key(), owner(2), 9000.0, None);
    assert!(table
        .complete(&key(), 1, 9001.0, Some(vec![1].into()))
        .is_empty());
    assert!(matches!(table.join(&key(), 3), EntryState::Pending));
}

#[test]
fn results_over_the_memory_bound_are_not_cached_but_repeats_are_recognized() {
    let mut table = table();
    table.complete(&key(), 1, 10.0, Some(vec![0; 2049].into()));
    assert!(table.is_repeat(&key(), 500.0));
    assert!(matches!(table.join(&key(), 3), EntryState::Failed));
}

#[test]
fn table_is_full_at_its_memory_bound() {
    let mut table = table();
    assert!(!table.is_full());
    table.retain(key_of_other_class(), owner(2), 1000.0, None);
    assert!(table.is_full());
    table.forget(&key(), 1);
    assert!(!table.is_full());
}

#[test]
fn reads_serve_repeats_while_pending_and_for_a_while_after_success() {
    let mut table = IdempotencyTable::new(LIMITS, 50.0, 7);
    table.retain(key(), owner(1), 20.0, Some(20.0));
    assert!(table.is_repeat(&key(), 500.0));
    table.complete(&key(), 1, 600.0, Some(vec![1].into()));
    assert!(table.is_repeat(&key(), 619.0) && !table.is_repeat(&key(), 620.0));
    table.retain(key(), owner(2), 720.0, Some(20.0));
    table.complete(&key(), 2, 700.0, None);
    assert!(!table.is_repeat(&key(), 700.0));
}
