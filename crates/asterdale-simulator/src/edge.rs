//! Edge nodes: how one picks a server, and what it does when a try was turned away or broke. Nothing here knows
//! what goes on inside the servers.

use crate::chance::{hash, Chance};
use crate::experiment::{Edges, Pick, Retry};
use crate::Nanos;

/// Points of each server on the ring.
const POINTS: usize = 64;
/// So many draws are made for a server that can be had; then all are looked through.
const DRAWS: usize = 8;

/// The ring that all edge nodes share.
pub struct Ring(Vec<(u64, u32)>);

impl Ring {
    /// Of so many servers.
    pub fn new(servers: usize) -> Ring {
        let point = |n: usize| (hash(0x517c_c1b7 ^ (n as u64 + 1)), (n / POINTS) as u32);
        let mut points: Vec<_> = (0..servers * POINTS).map(point).collect();
        points.sort_unstable();
        Ring(points)
    }
}

/// One edge node.
pub struct Edge {
    /// Tries of its own at each server.
    pub open: Vec<u32>,
    open_in_all: u32,
    /// Servers that asked to be left alone, until then.
    away: Vec<Nanos>,
    next: usize,
    chance: Chance,
    first_tries: f64,
    further: f64,
}

impl Edge {
    /// One that starts its rounds anywhere.
    pub fn new(servers: usize, mut chance: Chance) -> Edge {
        let next = chance.one_of(servers);
        let (open, away) = (vec![0; servers], vec![0; servers]);
        Edge {
            open,
            open_in_all: 0,
            away,
            next,
            chance,
            first_tries: 0.0,
            further: 0.0,
        }
    }

    /// A server for a task about this subject: one that is seen and not asked to be left alone, and best of all not
    /// the last. Where there is none, one that is seen; `None` if none is.
    pub fn pick(
        &mut self,
        now: Nanos,
        how: Pick,
        seen: &[bool],
        ring: &Ring,
        subject: u64,
        last: Option<usize>,
    ) -> Option<usize> {
        let good = |edge: &Edge, n: usize| seen[n] && edge.away[n] <= now && last != Some(n);
        let mean = 1.0 + f64::from(self.open_in_all) / seen.len() as f64;
        let picked = match how {
            Pick::RoundRobin => (0..seen.len()).find_map(|_| {
                self.next = (self.next + 1) % seen.len();
                good(self, self.next).then_some(self.next)
            }),
            Pick::Random => self.draw(seen.len(), &good),
            Pick::TwoChoices => {
                let (one, two) = (self.draw(seen.len(), &good), self.draw(seen.len(), &good));
                one.zip(two).map(|(one, two)| {
                    if self.open[two] < self.open[one] {
                        two
                    } else {
                        one
                    }
                })
            }
            Pick::LeastLoaded => {
                let from = self.chance.one_of(seen.len());
                let all = (0..seen.len())
                    .map(|n| (n + from) % seen.len())
                    .filter(|n| good(self, *n));
                all.min_by_key(|n| self.open[*n])
            }
            Pick::RingHash(bound) => {
                let from = ring.0.partition_point(|(at, _)| *at < hash(subject));
                let all = (0..ring.0.len()).map(|n| ring.0[(n + from) % ring.0.len()].1 as usize);
                let mut all = all.filter(|n| good(self, *n));
                all.find(|n| f64::from(self.open[*n]) <= bound * mean)
            }
            Pick::Rendezvous(bound) => {
                let fits = |n: &usize| good(self, *n) && f64::from(self.open[*n]) <= bound * mean;
                (0..seen.len())
                    .filter(fits)
                    .max_by_key(|n| hash(hash(subject) ^ (*n as u64 + 1)))
            }
        };
        picked.or_else(|| self.draw(seen.len(), &|_: &Edge, n: usize| seen[n]))
    }

    fn draw(&mut self, servers: usize, good: &dyn Fn(&Edge, usize) -> bool) -> Option<usize> {
        for _ in 0..DRAWS {
            let n = self.chance.one_of(servers);
            if good(self, n) {
                return Some(n);
            }
        }
        let from = self.chance.one_of(servers);
        (0..servers)
            .map(|n| (n + from) % servers)
            .find(|n| good(self, *n))
    }

    /// A try goes out.
    pub fn sent(&mut self, server: usize, first: bool) {
        self.open[server] += 1;
        self.open_in_all += 1;
        if first {
            self.first_tries += 1.0;
        } else {
            self.further += 1.0;
        }
    }

    /// And is over.
    pub fn over(&mut self, server: usize) {
        self.open[server] -= 1;
        self.open_in_all -= 1;
    }

    /// A server asks to be left alone until then.
    pub fn leave_alone(&mut self, server: usize, until: Nanos) {
        self.away[server] = self.away[server].max(until);
    }

    /// Whether to try again after so many tries, and in how many milliseconds.
    pub fn again(&mut self, edges: &Edges, tries: u32) -> Option<f64> {
        match edges.retry {
            Retry::None => None,
            Retry::Fixed(most) => (tries <= most).then_some(0.0),
            Retry::Budget(most, share) => {
                (tries <= most && self.further < share * self.first_tries).then_some(0.0)
            }
            Retry::Jitter(most, ms) => {
                let longest = ms * 2f64.powi(tries.min(16) as i32 - 1);
                (tries <= most).then(|| longest * self.chance.share())
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_subject_stays_with_its_server_and_moves_only_when_that_is_gone_or_has_too_much() {
        let (ring, mut seen) = (Ring::new(50), vec![true; 50]);
        let mut edge = Edge::new(50, Chance::new(1, 1));
        for how in [Pick::RingHash(2.0), Pick::Rendezvous(2.0)] {
            let pick = |edge: &mut Edge, seen: &[bool], subject| {
                edge.pick(0, how, seen, &ring, subject, None).unwrap()
            };
            let before: Vec<usize> = (0..1000)
                .map(|subject| pick(&mut edge, &seen, subject))
                .collect();
            assert_eq!(
                before,
                (0..1000)
                    .map(|subject| pick(&mut edge, &seen, subject))
                    .collect::<Vec<_>>()
            );
            seen[before[0]] = false;
            let after: Vec<usize> = (0..1000)
                .map(|subject| pick(&mut edge, &seen, subject))
                .collect();
            let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
            assert_eq!(moved, before.iter().filter(|n| **n == before[0]).count());
            seen[before[0]] = true;
            (0..9).for_each(|_| edge.sent(before[0], true));
            assert_ne!(pick(&mut edge, &seen, 0), before[0]);
            (0..9).for_each(|_| edge.over(before[0]));
        }
    }

    #[test]
    fn a_budget_bounds_further_tries_and_jitter_waits_ever_longer() {
        let mut edge = Edge::new(2, Chance::new(1, 1));
        let edges = |retry| Edges {
            count: 1,
            pick: Pick::Random,
            retry,
            try_ms: 0.0,
            way_ms: 0.0,
            late_ms: 0.0,
            heeds: false,
        };
        let (mut further, budget) = (0, edges(Retry::Budget(9, 0.1)));
        for _ in 0..1000 {
            edge.sent(0, true);
            while edge.again(&budget, 1).is_some() {
                edge.sent(0, false);
                further += 1;
            }
        }
        assert_eq!(further, 100);
        assert!((0..100).all(|_| edge.again(&edges(Retry::Jitter(3, 10.0)), 3).unwrap() < 40.0));
        assert_eq!(edge.again(&edges(Retry::Jitter(3, 10.0)), 4), None);
    }
}
