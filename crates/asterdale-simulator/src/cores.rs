//! Cores of one server, shared equally by its running jobs (processor sharing), with a loss of speed under overload.
//!
//! Every job progresses at the same rate, so one counter of the work that each job has received since the start is
//! enough. A job that starts when the counter is `c` and needs `w` completes when the counter reaches `c + w`; the job
//! with the lowest such value completes next.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::{millis, Nanos};

#[cfg(test)]
mod tests;

/// What a running job stands for. The owner of the cores chooses the number.
pub type Job = u64;

/// Handle of a running job, to remove it before it completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobHandle(u64);

/// Cores of one server and the jobs that run on them.
pub struct Cores {
    cores: f64,
    /// Jobs per core above which the total throughput falls.
    max_concurrency: f64,
    /// Present speed relative to the nominal one.
    speed: f64,
    /// Work that a job which ran since the start would have received, in milliseconds of one core.
    work_per_job_ms: f64,
    updated_at: Nanos,
    /// Value of `work_per_job_ms` at which each job completes, as bits; its start number; the job.
    completions: BinaryHeap<Reverse<(u64, u64, Job)>>,
    started: u64,
    /// Start numbers of removed jobs that are still in `completions`.
    removed: BTreeSet<u64>,
    running: usize,
    version: u64,
    busy_ms: f64,
}

impl Cores {
    /// Idle cores. Above `max_concurrency` jobs per core the total throughput falls.
    pub fn new(cores: f64, max_concurrency: f64) -> Cores {
        Cores {
            cores,
            max_concurrency,
            speed: 1.0,
            work_per_job_ms: 0.0,
            updated_at: 0,
            completions: BinaryHeap::new(),
            started: 0,
            removed: BTreeSet::new(),
            running: 0,
            version: 0,
            busy_ms: 0.0,
        }
    }

    /// Share of one nominal core that each job receives now.
    fn rate(&self) -> f64 {
        let running = self.running as f64;
        if running == 0.0 || self.speed <= 0.0 {
            return 0.0;
        }
        let max_running = self.max_concurrency * self.cores;
        let efficiency = if running > max_running {
            max_running / running
        } else {
            1.0
        };
        self.speed * (self.cores * efficiency / running).min(1.0)
    }

    /// Accounts for the time since the last update. `now` must not be earlier than that.
    fn update(&mut self, now: Nanos) {
        let elapsed_ms = millis(now - self.updated_at);
        self.work_per_job_ms += self.rate() * elapsed_ms;
        self.busy_ms += (self.running as f64).min(self.cores) * elapsed_ms;
        self.updated_at = now;
    }

    /// Sets the speed relative to the nominal one, from 0 (stopped) to 1.
    pub fn set_speed(&mut self, now: Nanos, speed: f64) {
        self.update(now);
        self.speed = speed;
        self.version += 1;
    }

    /// The present speed relative to the nominal one.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Starts a job that needs this much work, in milliseconds of one core.
    pub fn start(&mut self, now: Nanos, job: Job, work_ms: f64) -> JobHandle {
        self.update(now);
        self.started += 1;
        self.running += 1;
        self.version += 1;
        // Non-negative floating point numbers sort in the same order as their bits.
        let completes_at = (self.work_per_job_ms + work_ms.max(0.0)).to_bits();
        self.completions
            .push(Reverse((completes_at, self.started, job)));
        JobHandle(self.started)
    }

    /// Time at which the next job completes if nothing changes before; `None` if no job runs or the cores are stopped.
    pub fn next_completion(&mut self) -> Option<Nanos> {
        while let Some(Reverse((_, number, _))) = self.completions.peek() {
            if !self.removed.remove(number) {
                break;
            }
            self.completions.pop();
        }
        let Reverse((completes_at, ..)) = self.completions.peek()?;
        let remaining_ms = f64::from_bits(*completes_at) - self.work_per_job_ms;
        let rate = self.rate();
        (rate > 0.0).then(|| self.updated_at + (remaining_ms.max(0.0) / rate * 1e6).ceil() as Nanos)
    }

    /// Removes and returns a job that has completed by now. Call it until it returns `None`.
    pub fn pop_completed(&mut self, now: Nanos) -> Option<Job> {
        self.update(now);
        self.next_completion().filter(|time| *time <= now)?;
        let Reverse((_, _, job)) = self.completions.pop()?;
        self.running -= 1;
        self.version += 1;
        Some(job)
    }

    /// Removes a running job. The handle must not be that of a completed job.
    pub fn remove(&mut self, now: Nanos, handle: JobHandle) {
        self.update(now);
        self.removed.insert(handle.0);
        self.running -= 1;
        self.version += 1;
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Changes with every start, completion, removal and change of speed. A predicted completion time is valid only as
    /// long as the version is the same.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Core time used since the start, in milliseconds, up to the last update.
    pub fn busy_ms(&self) -> f64 {
        self.busy_ms
    }

    /// Removes all jobs.
    pub fn clear(&mut self, now: Nanos) {
        self.update(now);
        self.completions.clear();
        self.removed.clear();
        self.running = 0;
        self.version += 1;
    }
}
