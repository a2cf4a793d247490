//! Section `takeover` of the start file: replicated ownership of requests, so that they survive the failure of the
//! process that runs them.

use std::net::SocketAddr;

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use asterdale::parameters::Idempotency;
use asterdale_parameters::Settings;

use super::error::Faults;
use super::require_unique_names;
use super::value::{Address, Positive};

/// The maximum number of replicas. Each further one makes a claim more expensive and adds hardly any safety.
const MAX_REPLICAS: usize = 7;
/// The default lease, in milliseconds.
const DEFAULT_LEASE_MS: f64 = 2000.0;
/// The accepted leases, in milliseconds. A shorter one would expire during a short pause of a process; a longer one
/// would leave requests without an owner for minutes.
const LEASE_RANGE_MS: std::ops::RangeInclusive<f64> = 400.0..=60_000.0;
/// The default maximum size of the replicated state, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 16.0;
/// The upper bound of the maximum size of the replicated state, in megabytes: a snapshot of it is sent in one message.
const MAX_MEMORY_MB: f64 = 20.0;

/// Replicated ownership of requests, so that they survive the failure of their backend. Must be the same in the whole
/// fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Takeover",
    expecting = "struct Takeover",
    default,
    deny_unknown_fields
)]
pub struct OwnershipSection {
    /// The processes that are replicas: one, three, five or seven, on different machines.
    #[serde(rename = "keepers")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub replicas: Option<Vec<ReplicaSection>>,
    /// The classes of keyed requests that are replicated.
    #[serde(rename = "stages")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub classes: Option<Vec<ReplicatedClassSection>>,
    /// The lease: an owner that does not renew it within this time loses its requests; in milliseconds, 2000 if absent.
    pub lease_ms: Option<Positive>,
    /// The maximum size of the replicated state in each replica's memory, in megabytes; 16 if absent.
    pub memory_mb: Option<Positive>,
}

/// A process that is a replica.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Keeper",
    expecting = "struct Keeper",
    default,
    deny_unknown_fields
)]
pub struct ReplicaSection {
    /// Its name, as given in its own start file.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Its address: its `fleet.advertise`.
    #[serde(rename = "at")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub address: Option<Address>,
}

/// A request class whose ownership is replicated.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "KeptStage",
    expecting = "struct KeptStage",
    default,
    deny_unknown_fields
)]
pub struct ReplicatedClassSection {
    /// Its name.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Whether the service that performs the effect checks the key and the fencing token of each call: it performs the
    /// effect of a key once and rejects older tokens. Only then is a request that may have started before run again;
    /// false if absent.
    pub fenced: Option<bool>,
}

/// Replicated ownership of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// The replicas, by name and address.
    pub replicas: Vec<(String, SocketAddr)>,
    /// For each request class: `None` if it is not replicated, else whether its effects are fenced.
    pub replicated_classes: Vec<Option<bool>>,
    /// The lease, in milliseconds: an owner that does not renew it within this time loses its requests.
    pub lease_ms: f64,
    /// The longest retry window of the replicated classes, in milliseconds.
    pub retry_window_ms: f64,
    /// The maximum size of the replicated state, in bytes.
    pub max_bytes: usize,
}

/// Checks the section. Faults are reported; incomplete replicas and unknown or unkeyed classes are left out.
pub fn check(
    section: OwnershipSection,
    settings: &Settings,
    faults: &mut Faults,
) -> OwnershipSettings {
    let replicas = check_replicas(section.replicas, faults);
    let replicated_classes = check_classes(section.classes, settings, faults);
    let lease_ms = section.lease_ms.map_or(DEFAULT_LEASE_MS, |ms| ms.0);
    if !LEASE_RANGE_MS.contains(&lease_ms) {
        faults.add("takeover.lease_ms", "must be from 400 to 60000");
    }
    let memory_mb = section.memory_mb.map_or(DEFAULT_MEMORY_MB, |mb| mb.0);
    if memory_mb > MAX_MEMORY_MB {
        faults.add(
            "takeover.memory_mb",
            "must be at most 20, as a snapshot of the replicated state is sent in one message",
        );
    }
    let classes = settings.decisions.classes.iter();
    let retry_window_ms = classes
        .zip(&replicated_classes)
        .filter(|(_, replicated)| replicated.is_some())
        .map(|(class, _)| class.retry_window_ms)
        .fold(0.0, f64::max);
    OwnershipSettings {
        replicas,
        replicated_classes,
        lease_ms,
        retry_window_ms,
        max_bytes: (memory_mb * 1e6) as usize,
    }
}

/// Checks the list of replicas, and returns those that have a name and an address.
fn check_replicas(
    sections: Option<Vec<ReplicaSection>>,
    faults: &mut Faults,
) -> Vec<(String, SocketAddr)> {
    let sections = faults
        .require("takeover.keepers", sections)
        .unwrap_or_default();
    let names = sections.iter().map(|replica| replica.name.as_ref());
    require_unique_names("takeover.keepers", names, faults);
    if sections.len() > MAX_REPLICAS || sections.len() % 2 == 0 {
        let rule = format!("must have an odd number of entries, at most {MAX_REPLICAS}");
        faults.add("takeover.keepers", rule);
    }
    let mut replicas = Vec::new();
    for (index, replica) in sections.into_iter().enumerate() {
        let path = format!("takeover.keepers[{index}].at");
        let address = faults.require(&path, replica.address);
        if let (Some(name), Some(address)) = (replica.name, address) {
            replicas.push((name, address.0));
        }
    }
    replicas
}

/// For each class of the settings, whether it is replicated and if so whether it is fenced.
fn check_classes(
    sections: Option<Vec<ReplicatedClassSection>>,
    settings: &Settings,
    faults: &mut Faults,
) -> Vec<Option<bool>> {
    let mut replicated = vec![None; settings.class_names.len()];
    let sections = faults
        .require("takeover.stages", sections)
        .unwrap_or_default();
    let names = sections.iter().map(|class| class.name.as_ref());
    require_unique_names("takeover.stages", names, faults);
    for (index, section) in sections.into_iter().enumerate() {
        let Some(name) = section.name else { continue };
        let path = format!("takeover.stages[{index}].name");
        let class = settings.class_names.iter().position(|known| *known == name);
        match class {
            None => faults.add(path, format!("{name:?} is not a name in settings.lanes")),
            Some(class) if settings.decisions.classes[class].idempotency != Idempotency::Keyed => {
                faults.add(
                    path,
                    "must be a class of keyed requests: retries of others can't be recognized",
                );
            }
            Some(class) => replicated[class] = Some(section.fenced.unwrap_or(false)),
        }
    }
    replicated
}
