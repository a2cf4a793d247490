//! The start file as it is written: types from which its schema is made. No field is insisted on here, so that
//! all faults come to light at once; what must be there is said by [`super::read`].

use std::net::SocketAddr;

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer};

/// An address with a port, as `127.0.0.1:8080`. There are no name look-ups.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Address(#[cfg_attr(feature = "tools", schemars(with = "String"))] pub SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Address, D::Error> {
        let text = String::deserialize(from)?;
        let read = text.parse().map(Address);
        read.map_err(|_| serde::de::Error::custom(format!("{text:?} is no address with a port")))
    }
}

/// A number of up to 16 hexadecimal digits, as text.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Hexadecimal(
    #[cfg_attr(
        feature = "tools",
        schemars(with = "String", regex(pattern = "^[0-9a-fA-F]{1,16}$"))
    )]
    pub u64,
);

impl<'de> Deserialize<'de> for Hexadecimal {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Hexadecimal, D::Error> {
        let text = String::deserialize(from)?;
        let read = u64::from_str_radix(&text, 16).map(Hexadecimal);
        read.map_err(|_| serde::de::Error::custom(format!("{text:?} is not hexadecimal")))
    }
}

/// A number above 0.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Positive(
    #[cfg_attr(feature = "tools", schemars(extend("exclusiveMinimum" = 0)))] pub f64,
);

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Positive, D::Error> {
        let number = f64::deserialize(from)?;
        if number.is_finite() && number > 0.0 {
            return Ok(Positive(number));
        }
        Err(serde::de::Error::custom(format!(
            "{number} is no number above 0"
        )))
    }
}

/// The start file. Keys that are not known are passed over, but for those in `identity`.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default)]
#[cfg_attr(feature = "tools", schemars(title = "asterdale's start file"))]
pub struct File {
    /// The backend's name; `ROUTER_NAME` comes before it.
    pub name: Option<String>,
    /// Where edge nodes connect; `ROUTER_LISTEN` comes before it.
    pub listen: Option<Address>,
    /// The runtime, which does the work.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub runtime: Option<Address>,
    /// The registry, by which edge nodes learn of this backend.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub registry: Option<Address>,
    /// The records service, to which calls go.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub records: Option<Address>,
    /// For random numbers; new with each start.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub seed: Option<Hexadecimal>,
    /// From SIGTERM to SIGKILL, in milliseconds.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub stop_ms: Option<Positive>,
    /// What this process may take up.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub limits: Option<Limits>,
    /// What the decisions are told.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub settings: Option<Told>,
    /// Whether callers must be known; absent: nobody is asked.
    pub identity: Option<Callers>,
    /// A second listener, for edge nodes that show a certificate. Absent: there is none.
    pub tls: Option<Tls>,
    /// How another process takes over while this one serves. Absent: none can.
    pub upgrade: Option<Upgrade>,
    /// The fleet that this process belongs to, and talks with. Absent: it talks with nobody.
    pub fleet: Option<Fleet>,
    /// Work in hand that survives its backend, where there is a section `fleet`. Absent: none does.
    pub takeover: Option<Takeover>,
    /// What lasts over a crash of this process, on a local disk. Absent: nothing does.
    pub journal: Option<Lasting>,
}

/// What lasts over a crash of this process.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Lasting {
    /// A folder on a local disk, for this process alone.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub folder: Option<String>,
    /// What its file may take, in megabytes; 256 if absent.
    pub disk_mb: Option<Positive>,
    /// What is kept of it in memory, in megabytes; 16 if absent.
    pub memory_mb: Option<Positive>,
}

/// Work in hand that survives its backend. The same in the whole fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Takeover {
    /// The processes that keep it: one, three or five, in different places.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub keepers: Option<Vec<Keeper>>,
    /// The stages of fingerprinted tasks that are kept.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub stages: Option<Vec<KeptStage>>,
    /// An owner that is not heard for so long has lost what it owns; in milliseconds, 2000 if absent.
    pub lease_ms: Option<Positive>,
    /// What may be kept at once, in megabytes of each keeper's memory; 16 if absent.
    pub memory_mb: Option<Positive>,
}

/// A process that keeps work.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Keeper {
    /// Its name, as its own start file has it.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Where it is reached: its `fleet.advertise`.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub at: Option<Address>,
}

