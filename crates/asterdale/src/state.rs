//! What a server keeps: its tasks, the rows of its stages and customers, its counts. Plain state, no
//! decisions.

use crate::events::{Arrival, PeerCounts};
use crate::measure::{Pcg, Ring, Spread};
use crate::parameters::{ClassParameters, Parameters, TenantParameters};

/// A task that was taken, from `Server::take` until `Machine::release`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Handle(pub(crate) u32);

impl Handle {
    /// A small number, unique among the tasks that are not over.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) enum State {
    Free,
    /// Read, not started.
    Held,
    /// Waits for the earlier try that it repeats.
    Joined,
    /// Wants a core.
    Running,
    /// Waits for its call to be placed.
    Parked,
    /// Its call is out.
    Calling,
}

#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Task {
    pub state: State,
    pub asked: Arrival,
    pub arrived: f64,
    /// By then it must have its final answer.
    pub due: f64,
    /// By then its answer earns full utility.
    pub aim: f64,
    /// The final answer is out, or nobody waits for one.
    pub answered: bool,
    /// It was started, or an earlier try of it may have been: it can't be said that it never ran.
    pub ran: bool,
    /// Never more than the floor ran beside it.
    pub calm: bool,
    pub started: f64,
    /// Call waits so far, which are not run time.
    pub waited: f64,
    /// Core time it has had, as `Server::core_time` counts it, up to its last call.
    pub had: f64,
    /// `Server::core_time` when it last began to want a core.
    pub mark: f64,
    /// When it was parked for its present call.
    pub since: f64,
    /// When its call will surely be gone from below.
    pub until: f64,
    /// A call that failed is not tried again before this.
    pub not_before: f64,
    /// Calls that failed for the present need.
    pub tries: u32,
    /// Ring bucket in which its fingerprint lapses.
    pub entry: Option<u64>,
}

impl Task {
    /// A task just read, not yet counted anywhere.
    pub fn read(asked: Arrival, now: f64) -> Self {
        Task {
            state: State::Free,
            asked,
            arrived: now - asked.unread_ms,
            due: now,
            aim: now,
            answered: false,
            ran: false,
            calm: false,
            started: now,
            waited: 0.0,
            had: 0.0,
            mark: 0.0,
            since: now,
            until: now,
            not_before: now,
            tries: 0,
            entry: None,
        }
    }

    /// Run time so far, less call waits.
    pub fn net(&self, now: f64) -> f64 {
        now - self.started - self.waited
    }
}

/// What differs by stage.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Stage {
    pub facts: ClassParameters,
    /// Net run times (per unit of hinted work) of calm or pinned runs.
    pub calm: Spread,
    /// Their p95; 0 before there is one.
    pub base: f64,
}

#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Customer {
    pub facts: TenantParameters,
    /// Its tasks read of late.
    pub read: Ring,
    /// Its tasks in the hold.
    pub held: usize,
}

