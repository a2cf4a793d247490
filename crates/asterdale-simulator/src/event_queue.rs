//! Event queue of the simulation: events ordered by time and, at the same time, by the order in which they were scheduled.
//!
//! The second criterion makes a run deterministic: it does not depend on how a binary heap orders equal entries.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::Nanos;

#[cfg(test)]
mod tests;

/// Queue of future events.
pub struct EventQueue<E> {
    /// Time, sequence number and slot of each event, earliest first.
    heap: BinaryHeap<Reverse<(Nanos, u64, Slot)>>,
    /// The events themselves: kept out of the heap, so that sifting moves small entries only.
    slots: Vec<Option<E>>,
    free_slots: Vec<u32>,
    scheduled: u64,
}

/// Index of an event in `slots`. All slots compare as equal, since the sequence number before it is unique.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Slot(u32);

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Slot) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, _: &Slot) -> Ordering {
        Ordering::Equal
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at this simulated time.
    pub fn schedule(&mut self, time: Nanos, event: E) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            (self.slots.len() - 1) as u32
        });
        self.slots[slot as usize] = Some(event);
        self.scheduled += 1;
        self.heap.push(Reverse((time, self.scheduled, Slot(slot))));
    }

    /// Removes the earliest event and returns it with its time; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        let Reverse((time, _, Slot(slot))) = self.heap.pop()?;
        let event = self.slots[slot as usize].take()?;
        self.free_slots.push(slot);
        Some((time, event))
    }

    /// Number of events that are still to happen.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is still to happen.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Number of events that were ever scheduled.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled
    }
}
