//! Section `fleet` of the start file: membership of a group of processes that gossip with each other.

use std::io::Read as _;
use std::net::SocketAddr;

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{Faults, Problem};
use super::value::{Address, Positive};

/// The minimum length of the key, in bytes. A key of 128 bits can't be found by brute force.
const MIN_KEY_BYTES: usize = 16;
/// The maximum number of bytes that are read from a key file. Bounds memory if the path names a large file or a device.
const MAX_KEY_BYTES: u64 = 4096;
/// The default protocol period, in milliseconds.
const DEFAULT_PROTOCOL_PERIOD_MS: f64 = 1000.0;
/// The accepted protocol periods, in milliseconds. With a shorter one, gossip would take capacity from requests; with a
/// longer one, failures would go undetected for minutes.
const PROTOCOL_PERIOD_RANGE_MS: std::ops::RangeInclusive<f64> = 20.0..=60_000.0;

/// The fleet that a process is a member of. It gossips over UDP and TCP, at the same port.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Fleet",
    expecting = "struct Fleet",
    default,
    deny_unknown_fields
)]
pub struct FleetSection {
    /// The address that it listens on for the other members.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub listen: Option<Address>,
    /// The address at which the others reach it; `listen` if absent.
    pub advertise: Option<Address>,
    /// Addresses of members through which it joins. If there are none, it waits until another member contacts it.
    pub seeds: Option<Vec<Address>>,
    /// Path of a file with the fleet's key: any bytes, at least 16, without white space at either end.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub key: Option<String>,
    /// The time between two health checks of other members, in milliseconds; 1000 if absent. Must be the same in the
    /// whole fleet.
    pub interval_ms: Option<Positive>,
    /// Path of the control socket of `asterdale fleet`, in a directory that other users can't access. Absent: none.
    pub control: Option<String>,
}

/// The fleet that this process is a member of.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The address that it listens on for the other members.
    pub listen: SocketAddr,
    /// The address at which they reach it.
    pub advertise: SocketAddr,
    /// Members through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's shared key.
    pub key: Vec<u8>,
    /// SWIM's protocol period: the time from one health check of another member to the next, in milliseconds.
    pub protocol_period_ms: f64,
    /// Path of the control socket.
    pub control_socket: Option<String>,
}

/// Checks the section and reads the key; `None` if a required field is missing.
pub fn check(section: FleetSection, faults: &mut Faults) -> Option<FleetSettings> {
    if !cfg!(feature = "fleet") {
        faults.add("fleet", "this build does not support fleets");
    }
    let listen = faults.require("fleet.listen", section.listen);
    let advertise = section.advertise.or(section.listen);
    if advertise.is_some_and(|address| address.0.ip().is_unspecified() || address.0.port() == 0) {
        faults.add(
            "fleet.advertise",
            "must be an address that the other members can reach",
        );
    }
    let protocol_period_ms = section
        .interval_ms
        .map_or(DEFAULT_PROTOCOL_PERIOD_MS, |ms| ms.0);
    if !PROTOCOL_PERIOD_RANGE_MS.contains(&protocol_period_ms) {
        faults.add("fleet.interval_ms", "must be from 20 to 60000");
    }
    let key = read_key(section.key, faults)?;
    let seeds = section.seeds.unwrap_or_default();
    Some(FleetSettings {
        listen: listen?.0,
        advertise: advertise?.0,
        seeds: seeds.into_iter().map(|seed| seed.0).collect(),
        key,
        protocol_period_ms,
        control_socket: section.control,
    })
}

/// Reads the key file and trims the white space around the key. An unusable key is reported, and returned so that the
/// remaining checks are made; `None` if the path is missing.
fn read_key(path: Option<String>, faults: &mut Faults) -> Option<Vec<u8>> {
    let path = faults.require("fleet.key", path)?;
    let mut key = Vec::new();
    let read =
        std::fs::File::open(&path).and_then(|file| file.take(MAX_KEY_BYTES).read_to_end(&mut key));
    let key = key.trim_ascii().to_vec();
    match read {
        Err(source) => faults.add("fleet.key", Problem::UnreadableFile { file: path, source }),
        Ok(_) if key.len() < MIN_KEY_BYTES => {
            let reason = format!("the key must have at least {MIN_KEY_BYTES} bytes");
            faults.add("fleet.key", Problem::UnusableFile { file: path, reason });
        }
        Ok(_) => {}
    }
    Some(key)
}
