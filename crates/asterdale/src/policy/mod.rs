//! The decisions, one module per policy. All of them are methods of [`Server`](crate::Server) and of
//! [`Handle`](crate::Handle). The host calls them with the current time, and they request [`Actions`](crate::Actions).
//!
//! | module | decides |
//! | --- | --- |
//! | `server` | what happens at the start and at each tick |
//! | `admission` | whether a request is queued, joined or given up, and which queued tasks start |
//! | `queue` | the order of queued tasks |
//! | `limiter` | how many tasks run at once |
//! | `saturation` | whether the cores are full |
//! | `calls` | which calls to the dependency start, when they are retried or skipped |
//! | `dependency` | how many calls are in flight at once, and how they are paced |
//! | `idempotency` | which keys are retained, which retries join their earlier attempt |
//! | `rejection` | how a task that is given up is answered, and the Retry-After |
//! | `capacity_report` | the capacity hint and the idle timeout |
//! | `drain` | the graceful shutdown and health |

mod admission;
mod calls;
mod capacity_report;
mod dependency;
mod drain;
mod idempotency;
mod limiter;
mod queue;
mod rejection;
mod saturation;
mod server;

#[cfg(test)]
mod tests;

/// Time between two ticks: much less than an answer may be delayed.
const TICK_MS: f64 = 10.0;
/// Fraction of the memory that may be used; the rest is a reserve, as sizes are known only approximately.
const USABLE_MEMORY_FRACTION: f64 = 0.9;
