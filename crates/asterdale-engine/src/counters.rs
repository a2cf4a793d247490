//! Counters of requests, calls, connections and resources. Any thread may add to them; they are read when they are
//! printed.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// One counter.
#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }
    /// Subtracts one, for a gauge of what is present.
    pub fn sub(&self) {
        self.0.fetch_sub(1, Relaxed);
    }
    /// Adds `amount` to a gauge.
    pub fn add_amount(&self, amount: usize) {
        self.0.fetch_add(amount as u64, Relaxed);
    }
    /// Subtracts `amount` from a gauge.
    pub fn sub_amount(&self, amount: usize) {
        self.0.fetch_sub(amount as u64, Relaxed);
    }
    /// The value now.
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
    /// Sets a gauge.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Relaxed);
    }
}

/// Adds an amount to a gauge as long as it lives.
pub struct GaugePart {
    counters: Arc<Counters>,
    gauge: fn(&Counters) -> &Count,
    amount: usize,
}

impl GaugePart {
    /// Adds `amount` to this gauge.
    pub fn new(
        counters: &Arc<Counters>,
        gauge: fn(&Counters) -> &Count,
        amount: usize,
    ) -> GaugePart {
        gauge(counters).add_amount(amount);
        GaugePart {
            counters: counters.clone(),
            gauge,
            amount,
        }
    }
}

impl Drop for GaugePart {
    fn drop(&mut self) {
        (self.gauge)(&self.counters).sub_amount(self.amount);
    }
}

/// The resident memory of this process as Linux reports it, in KiB; 0 if it is not reported.
pub fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

macro_rules! counters {
    ($($(#[$text:meta])* $name:ident,)*) => {
        /// All counters, by name.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$text])* pub $name: Count,)*
        }
        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get()),)*];
                let texts: Vec<String> = all.iter().map(|(name, n)| format!("{name}={n}")).collect();
                f.write_str(&texts.join(" "))
            }
        }
    };
}

