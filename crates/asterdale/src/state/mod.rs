//! The state of one server, grouped by the policy that owns it. Plain data: decisions are in `policy`.
//!
//! The groups are stored as one flat map in the order of declaration (`serde(flatten)`), under the names that earlier
//! releases wrote. A field that is moved or renamed here must keep its stored position and its stored name.

mod dependency;
mod limiter;
mod per_class_and_tenant;

pub(crate) use dependency::DependencyState;
pub(crate) use limiter::{LimiterState, LATENCY_WINDOWS, UPDATE_INTERVAL_MS};
pub(crate) use per_class_and_tenant::{recent_events, ClassState, TenantState, RECENT_MS};

use crate::events::PeerCounts;
use crate::measure::{Pcg, TimeBuckets};
use crate::parameters::{Parameters, TenantParameters};
use crate::task::{Handle, Task, TASK_STATES};

/// The notice of a graceful shutdown. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(
    feature = "snapshot",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "(f64, f64)", into = "(f64, f64)")
)]
pub(crate) struct DrainNotice {
    pub given_ms: f64,
    /// The time by which all tasks must be answered.
    pub deadline_ms: f64,
}

impl From<(f64, f64)> for DrainNotice {
    fn from((given_ms, deadline_ms): (f64, f64)) -> Self {
        DrainNotice {
            given_ms,
            deadline_ms,
        }
    }
}

impl From<DrainNotice> for (f64, f64) {
    fn from(notice: DrainNotice) -> Self {
        (notice.given_ms, notice.deadline_ms)
    }
}

/// The core time that was available to one run so far (`policy::saturation`).
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct CoreClock {
    /// Core time that a run would have received if it had been ready for a core since the start.
    #[cfg_attr(feature = "snapshot", serde(rename = "core_time"))]
    pub core_time_ms: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "last_look"))]
    pub last_tick_ms: f64,
}

/// State of the report to callers (`policy::capacity_report`).
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct CapacityReport {
    /// The number of tasks that each caller should have in flight here.
    pub credit: f64,
    /// Recent tasks by caller, as a count that decays by a tenth at each update.
    #[cfg_attr(feature = "snapshot", serde(rename = "callers"))]
    pub tasks_by_caller: Vec<f64>,
    /// The fraction of recent tasks whose caller had sent another one shortly before.
    #[cfg_attr(feature = "snapshot", serde(rename = "again"))]
    pub returning_share: f64,
    /// The CPU gauge as last read.
    pub cpu: f64,
    /// Connections that are idle for this long are closed.
    #[cfg_attr(feature = "snapshot", serde(rename = "idle"))]
    pub idle_timeout_ms: f64,
}

/// Counts of rejections (`policy::rejection`).
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct RejectionState {
    #[cfg_attr(feature = "snapshot", serde(rename = "rejected"))]
    pub recent: TimeBuckets,
    #[cfg_attr(feature = "snapshot", serde(rename = "turned_away"))]
    pub since_update: u32,
}

