//! Deterministic discrete-event simulation of a fleet: servers, edge nodes, dependencies and faults in one process.
//!
//! The real decision module decides for the simulated servers. The same experiment and seed give the same output, byte
//! for byte: a run reads no wall clock, uses one thread, and never depends on the iteration order of a hash map.
//!
//! `docs/fleet.md` describes what is modelled and where the model ends.

pub mod attempt_checker;
pub mod cores;
pub mod decider;
pub mod edge;
pub mod event_queue;
pub mod experiment;
pub mod failover_surge;
pub mod membership;
pub mod random;
pub mod report;
#[allow(
    clippy::too_many_lines,
    reason = "not finished for readers yet, see docs/readability.md"
)]
pub mod world;

/// Simulated time, in nanoseconds from the start of the run.
pub type Nanos = u64;

/// Times from this many milliseconds on (about 32 years) mean "never".
const NEVER_MS: f64 = 1e12;

/// Converts milliseconds to nanoseconds. Negative times become 0; a time that is not finite or too large becomes one
/// that no run reaches, to which a delay can still be added without an overflow.
pub fn nanos(ms: f64) -> Nanos {
    if ms.is_finite() && ms < NEVER_MS {
        (ms.max(0.0) * 1e6).round() as Nanos
    } else {
        Nanos::MAX / 2
    }
}

/// Converts nanoseconds to milliseconds.
pub fn millis(time: Nanos) -> f64 {
    time as f64 / 1e6
}
