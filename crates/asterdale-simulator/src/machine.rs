//! One server's cores: all that runs shares them alike. Past a crowd that nobody knows they do ever less.
//!
//! What a run has had is counted once for all: `had` is the work that any run would have got since the start. A run
//! that needs so much more ends when `had` has grown by that; the least need ends next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::{millis, Nanos};

/// What runs: a task, or the reading of one.
pub type Job = u64;

/// The cores.
pub struct Cores {
    cores: f64,
    crowd: f64,
    /// The part of their speed that they have now.
    speed: f64,
    had: f64,
    at: Nanos,
    /// By the `had` at which each ends, and its order of coming.
    ends: BinaryHeap<Reverse<(u64, u64, Job)>>,
    came: u64,
    gone: std::collections::BTreeSet<u64>,
    running: usize,
    /// Raised with every change: an end that was foreseen before it is no more.
    pub version: u64,
    /// Cores in use, times how long, in milliseconds.
    pub busy: f64,
}

/// A place among what runs, to take it out by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place(u64);

impl Cores {
    /// So many cores, that bear so many runs each without loss.
    pub fn new(cores: f64, crowd: f64) -> Cores {
        Cores {
            cores,
            crowd,
            speed: 1.0,
            had: 0.0,
            at: 0,
            ends: BinaryHeap::new(),
            came: 0,
            gone: Default::default(),
            running: 0,
            version: 0,
            busy: 0.0,
        }
    }

    /// What one run gets of a core now.
    fn rate(&self) -> f64 {
        let running = self.running as f64;
        if running == 0.0 || self.speed <= 0.0 {
            return 0.0;
        }
        let most = self.crowd * self.cores;
        let whole = self.cores * if running > most { most / running } else { 1.0 };
        self.speed * (whole / running).min(1.0)
    }

    fn pass(&mut self, now: Nanos) {
        let ms = millis(now - self.at);
        self.had += self.rate() * ms;
        self.busy += (self.running as f64).min(self.cores) * ms;
        self.at = now;
    }

    /// The cores do this part of what they should from now on.
    pub fn slow(&mut self, now: Nanos, speed: f64) {
        self.pass(now);
        self.speed = speed;
        self.version += 1;
    }

    /// The part of their speed that they have.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// A run begins that needs so much work, in milliseconds of one core.
    pub fn begin(&mut self, now: Nanos, job: Job, work_ms: f64) -> Place {
        self.pass(now);
        self.came += 1;
        self.running += 1;
        self.version += 1;
        // Times above 0 sort as their bits do.
        self.ends.push(Reverse((
            (self.had + work_ms.max(0.0)).to_bits(),
            self.came,
            job,
        )));
        Place(self.came)
    }

    /// When the next run ends, if nothing else happens.
    pub fn next_end(&mut self) -> Option<Nanos> {
        while let Some(Reverse((_, came, _))) = self.ends.peek() {
            if !self.gone.remove(came) {
                break;
            }
            self.ends.pop();
        }
        let Reverse((end, ..)) = self.ends.peek()?;
        let (left, rate) = (f64::from_bits(*end) - self.had, self.rate());
        (rate > 0.0).then(|| self.at + (left.max(0.0) / rate * 1e6).ceil() as Nanos)
    }

    /// The run that ends now, if one does.
    pub fn ended(&mut self, now: Nanos) -> Option<Job> {
        self.pass(now);
        self.next_end().filter(|end| *end <= now)?;
        let Reverse((_, _, job)) = self.ends.pop()?;
        self.running -= 1;
        self.version += 1;
        Some(job)
    }

    /// This run is taken out, wherever it is.
    pub fn take_out(&mut self, now: Nanos, place: Place) {
        self.pass(now);
        self.gone.insert(place.0);
        self.running -= 1;
        self.version += 1;
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Everything that runs is gone.
    pub fn clear(&mut self, now: Nanos) {
        self.pass(now);
        self.ends.clear();
        self.gone.clear();
        self.running = 0;
        self.version += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::nanos;

    fn ends(cores: &mut Cores) -> Vec<(Job, f64)> {
        let mut all = Vec::new();
        while let Some(at) = cores.next_end() {
            let job = cores.ended(at).unwrap();
            all.push((job, millis(at)));
        }
        all
    }

    #[test]
    fn what_runs_shares_the_cores_alike() {
        let mut cores = Cores::new(2.0, 1e9);
        cores.begin(0, 1, 10.0);
        assert_eq!(ends(&mut cores), [(1, 10.0)]);
        let start = nanos(10.0);
        for job in 1..=4 {
            cores.begin(start, job, 10.0 * job as f64);
        }
        // Four on two cores: half a core each; with two left each has its own.
        assert_eq!(
            ends(&mut cores),
            [(1, 30.0), (2, 45.0), (3, 55.0), (4, 65.0)]
        );
    }

    #[test]
    fn past_the_crowd_they_do_ever_less_and_slowed_ones_less() {
        let mut cores = Cores::new(1.0, 2.0);
        for job in 0..4 {
            cores.begin(0, job, 1.0);
        }
        // Four where two are borne: the whole does a half.
        assert_eq!(cores.next_end(), Some(nanos(8.0)));
        let mut cores = Cores::new(1.0, 2.0);
        cores.begin(0, 1, 10.0);
        cores.slow(nanos(5.0), 0.5);
        assert_eq!(cores.next_end(), Some(nanos(15.0)));
        cores.slow(nanos(5.0), 0.0);
        assert_eq!(cores.next_end(), None);
    }

    #[test]
    fn one_that_is_taken_out_frees_its_share() {
        let mut cores = Cores::new(1.0, 1e9);
        let place = cores.begin(0, 1, 10.0);
        cores.begin(0, 2, 10.0);
        cores.take_out(nanos(10.0), place);
        assert_eq!(ends(&mut cores), [(2, 15.0)]);
        assert_eq!(cores.busy, 15.0);
    }
}
