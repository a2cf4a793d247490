//! What the decisions can ask of the server that hosts them: one method an answer.

use crate::state::Handle;

/// The hosting server, as the decisions see it.
///
/// Methods take effect in the order in which they are called. A call that names a task which is already
/// over must be harmless.
pub trait Actions {
    /// The task now being taken is known by this handle from here on.
    fn accepted(&mut self, task: Handle);
    /// Nothing more will be asked about this task; its handle may be given out again.
    fn release(&mut self, task: Handle);
    /// Start a held task.
    fn start(&mut self, task: Handle);
    /// Stop a running task; the work it has done is lost.
    fn stop(&mut self, task: Handle);
    /// Make the call that a task waits for, and give it up after so many milliseconds.
    fn start_call(&mut self, task: Handle, patience_ms: f64);
    /// Let a task that waits for a call go on without it.
    fn skip_call(&mut self, task: Handle);
    /// Answer a held task with the result of the earlier try that it repeats.
    fn join_earlier_attempt(&mut self, task: Handle);
    /// Remember the task's fingerprint for so many milliseconds from now.
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64);
    /// Drop the task's fingerprint before its time.
    fn drop_idempotency_entry(&mut self, task: Handle);
    /// Final answer: turned away, this try never ran. `last` asks the caller not to try elsewhere;
    /// `stay_away_ms` above 0 advises it to leave this server alone for that long.
    fn reject(&mut self, task: Handle, last: bool, stay_away_ms: f64);
    /// Final answer: failed, nothing is promised.
    fn fail(&mut self, task: Handle);
    /// The free value that goes out with every answer from here on.
    fn publish_capacity_hint(&mut self, value: f64);
    /// What health checks are told from here on. `stored` answers them without doing real work.
    fn set_health(&mut self, good: bool, stored: bool);
    /// Close connections that have carried nothing for so many milliseconds.
    fn set_idle_timeout(&mut self, after_ms: f64);
    /// Call `Server::beat` at this time or soon after.
    fn schedule_tick(&mut self, at_ms: f64);
}