/// The state of one server; its decisions are methods.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Server {
    #[cfg_attr(feature = "snapshot", serde(rename = "told"))]
    pub(crate) parameters: Parameters,
    #[cfg_attr(feature = "snapshot", serde(rename = "stages"))]
    pub(crate) classes: Vec<ClassState>,
    #[cfg_attr(feature = "snapshot", serde(rename = "customers"))]
    pub(crate) tenants: Vec<TenantState>,
    /// Slots of tasks, by [`Handle::index`].
    pub(crate) tasks: Vec<Task>,
    /// Slots that are not in use.
    #[cfg_attr(feature = "snapshot", serde(rename = "free"))]
    pub(crate) free_slots: Vec<Handle>,
    /// Tasks that have not been released, oldest first.
    #[cfg_attr(feature = "snapshot", serde(rename = "live"))]
    pub(crate) active: Vec<Handle>,
    #[cfg_attr(feature = "snapshot", serde(rename = "chance"))]
    pub(crate) rng: Pcg,
    #[cfg_attr(feature = "snapshot", serde(rename = "born"))]
    pub(crate) runtime_started_ms: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "leaving"))]
    pub(crate) drain_notice: Option<DrainNotice>,
    #[cfg_attr(feature = "snapshot", serde(flatten))]
    pub(crate) limiter: LimiterState,
    /// How many tasks are in each state.
    #[cfg_attr(feature = "snapshot", serde(rename = "count"))]
    pub(crate) tasks_by_state: [usize; TASK_STATES],
    /// Memory used by all tasks and idempotency entries.
    #[cfg_attr(feature = "snapshot", serde(rename = "memory"))]
    pub(crate) memory_kb: f64,
    /// The number of retained idempotency keys, by the time at which they expire.
    #[cfg_attr(feature = "snapshot", serde(rename = "entries"))]
    pub(crate) idempotency_entries: TimeBuckets,
    #[cfg_attr(feature = "snapshot", serde(flatten))]
    pub(crate) dependency: DependencyState,
    /// The time to which all state that depends on time has been advanced.
    #[cfg_attr(feature = "snapshot", serde(rename = "last_beat"))]
    pub(crate) last_event_ms: f64,
    #[cfg_attr(feature = "snapshot", serde(flatten))]
    pub(crate) core_clock: CoreClock,
    #[cfg_attr(feature = "snapshot", serde(flatten))]
    pub(crate) report: CapacityReport,
    #[cfg_attr(feature = "snapshot", serde(flatten))]
    pub(crate) rejections: RejectionState,
    /// Counts from a view of the fleet, where there is one. They are not part of a snapshot, as the view is that of the
    /// process that writes it.
    #[cfg_attr(feature = "snapshot", serde(skip))]
    pub(crate) peers: Option<PeerCounts>,
}

impl Server {
    /// A server without tasks, before its first decision. If there are no tenants, all tasks belong to one without a
    /// quota.
    pub(crate) fn new(parameters: Parameters, now_ms: f64) -> Server {
        let classes = parameters.classes.iter().map(ClassState::new).collect();
        let mut tenants: Vec<TenantState> = parameters
            .tenants
            .iter()
            .map(|tenant| TenantState::new(tenant, now_ms))
            .collect();
        if tenants.is_empty() {
            let unlimited = TenantParameters {
                quota_per_s: f64::INFINITY,
            };
            tenants.push(TenantState::new(&unlimited, now_ms));
        }
        let retry_windows = parameters.classes.iter().map(|class| class.retry_window_ms);
        let longest_retry_window_ms = retry_windows.fold(0.0, f64::max);
        Server {
            classes,
            tenants,
            tasks: Vec::new(),
            free_slots: Vec::new(),
            active: Vec::new(),
            rng: Pcg::new(parameters.seed),
            runtime_started_ms: now_ms,
            drain_notice: None,
            limiter: LimiterState::new(parameters.cores, now_ms),
            tasks_by_state: [0; TASK_STATES],
            memory_kb: 0.0,
            // A tenth longer than the longest retry window, as an entry expires only at the end of its bucket.
            idempotency_entries: TimeBuckets::new(1.1 * longest_retry_window_ms, 64, now_ms),
            dependency: DependencyState::new(&parameters, now_ms),
            last_event_ms: now_ms,
            core_clock: CoreClock {
                core_time_ms: 0.0,
                last_tick_ms: now_ms,
            },
            report: CapacityReport {
                credit: 0.0,
                tasks_by_caller: Vec::new(),
                returning_share: 1.0,
                cpu: 1.0,
                idle_timeout_ms: parameters.idle_timeout_ms,
            },
            rejections: RejectionState {
                recent: recent_events(now_ms),
                since_update: 0,
            },
            peers: None,
            parameters,
        }
    }

    /// How many request classes there are.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }
}
