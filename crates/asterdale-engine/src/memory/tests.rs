//! The sum of all shares of the memory budget, and what a connection may take of one.

use super::budget::PROCESS_BYTES;
use super::*;

const MB: usize = 1_000_000;

/// Guards against bounds that each derive from the limit, and together exceed it.
#[test]
fn all_shares_together_stay_below_the_limit_whatever_the_setting() {
    for limit_mb in (8..=256).chain([512, 4096, 1_000_000]) {
        for configured_mb in [0, 16, 32, 36] {
            let (limit, configured) = (limit_mb * MB, configured_mb * MB);
            let Ok(budget) = MemoryBudget::new(limit, configured) else {
                assert!(limit < PROCESS_BYTES + configured + 2 * MB, "{limit_mb}");
                continue;
            };
            assert!(budget.total() <= limit, "{limit_mb}: {budget:?}");
            assert!(budget.total() + 16 > limit, "{limit_mb}: {budget:?}");
            assert!(budget.fixed >= PROCESS_BYTES + configured, "{limit_mb}");
            // The allocator's part is in proportion to what is allocated.
            let allocated = limit - budget.fixed - budget.allocator;
            assert!(budget.allocator * 6 >= allocated, "{limit_mb}: {budget:?}");
        }
    }
}

#[test]
fn a_limit_that_leaves_nothing_to_serve_with_is_rejected() {
    let min_bytes = PROCESS_BYTES + 2 * MB;
    let error = MemoryBudget::new(min_bytes - 1, 0).unwrap_err();
    assert_eq!(error.min_bytes, min_bytes);
    let text = format!("must be at least {}", min_bytes / MB);
    assert_eq!(error.to_string(), text);
    assert!(MemoryBudget::new(min_bytes, 0).is_ok());
    assert!(MemoryBudget::new(min_bytes + 15 * MB, 16 * MB).is_err());
}

#[test]
fn a_reservation_is_released_with_its_last_part() {
    let account = MemoryAccount::new(&MemoryBudget {
        open_requests: 1000,
        ..MemoryBudget::default()
    });
    let connection = ConnectionMemory::new(account.clone());
    let mut reservation = connection.reserve(900).unwrap();
    let part = reservation.split_off(300);
    assert_eq!((reservation.bytes(), part.bytes()), (600, 300));
    drop(reservation);
    assert_eq!(account.used(), 300);
    let mut merged = MemoryReservation::default();
    merged.merge(part);
    merged.merge(connection.reserve(100).unwrap());
    assert_eq!((merged.bytes(), account.used()), (400, 400));
    merged.shrink_to(50);
    merged.shrink_to(60);
    assert_eq!((merged.bytes(), account.used()), (50, 50));
    drop(merged);
    assert_eq!(account.used(), 0);
}

/// Guards against a few connections with many requests that cost all others their first one.
#[test]
fn an_open_connection_without_requests_always_has_room_for_one() {
    let budget = MemoryBudget::new(32 * MB, 0).unwrap();
    let account = MemoryAccount::new(&budget);
    let connections: Vec<_> = (0..budget.connections / CONNECTION_BYTES)
        .map(|_| ConnectionMemory::new(account.clone()))
        .collect();
    let mut reservations = Vec::new();
    for connection in &connections[..9] {
        reservations.extend(std::iter::from_fn(|| connection.reserve(MAX_REQUEST_BYTES)));
    }
    let first_ones = connections[9..]
        .iter()
        .map(|connection| connection.reserve(MAX_REQUEST_BYTES));
    reservations.extend(first_ones.map(|reservation| reservation.expect("room for one request")));
    assert!(reservations.len() > connections.len());
    assert!(connections[0].reserve(MAX_REQUEST_BYTES).is_none());
    assert!(account.used() <= budget.open_requests);
    drop(reservations);
    assert_eq!(account.used(), 0);
}

/// Guards against new requests that take the memory in which repeats of earlier ones get their results.
#[test]
fn repeats_have_room_while_new_requests_take_all_of_theirs() {
    let budget = MemoryBudget::new(32 * MB, 0).unwrap();
    let account = MemoryAccount::new(&budget);
    let connection = ConnectionMemory::new(account.clone());
    let mut reservations: Vec<_> =
        std::iter::from_fn(|| connection.reserve(MAX_REQUEST_BYTES)).collect();
    let repeats: Vec<_> =
        std::iter::from_fn(|| connection.reserve_for_repeat(MAX_REQUEST_BYTES)).collect();
    assert!(repeats.len() > 20, "{}", repeats.len());
    assert!(account.used() <= budget.open_requests + budget.repeats);
    reservations.extend(repeats);
    let mut merged = MemoryReservation::default();
    reservations.into_iter().for_each(|part| merged.merge(part));
    assert_eq!(merged.bytes(), account.used());
    // What is released belongs to the share that it was taken from.
    merged.shrink_to(MAX_REQUEST_BYTES);
    assert!(connection.reserve_for_repeat(MAX_REQUEST_BYTES).is_some());
    assert!(connection.reserve(MAX_REQUEST_BYTES).is_some());
    drop(merged);
    assert_eq!(account.used(), 0);
}