/// The decisions of one server.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Server {
    pub(crate) told: Parameters,
    pub(crate) stages: Vec<Stage>,
    pub(crate) customers: Vec<Customer>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) free: Vec<u32>,
    /// All tasks that are not free, oldest first.
    pub(crate) live: Vec<u32>,
    pub(crate) chance: Pcg,
    pub(crate) born: f64,
    /// The notice, and when all must be answered.
    pub(crate) leaving: Option<(f64, f64)>,
    pub(crate) limit: f64,
    pub(crate) next_update: f64,
    pub(crate) pinned: bool,
    pub(crate) pinned_at: f64,
    pub(crate) next_pin: f64,
    pub(crate) cores_full: bool,
    /// Run time over base, a spread for each of the last windows.
    pub(crate) windows: Vec<Spread>,
    pub(crate) window: usize,
    /// The most that ran at once, in this window and the one before.
    pub(crate) busiest: [f64; 2],
    /// The median of recent ratios; 0 while nothing is known.
    pub(crate) pace: f64,
    /// How long tasks lay unread of late, and at best.
    pub(crate) unread: f64,
    pub(crate) unread_best: f64,
    /// How long runs take of late.
    pub(crate) run_ms: f64,
    /// Tasks by state.
    pub(crate) count: [usize; 6],
    pub(crate) memory: f64,
    /// Remembered fingerprints, by when they lapse.
    pub(crate) entries: Ring,
    pub(crate) call_window: f64,
    /// Time that calls may still spend at a shared dependency; below zero it is owed, and no call goes out.
    pub(crate) call_credit: f64,
    /// The part of calls that failed of late.
    pub(crate) call_fails: f64,
    pub(crate) cut_at: f64,
    /// Of late.
    pub(crate) call_ms: f64,
    /// Over a longer time.
    pub(crate) call_times: Spread,
    /// Calls given up that may still be below, by when they are surely gone.
    pub(crate) lingering: Vec<f64>,
    /// Calls in hand, times how long.
    pub(crate) call_time: Ring,
    pub(crate) last_beat: f64,
    /// What a run could have had of a core since the start.
    pub(crate) core_time: f64,
    pub(crate) last_look: f64,
    pub(crate) credit: f64,
    /// Tasks from each, older ones fading by a tenth an update.
    pub(crate) callers: Vec<f64>,
    /// The part of late tasks whose caller had been heard from not long before.
    pub(crate) again: f64,
    /// The cpu gauge as last read.
    pub(crate) cpu: f64,
    /// Connections that carry nothing for this long are closed.
    pub(crate) idle: f64,
    /// Of late.
    pub(crate) rejected: Ring,
    /// Since the last update.
    pub(crate) turned_away: u32,
    /// Other servers that are there, and those of them that take work and are warm, where a view of the fleet
    /// tells. It is another process's word, and not passed on.
    #[cfg_attr(feature = "snapshot", serde(skip))]
    pub(crate) others: Option<PeerCounts>,
}

impl Server {
    /// How many stages there are.
    pub fn class_count(&self) -> usize {
        self.stages.len()
    }

    /// A server with nothing in it and nothing decided. One without customers gets a row for all its tasks.
    pub(crate) fn blank(told: Parameters, now: f64) -> Server {
        let row = |facts: &ClassParameters| Stage {
            facts: facts.clone(),
            calm: Spread::default(),
            base: 0.0,
        };
        let share = |facts: &TenantParameters| Customer {
            facts: facts.clone(),
            read: Ring::default(),
            held: 0,
        };
        let mut customers: Vec<Customer> = told.tenants.iter().map(share).collect();
        if customers.is_empty() {
            customers.push(share(&TenantParameters {
                quota_per_s: f64::INFINITY,
            }));
        }
        Server {
            stages: told.classes.iter().map(row).collect(),
            customers,
            tasks: Vec::new(),
            free: Vec::new(),
            live: Vec::new(),
            chance: Pcg::new(told.seed),
            born: now,
            leaving: None,
            limit: 0.0,
            next_update: now,
            pinned: false,
            pinned_at: now,
            next_pin: now,
            cores_full: false,
            windows: Vec::new(),
            window: 0,
            busiest: [0.0; 2],
            pace: 0.0,
            unread: 0.0,
            unread_best: f64::INFINITY,
            run_ms: 0.0,
            count: [0; 6],
            memory: 0.0,
            entries: Ring::default(),
            call_window: 0.0,
            call_credit: 0.0,
            call_fails: 0.0,
            cut_at: now,
            call_ms: 0.0,
            call_times: Spread::default(),
            lingering: Vec::new(),
            call_time: Ring::default(),
            last_beat: now,
            core_time: 0.0,
            last_look: now,
            credit: 0.0,
            callers: Vec::new(),
            again: 1.0,
            cpu: 1.0,
            idle: told.idle_timeout_ms,
            rejected: Ring::default(),
            turned_away: 0,
            others: None,
            told,
        }
    }
}
