//! Counts of what the program takes in, sends and answers. Any thread adds; they are read when printed.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One count.
#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }
    /// One less: for what is present.
    pub fn sub(&self) {
        self.0.fetch_sub(1, Relaxed);
    }
    /// The count now.
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
    /// A size that is known anew.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Relaxed);
    }
}

/// The memory of this process, as Linux tells it.
pub fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

macro_rules! counters {
    ($($(#[$text:meta])* $name:ident,)*) => {
        /// All counts, by name.
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
    /// Tasks that came whole and sensible, and went to the module.
    tasks_taken,
    /// Finished with the result of their own run.
    tasks_served,
    /// Finished with the result of another try.
    tasks_joined,
    /// Answered that the outcome is not known.
    tasks_unknown,
    /// Turned away before the module: no keeper had a place for them, or they may have run. Not among the taken.
    tasks_ownership_rejected,
    /// Taken over from a backend that is gone.
    tasks_taken_over,
    /// Rejected by the module.
    tasks_rejected,
    /// Abandoned: by the module, or as their run failed.
    tasks_failed,
    /// Given up by the edge node or with their connection, before an answer.
    tasks_aborted,
    /// Without an answer now.
    tasks_open,
    /// Answered with 400: a field was missing or senseless.
    tasks_malformed,
    /// Turned away with 401: who is calling is not known, or revoked.
    callers_unknown,
    /// Turned away with 403: known, and not allowed.
    callers_forbidden,
    /// Turned away with 429: over what the caller's role may have at once or in a second.
    callers_over,
    /// Turned away with 503: there are no keys, too old ones, or too many new tokens through one edge node.
    callers_unable,
    /// Held tasks answered with 401 as their caller was revoked meanwhile.
    tasks_revoked,
    /// Sets of keys that were adopted.
    keys_adopted,
    /// Sets of keys that were refused, and the last good one stayed.
    keys_refused,
    /// Times that the issuer gave no set.
    issuer_failed,
    /// Signatures checked.
    signatures,
    /// Proven tokens remembered now.
    tokens_cached,
    /// Answered with OVERLOADED: more open requests than a connection may carry, or fingerprints than are kept.
    requests_overloaded,
    /// Passed over: opened under the number of one that is open.
    requests_duplicate,
    /// Runs started at the runtime.
    runs_started,
    /// Runs that ended well, badly, or were killed or void.
    runs_passed,
    /// Ended with FAIL.
    runs_failed,
    /// Ended with KILLED or NOOP, or turned down with a nack.
    runs_killed,
    /// Calls sent to the records service.
    calls_sent,
    /// Those that went well.
    calls_passed,
    /// Those that ended otherwise.
    calls_failed,
    /// Those that this process had no descriptor or port for: they never ran.
    calls_unmade,
    /// Calls left out.
    calls_skipped,
    /// Health checks answered.
    checks,
    /// Reports to the registry that counted.
    reports,
    /// Reports that did not.
    reports_failed,
    /// Connections accepted.
    connections_accepted,
    /// Connections open now.
    connections_open,
    /// Closed as they carried nothing.
    connections_idle,
    /// Ended as the certificate that they were opened with did.
    connections_lapsed,
    /// Ended as they brought no whole request that made sense.
    connections_silent,
    /// Given up, with nothing open on them, for others.
    connections_given_up,
    /// Ended by bytes that can't be read.
    connections_malformed,
    /// Ended as requests that had begun took too much memory.
    connections_over_memory,
    /// Ended by a peer that reset them or stopped reading.
    connections_broken,
    /// Times that accepting paused for want of descriptors.
    accept_pauses,
    /// Times that the system refused a descriptor for a connection, which then waited.
    accepts_refused,
    /// Connections whose way back was full, so that answers waited.
    connections_slow,
    /// Times that the system refused a thread.
    threads_refused,
    /// Links made to the runtime.
    links,
    /// Times that the start file was read again.
    reloads,
    /// Times that it could not be, and the old one stayed.
    reloads_failed,
    /// Lines from the runtime that can't be read.
    runtime_lines_malformed,
    /// Fingerprints and results kept now.
    idempotency_keys,
    /// Bytes of the results kept now.
    result_bytes,
    /// Memory of this process now, in KiB; 0 where the system does not tell.
    memory_kib,
}
