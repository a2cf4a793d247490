//! The experiment file: JSON, with a schema that is generated from these types. The suffix of a name gives its unit: `_ms`
//! for milliseconds, `_s` for seconds.
//!
//! The doc comments of the types and fields are the descriptions in the schema. The serialized names are the file format and
//! differ from the fields' names.

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
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Warm-up at the start, in seconds. Requests that arrive within it are not counted.
    #[serde(rename = "warm_s", default)]
    pub warm_up_s: f64,
    /// The servers.
    pub servers: Servers,
    /// The edge nodes.
    pub edges: Edges,
    /// The request classes.
    #[serde(rename = "stages")]
    pub classes: Vec<RequestClass>,
    /// Requests per second over the whole fleet, interpolated linearly between these points. The last value holds until
    /// the end.
    pub load: Vec<LoadPoint>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A point of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Point", deny_unknown_fields)]
pub struct LoadPoint {
    /// Time from the start of the run, in seconds.
    pub at_s: f64,
    /// Requests per second.
    pub per_s: f64,
}

/// The servers, which are all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Cores per server.
    pub cores: f64,
    /// Running requests per core above which the total throughput of the cores falls.
    #[serde(rename = "crowd", default = "unlimited")]
    pub max_concurrency: f64,
    /// Running requests per core above which the server crashes if that lasts for a second.
    #[serde(rename = "deadly", default = "unlimited")]
    pub crash_concurrency: f64,
    /// Work of reading a request, in milliseconds of one core.
    #[serde(rename = "read_ms", default)]
    pub read_work_ms: f64,
    /// Policy that decides which requests a server runs.
    pub policy: Policy,
}

fn unlimited() -> f64 {
    1e9
}

/// Policy that decides which requests a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The decision module.
    Asterdale,
    /// Runs every request at once and rejects none.
    Everything,
    /// Runs as many requests as there are cores, queues this many more, and rejects the rest.
    Pool(usize),
    /// Runs at most this many requests and rejects the rest: there is no queue.
    Fixed(usize),
    /// A concurrency limit that grows by one per window, or is multiplied by 0.9 if a run took more than twice the shortest
    /// one.
    Aimd,
    /// A pool with an unbounded queue, which rejects queued requests once the queueing delay has been 5 ms or more for
    /// 100 ms.
    Codel,
}

/// The edge nodes, which are all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Edges {
    /// Number of edge nodes.
    pub count: usize,
    /// How an edge node picks a server.
    pub pick: Pick,
    /// When an attempt that was rejected or failed is retried.
    #[serde(default)]
    pub retry: Retry,
    /// Timeout of one attempt, in milliseconds; 0 for the client's timeout alone.
    #[serde(rename = "try_ms", default)]
    pub attempt_timeout_ms: f64,
    /// Mean one-way delay between an edge node and a server, in milliseconds. Each delay is uniform from 0.5 to 1.5 times
    /// the mean.
    #[serde(rename = "way_ms", default)]
    pub network_delay_ms: f64,
    /// Time until the edge nodes detect that a server crashed or restarted, in milliseconds.
    #[serde(rename = "late_ms", default)]
    pub detection_delay_ms: f64,
    /// Whether edge nodes avoid a server for the time that its Retry-After gives.
    #[serde(rename = "heeds", default)]
    pub honors_retry_after: bool,
}

/// How an edge node picks a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// Each server in turn.
    RoundRobin,
    /// A random server.
    Random,
    /// Of two random servers, the one with fewer open attempts of this edge node.
    TwoChoices,
    /// The server with the fewest open attempts of this edge node.
    LeastLoaded,
    /// By the subject, on a consistent hash ring; the next server if that one has more open attempts than this many times
    /// the mean.
    RingHash(f64),
    /// By the subject, the server with the highest hash; the next one if that one has more open attempts than this many
    /// times the mean.
    Rendezvous(f64),
}

/// When an attempt that was rejected or failed is retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// Never.
    #[default]
    None,
    /// Up to this many retries, without a delay, at another server.
    Fixed(u32),
    /// Up to this many retries, without a delay, as long as the retries are fewer than this share of the first attempts.
    Budget(u32, f64),
    /// Up to this many retries, each after a delay that is uniform from 0 to this many milliseconds; the maximum doubles with
    /// each retry.
    Jitter(u32, f64),
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Stage", deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Relative frequency of the class among all requests.
    pub share: f64,
    /// Mean work of a request, in milliseconds of one core.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work (log-normal distribution); if absent, the work is exponentially
    /// distributed.
    #[serde(default)]
    pub sigma: Option<f64>,
    /// Latency objective, in milliseconds: an answer within it earns the full weight.
    #[serde(rename = "due_ms")]
    pub objective_ms: f64,
    /// Timeout of the client, in milliseconds.
    #[serde(rename = "limit_ms")]
    pub client_timeout_ms: f64,
    /// Priority weight of a request.
    #[serde(rename = "utility", default = "default_weight")]
    pub weight: f64,
    /// Share of the weight that an answer after the latency objective earns, from 0 to 1.
    #[serde(rename = "late_share", default)]
    pub late_weight_share: f64,
    /// Whether requests carry an idempotency key. A server must run a request with the same key only once.
    #[serde(rename = "fingerprinted", default)]
    pub is_keyed: bool,
    /// Number of subjects that the requests are about; 0 for a new subject with each request.
    #[serde(default)]
    pub subjects: usize,
    /// Share of the requests that are about subject 0, from 0 to 1.
    #[serde(rename = "hot", default)]
    pub hot_share: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Index of the first affected server.
    #[serde(rename = "first", default)]
    pub first_server: usize,
    /// Number of affected servers, with consecutive indices.
    pub servers: usize,
    /// Kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Trouble", rename_all = "snake_case")]
pub enum FaultKind {
    /// The server crashes at the start and restarts without its state at the end.
    Crash,
    /// The cores run at this share of their nominal speed.
    Slow(f64),
    /// The process is paused: nothing runs and no attempt is received. At the end all of it continues.
    Pause,
}

impl Experiment {
    /// Requests per second at this time.
    pub fn rate(&self, at_s: f64) -> f64 {
        let next_index = self.load.partition_point(|point| point.at_s <= at_s);
        let Some(before) = next_index.checked_sub(1).map(|index| &self.load[index]) else {
            return self.load[0].per_s;
        };
        let Some(next) = self.load.get(next_index) else {
            return before.per_s;
        };
        let fraction = (at_s - before.at_s) / (next.at_s - before.at_s);
        before.per_s + fraction * (next.per_s - before.per_s)
    }
}
