//! Tests of the event queue.

use super::*;

#[test]
fn events_pop_by_time_then_by_scheduling_order() {
    let mut queue = EventQueue::default();
    for n in 0..1000u64 {
        queue.schedule(n * 7919 % 50, n);
    }
    let mut popped = Vec::new();
    while let Some((time, n)) = queue.pop() {
        assert_eq!(time, n * 7919 % 50);
        popped.push((time, n));
    }
    assert!(popped.is_sorted() && popped.len() == 1000);
    assert_eq!((queue.slots.len(), queue.len()), (1000, 0));
}
