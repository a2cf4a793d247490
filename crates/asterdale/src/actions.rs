//! The actions that a server requests from its host.

use crate::task::Handle;

/// The host of a server, with one method per action.
///
/// Actions take effect in the order of the calls. An action on a task that has ended in the meantime must do nothing.
pub trait Actions {
    /// The request that is being received gets this handle.
    fn accepted(&mut self, task: Handle);
    /// The task has ended: no further action refers to it, and its handle may be reused.
    fn release(&mut self, task: Handle);
    /// Start a queued task.
    fn start(&mut self, task: Handle);
    /// Abort a running task; its work is lost.
    fn stop(&mut self, task: Handle);
    /// Start the call to the dependency that a task waits for, and give it up after `timeout_ms`.
    fn start_call(&mut self, task: Handle, timeout_ms: f64);
    /// Let a task that waits for a call continue without it.
    fn skip_call(&mut self, task: Handle);
    /// Answer a task that has not started with the result of the earlier attempt that it repeats.
    fn join_earlier_attempt(&mut self, task: Handle);
    /// Retain the task's idempotency key for `for_ms` from now.
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64);
    /// Drop the task's idempotency key before it expires.
    fn drop_idempotency_entry(&mut self, task: Handle);
    /// Final answer: rejected, this attempt never ran. `last_attempt` asks the caller not to retry on another
    /// server; a `retry_after_ms` above 0 asks it to send nothing to this server for that long.
    fn reject(&mut self, task: Handle, last_attempt: bool, retry_after_ms: f64);
    /// Final answer: failed; the request may have run.
    fn fail(&mut self, task: Handle);
    /// Send this capacity hint with every answer from now on.
    fn publish_capacity_hint(&mut self, value: f64);
    /// Answer health checks with this state from now on. With `recorded` they are answered without real work.
    fn set_health(&mut self, healthy: bool, recorded: bool);
    /// Close connections that are idle for `after_ms`.
    fn set_idle_timeout(&mut self, after_ms: f64);
    /// Call `Server::tick` at this time or soon after.
    fn schedule_tick(&mut self, at_ms: f64);
}
