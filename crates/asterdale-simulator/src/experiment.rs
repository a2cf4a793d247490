//! The experiment file: JSON, with a schema made from these types. Times are in milliseconds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use self::validation::{read, InvalidExperiment};

#[cfg(test)]
mod tests;
mod validation;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Everything that is drawn comes from it.
    #[serde(default)]
    pub seed: u64,
    /// How long tasks come, in seconds.
    pub seconds: f64,
    /// Of that, so much at the start is not counted.
    #[serde(default)]
    pub warm_s: f64,
    /// The servers.
    pub servers: Servers,
    /// The edge nodes.
    pub edges: Edges,
    /// The kinds of tasks.
    pub stages: Vec<Stage>,
    /// Tasks a second over the whole fleet: points that are joined by lines. The last holds to the end.
    pub load: Vec<Point>,
    /// Troubles.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A point of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// When, in seconds.
    pub at_s: f64,
    /// Tasks a second.
    pub per_s: f64,
}

/// The servers, all alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many.
    pub count: usize,
    /// Cores of each.
    pub cores: f64,
    /// Runs for each core up to which nothing is lost; beyond it the cores do ever less.
    #[serde(default = "far")]
    pub crowd: f64,
    /// Runs for each core that kill the server, if they stay for a second.
    #[serde(default = "far")]
    pub deadly: f64,
    /// Work that reading a task costs, in milliseconds of one core.
    #[serde(default)]
    pub read_ms: f64,
    /// Who decides.
    pub policy: Policy,
}

fn far() -> f64 {
    1e9
}

/// Who decides what a server takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The decision module.
    Asterdale,
    /// Runs everything at once, and never turns anything away.
    Everything,
    /// Runs as many as there are cores; holds this many more; turns away the rest.
    Pool(usize),
    /// Runs no more than this; holds nothing.
    Fixed(usize),
    /// A limit that grows by one a window and is cut to 0.9 when a run takes over twice the least.
    Aimd,
    /// As the pool with no end, and turns away what has waited 5 ms or more for 100 ms on end.
    Codel,
}

/// The edge nodes, all alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Edges {
    /// How many.
    pub count: usize,
    /// How a server is picked.
    pub pick: Pick,
    /// What is done when a try was turned away or broke.
    #[serde(default)]
    pub retry: Retry,
    /// How long one try is waited for; 0 for as long as the client waits.
    #[serde(default)]
    pub try_ms: f64,
    /// One way between an edge node and a server: from a half of this to three halves.
    #[serde(default)]
    pub way_ms: f64,
    /// A server that ended or came back is seen so much later.
    #[serde(default)]
    pub late_ms: f64,
    /// Advice to stay away is heeded.
    #[serde(default)]
    pub heeds: bool,
}

/// How an edge node picks a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// The one with fewer of this edge node's tasks, of two.
    TwoChoices,
    /// The one with fewest of this edge node's tasks.
    LeastLoaded,
    /// By the subject, on a ring of points; the next one if that has over this many times the mean.
    RingHash(f64),
    /// By the subject, the highest of all hashes; the next one if that has over this many times the mean.
    Rendezvous(f64),
}

/// What is done when a try was turned away or broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// Nothing.
    #[default]
    None,
    /// Up to so many further tries, at once, elsewhere.
    Fixed(u32),
    /// The same, as long as further tries are no more than this share of the first ones.
    Budget(u32, f64),
    /// Up to so many, each after a wait drawn from 0 to this many milliseconds, doubled each time.
    Jitter(u32, f64),
}

/// A kind of task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its name.
    pub name: String,
    /// How many of all tasks are of this kind, beside the other kinds' figures.
    pub share: f64,
    /// Work of one, in milliseconds of one core: the mean.
    pub work_ms: f64,
    /// The spread of the logarithm of the work; absent: without a memory (exponential).
    #[serde(default)]
    pub sigma: Option<f64>,
    /// Full utility is earned by an answer within this time.
    pub due_ms: f64,
    /// The client waits so long.
    pub limit_ms: f64,
    /// What one is worth.
    #[serde(default = "one")]
    pub utility: f64,
    /// The part of it that a late answer earns.
    #[serde(default)]
    pub late_share: f64,
    /// Carries a key by which a repeat is known, and must run once on a server.
    #[serde(default)]
    pub fingerprinted: bool,
    /// Subjects that tasks are about; 0 for ever new ones.
    #[serde(default)]
    pub subjects: usize,
    /// The part of tasks that are about subject 0.
    #[serde(default)]
    pub hot: f64,
}

fn one() -> f64 {
    1.0
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// The first server that it meets.
    #[serde(default)]
    pub first: usize,
    /// And how many from there on.
    pub servers: usize,
    /// What it is.
    pub what: Trouble,
}

/// What a trouble is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// Killed at the beginning; back, knowing nothing, at the end.
    Crash,
    /// The cores do this part of what they should.
    Slow(f64),
    /// Nothing is done at all, and nothing heard; then all goes on.
    Pause,
}

impl Experiment {
    /// Tasks a second at this time.
    pub fn rate(&self, at_s: f64) -> f64 {
        let after = self.load.partition_point(|point| point.at_s <= at_s);
        let Some(before) = after.checked_sub(1).map(|n| &self.load[n]) else {
            return self.load[0].per_s;
        };
        let Some(next) = self.load.get(after) else {
            return before.per_s;
        };
        let part = (at_s - before.at_s) / (next.at_s - before.at_s);
        before.per_s + part * (next.per_s - before.per_s)
    }
}