/// A stage whose tasks are kept.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct KeptStage {
    /// Its name.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Whatever has its effect takes the key and the fence of each call, has the effect of a key once, and refuses an
    /// older fence. Only then may a task run again that may have started; false if absent.
    pub fenced: Option<bool>,
}

/// The fleet that a process belongs to, and talks with: over UDP and TCP, at the same port.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Where it hears the others.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub listen: Option<Address>,
    /// Where they reach it; `listen` if absent.
    pub advertise: Option<Address>,
    /// Processes that are asked first, by where they are reached. None: it waits to be asked.
    pub seeds: Option<Vec<Address>>,
    /// Path of a file with the fleet's key: whatever bytes it has, 16 at the least, without white space at its ends.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub key: Option<String>,
    /// From one probe to the next, in milliseconds; 1000 if absent. The same in the whole fleet.
    pub interval_ms: Option<Positive>,
    /// Path of a control socket, for `asterdale fleet`, in a folder that is closed to other users. Absent: none.
    pub control: Option<String>,
}

/// How another process takes over while this one serves.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Upgrade {
    /// Path of the control socket, in a folder that is closed to other users.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub control: Option<String>,
}

/// A listener for edge nodes that show a certificate. Its files are read at the start and at SIGHUP.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Tls {
    /// Where they connect.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub listen: Option<Address>,
    /// This server's certificate and those that lead to its root, in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub certificate: Option<String>,
    /// Its private key, in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub key: Option<String>,
    /// Certificates of those who sign the edge nodes', in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub clients: Option<String>,
}

/// For whom a certificate speaks that has this name.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Named {
    /// One of its alternative names, with its kind before it: `dns:`, `uri:` or `email:`.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// The tenant.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub tenant: Option<String>,
    /// The subject; the name if absent.
    pub subject: Option<String>,
    /// What it is there for.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<String>>,
}

/// What this process may take up.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default)]
pub struct Limits {
    /// Cores; for information.
    pub cores: Option<Positive>,
    /// Memory, in MB.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub memory_mb: Option<Positive>,
    /// Descriptors.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub sockets: Option<Positive>,
}

/// What the decisions are told. Times are in nanoseconds. What is absent is zero.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Told {
    /// The machine, and what lies around it.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub extra: Option<Extra>,
    /// Figures of the rules.
    pub guarantees: Option<Guarantees>,
    /// Advice to callers.
    pub limits: Option<Advice>,
    /// The stages of tasks, at least one.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub lanes: Option<Vec<Lane>>,
    /// The customers.
    pub tenants: Option<Vec<Customer>>,
    /// What a task beyond its customer's share is worth, as a part of the usual.
    pub over_share_worth: Option<f64>,
    /// Servers of this tier at the start.
    pub servers: Option<f64>,
    /// The least time between two batches of events.
    pub tick_ns: Option<f64>,
    /// `work` where utility counts for each unit of work, else for each task.
    pub worth_by: Option<String>,
}

/// The machine, and what lies around it.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Extra {
    /// `shared`, `tier` or anything else for nothing: what lies below.
    pub below: Option<String>,
    /// Memory of a running task over that of a held one.
    pub blowup: Option<f64>,
    /// This server's slice of the calls that the shared dependency survives.
    pub calls_out: Option<f64>,
    /// Stages whose tasks may call what lies below, in the order of `lanes`.
    pub class_calls: Option<Vec<bool>>,
    /// The server starts without warm state.
    pub cold: Option<bool>,
    /// Cores of the runtime.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub cores: Option<Positive>,
    /// The time over which calls are averaged.
    pub dep_window_ns: Option<f64>,
    /// Memory of a remembered fingerprint, in KB.
    pub entry_kb: Option<f64>,
    /// How long a read's answer may serve other tasks.
    pub fresh_for_ns: Option<f64>,
    /// `drop`, `pause`, or anything else for never: what running work can be made to do.
    pub halt: Option<String>,
    /// How long callers keep a connection that carries nothing.
    pub idle_ns: Option<f64>,
    /// How long a call that was given up can stay below.
    pub lingers_ns: Option<f64>,
    /// Memory of the runtime, in KB.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub memory_kb: Option<Positive>,
    /// Names of the gauges, in the order in which their values come.
    pub own_stats: Option<Vec<String>>,
    /// `level`, `credit`, `weight`, or anything else for none: what callers do with a free value.
    pub say: Option<String>,
    /// Callers of this tier at the start.
    pub upstreams: Option<f64>,
    /// The part of the utility that is earned without the call, in the order of `lanes`.
    pub worth_without: Option<Vec<f64>>,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Guarantees {
    /// A cold server is warm within this time.
    pub cold_ns: Option<f64>,
    /// A task that arrives later than this after the notice to leave must not run.
    pub drain_grace_ns: Option<f64>,
    /// Tasks on the cores, for each core, that a warm server survives.
    pub overload_factor: Option<f64>,
    /// A cold server has at least this share of its speed.
    pub start_capacity: Option<f64>,
}

