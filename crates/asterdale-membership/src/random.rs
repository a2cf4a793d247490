//! The state machine's random number generator. The same seed and the same inputs give the same run.

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded generator.
#[derive(Clone, Debug)]
pub(crate) struct RandomSource(Pcg64Mcg);

impl RandomSource {
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A random fraction, at least 0 and less than 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random index below `length`. Panics if `length` is 0.
    fn index(&mut self, length: usize) -> usize {
        (self.0.next_u64() % length as u64) as usize
    }

    /// A random item. Does not advance the generator if there are none.
    pub(crate) fn choose<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        if items.is_empty() {
            return None;
        }
        items.get(self.index(items.len()))
    }

    /// Removes a random item. Does not advance the generator if there are none.
    pub(crate) fn remove<T>(&mut self, items: &mut Vec<T>) -> Option<T> {
        if items.is_empty() {
            return None;
        }
        let index = self.index(items.len());
        Some(items.swap_remove(index))
    }

    /// Shuffles the items (Fisher and Yates).
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = self.index(last + 1);
            items.swap(last, other);
        }
    }
}