counters! {
    /// Requests that were accepted as complete and valid, and passed to the policies.
    tasks_taken,
    /// Requests that were served with the result of their own run.
    tasks_served,
    /// Requests that were served with the result of another attempt.
    tasks_joined,
    /// Requests that were answered `Unknown`: an attempt under their key may have run.
    tasks_unknown,
    /// Requests that were rejected before the policies saw them, as no ownership replica had capacity or they may have
    /// run. They are not among `tasks_taken`.
    tasks_ownership_rejected,
    /// Requests that were taken over from a backend that has ended.
    tasks_taken_over,
    /// Requests that the policies rejected.
    tasks_rejected,
    /// Requests that failed: the policies gave them up, or their run failed.
    tasks_failed,
    /// Requests whose edge node gave up or whose connection closed before their reply.
    tasks_aborted,
    /// Requests that are unanswered now.
    tasks_open,
    /// Requests that were answered 400: a parameter is missing or invalid.
    tasks_malformed,
    /// Requests that were answered 401: the caller is not authenticated, or revoked.
    callers_unknown,
    /// Requests that were answered 403: the caller is authenticated and not authorized.
    callers_forbidden,
    /// Requests that were answered 429: the caller's role is over its concurrency or rate quota.
    callers_over,
    /// Requests that were answered 503: there are no keys, outdated keys, or too many new tokens through one edge node.
    callers_unable,
    /// Queued requests that were answered 401 as their caller was revoked meanwhile.
    tasks_revoked,
    /// Key sets that were adopted.
    keys_adopted,
    /// Key sets that were rejected, so that the last good one stayed in use.
    keys_refused,
    /// Fetches of a key set that failed.
    issuer_failed,
    /// Signatures that were checked.
    signatures,
    /// Verified tokens that are cached now.
    tokens_cached,
    /// Requests that were rejected by a bound: more open requests than a connection may carry, or more idempotency keys
    /// than are retained.
    requests_overloaded,
    /// Those of `requests_overloaded` for which there was no place in the idempotency table.
    idempotency_table_full,
    /// Requests that were looked up in the idempotency table because there was no capacity for a new one.
    requests_looked_up,
    /// Those of `requests_looked_up` that repeated an earlier request, and for which there was no memory either.
    repeats_over_memory,
    /// Requests that were rejected because there was no memory for them; they are not among `tasks_taken`.
    requests_over_memory,
    /// Incomplete requests and records that were dropped because all of them took too much memory; the requests among
    /// them are also in `requests_over_memory`.
    partial_requests_over_memory,
    /// Requests that were discarded because a request with the same number was open.
    requests_duplicate,
    /// Runs that were started at the runtime.
    runs_started,
    /// Runs that ended with a result.
    runs_passed,
    /// Runs that ended with FAIL.
    runs_failed,
    /// Runs that ended with KILLED or NOOP, or whose start was rejected.
    runs_killed,
    /// Calls to the records service that were sent.
    calls_sent,
    /// Calls that succeeded.
    calls_passed,
    /// Calls that ended in any other way.
    calls_failed,
    /// Calls that could not be made for lack of a descriptor or port, and never ran.
    calls_unmade,
    /// Calls that were skipped.
    calls_skipped,
    /// Health checks.
    checks,
    /// Reports to the registry that were accepted.
    reports,
    /// Reports to the registry that failed.
    reports_failed,
    /// Connections that were accepted.
    connections_accepted,
    /// Connections that are open now.
    connections_open,
    /// Connections that were closed as idle.
    connections_idle,
    /// Connections that were closed as the certificate they were opened with expired.
    connections_lapsed,
    /// Connections that were closed as they sent no complete valid request.
    connections_silent,
    /// Connections without open requests that were closed to make room for others.
    connections_given_up,
    /// Connections that were closed as they sent bytes that are not FastCGI.
    connections_malformed,
    /// Connections that were closed as a part of a request arrived and its rest did not.
    connections_stalled,
    /// Connections that were closed after too many consecutive error replies.
    connections_repeated_errors,
    /// Connections that a peer reset.
    connections_broken,
    /// Connections whose peer read no replies.
    connections_send_stalled,
    /// Connections whose peer sent nothing more and closed them.
    connections_finished,
    /// Connections that were closed as a request on them did not ask for them to be kept.
    connections_not_kept,
    /// Connections that were closed as this process drained.
    connections_drained,
    /// Connections that were closed at once as they could not be set up.
    connections_setup_failed,
    /// Times that accepting paused for lack of descriptors.
    accept_pauses,
    /// Times that the system refused a descriptor for a connection, which then waited.
    accepts_refused,
    /// Connections whose send buffer was full, so that replies waited.
    connections_slow,
    /// Times that the system refused a thread.
    threads_refused,
    /// Links to the runtime that were made.
    links,
    /// Times that the start file was reloaded.
    reloads,
    /// Times that a reload failed, and the old settings stayed.
    reloads_failed,
    /// Malformed lines from the runtime.
    runtime_lines_malformed,
    /// Idempotency keys that are retained now.
    idempotency_keys,
    /// The size of the results that are retained now, in bytes.
    result_bytes,
    /// Bytes of incomplete requests and of large records that are being read.
    memory_partial_requests,
    /// Bytes that open requests have reserved, from their last byte until their task is released and their reply is
    /// written. The five gauges that follow are parts of it.
    memory_open_requests,
    /// Bytes of complete requests that wait in the engine's mailbox.
    memory_queued_requests,
    /// Bytes of the open tasks, without their commands to the runtime.
    memory_tasks,
    /// Bytes of the commands to the runtime that may have to be sent again.
    memory_retained_commands,
    /// Bytes of the commands that wait to be written to the runtime.
    memory_queued_commands,
    /// Bytes of the replies that wait for the writer.
    memory_queued_replies,
    /// Bytes of the replies that sockets have not accepted.
    memory_unsent_replies,
    /// Bytes of the idempotency entries, without their results.
    memory_idempotency_entries,
    /// The resident memory of this process now, in KiB; 0 if the system does not report it.
    memory_kib,
}