/// Advice to callers.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Advice {
    /// The longest advice to stay away that is heeded.
    pub max_retry_after_ns: Option<f64>,
    /// Advice is heeded.
    pub retry_after: Option<bool>,
}

/// A stage of tasks.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Lane {
    /// Its name, as paths carry it.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// How long a client waits in all.
    pub deadline_ns: Option<f64>,
    /// The part of the utility that a late answer earns.
    pub late_share: Option<f64>,
    /// How long after arriving a fingerprinted task can show up again.
    pub memory_span_ns: Option<f64>,
    /// Full utility is earned by an answer within this time.
    pub objective_ns: Option<f64>,
    /// `repeatable`, `by_key`, or anything else for side-effecting.
    pub repeat: Option<String>,
    /// What one task is worth.
    pub worth: Option<f64>,
}

/// A customer.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, rename_all = "camelCase")]
pub struct Customer {
    /// Tasks a second, over the whole fleet, that count as within its share.
    pub allowance_per_s: Option<f64>,
}

/// Who may call. Unknown keys are errors here.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// `iss` of the tokens that are taken.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub issuer: Option<String>,
    /// `aud` of them: what names this service.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub audience: Option<String>,
    /// Public keys (Ed25519, 32 bytes in base64url) of which one must have signed a set of keys.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roots: Option<Vec<String>>,
    /// Where sets of keys come from.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub keys: Option<Keys>,
    /// A set serves for so long after it was signed, in milliseconds; absent: for ever.
    pub max_age_ms: Option<Positive>,
    /// How far clocks may be apart, in milliseconds; 500 if absent.
    pub skew_ms: Option<f64>,
    /// Proven tokens that are remembered; 2048 if absent.
    pub cache: Option<u32>,
    /// Signatures a second that may be checked for one edge node; 50 if absent.
    pub signatures_per_edge: Option<Positive>,
    /// And for all; 400 if absent, of which half is for edge nodes that have brought good tokens lately.
    pub signatures: Option<Positive>,
    /// What people may be there for.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<Role>>,
    /// For whom people may come.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub tenants: Option<Vec<Tenant>>,
    /// For whom certificates speak, where there is a section `tls`. The first that fits holds.
    pub certificates: Option<Vec<Named>>,
}

/// Where sets of keys come from: one of the two.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// A file, read at the start and at SIGHUP.
    pub file: Option<String>,
    /// An issuer, asked over HTTP.
    pub fetch: Option<Fetch>,
}

/// An issuer that is asked for sets of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Fetch {
    /// Its address.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub at: Option<Address>,
    /// The path of the set.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub path: Option<String>,
    /// How often it is asked, in milliseconds; 30,000 if absent.
    pub every_ms: Option<Positive>,
}

/// What people may be there for.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Role {
    /// Its name, as tokens carry it.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Names of the stages that it may ask for.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub stages: Option<Vec<String>>,
    /// Tasks of one tenant that may be open in it at once; 256 if absent.
    pub open: Option<u32>,
    /// Tasks of one tenant that may come in it a second; absent: any number.
    pub per_s: Option<Positive>,
    /// How many may come at once after a quiet time; absent: what comes in two seconds, at least one.
    pub burst: Option<Positive>,
    /// The largest cost that a task may claim, in milliseconds of one core; absent: any.
    pub max_cost_ms: Option<Positive>,
}

/// For whom people may come.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as tokens carry it.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// The position in `settings.tenants` of the customer that its tasks count for; 0 if absent.
    pub customer: Option<u32>,
    /// Names of the roles that its people may have.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<String>>,
}
