//! The decisions, a module a policy. All of them are methods of [`Server`](crate::Server) and of
//! [`Handle`](crate::Handle), called by the host with the present time, and answered through
//! [`Actions`](crate::Actions).
//!
//! | module | decides |
//! | --- | --- |
//! | `server` | what happens at the start and at each tick |
//! | `admission` | what becomes of a request that was read, and which queued tasks start |
//! | `queue` | the order of queued tasks |
//! | `limiter` | how many tasks run at once |
//! | `saturation` | whether the cores are full |
//! | `calls` | which calls to the dependency go out, when they are retried or skipped |
//! | `dependency` | how many calls are in flight at once |
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

/// Time between two ticks: well within the slack that an answer may have.
const TICK_MS: f64 = 10.0;
/// Part of the memory that is used; the rest is for sizes that are known only roughly.
const MEMORY_PART: f64 = 0.9;
