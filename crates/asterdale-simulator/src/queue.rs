//! What happens next: a heap by time, and by order of coming within the same time, so that nothing depends on how
//! a heap breaks ties.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Nanos;

/// Events in the order of their times.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<(Nanos, u64, Slot)>>,
    events: Vec<Option<E>>,
    free: Vec<u32>,
    came: u64,
}

/// Where an event lies. Equal in order: time and coming decide before it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Slot(u32);

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Slot) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, _: &Slot) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            came: 0,
        }
    }
}

impl<E> Queue<E> {
    /// This happens then.
    pub fn add(&mut self, at: Nanos, event: E) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            (self.events.len() - 1) as u32
        });
        self.events[slot as usize] = Some(event);
        self.came += 1;
        self.heap.push(Reverse((at, self.came, Slot(slot))));
    }

    /// What happens next, and when.
    pub fn take(&mut self) -> Option<(Nanos, E)> {
        let Reverse((at, _, Slot(slot))) = self.heap.pop()?;
        let event = self.events[slot as usize].take()?;
        self.free.push(slot);
        Some((at, event))
    }

    /// How many are to come.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// How many have come so far.
    pub fn came(&self) -> u64 {
        self.came
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_come_by_time_and_within_it_in_their_order() {
        let mut queue = Queue::default();
        for n in 0..1000u64 {
            queue.add(n * 7919 % 50, n);
        }
        let mut all = Vec::new();
        while let Some((at, n)) = queue.take() {
            assert_eq!(at, n * 7919 % 50);
            all.push((at, n));
        }
        assert!(all.is_sorted() && all.len() == 1000);
        assert_eq!((queue.events.len(), queue.len()), (1000, 0));
    }
}
