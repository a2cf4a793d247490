//! Loads the start file: finds it, checks all sections in order, and checks what sections require of each other.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use asterdale_engine::message::Endpoints;
use asterdale_parameters::Settings;
use serde_json::Value;

use super::deserialize::deserialize_collecting_faults;
use super::error::{Fault, Faults, Problem, StartError};
use super::file::StartFile;
use super::value::Address;
use super::{decisions, fleet, identity, journal, limits, ownership, tls, upgrade};
use super::{
    FleetSettings, IdentitySettings, JournalSettings, OwnershipSettings, StartSettings, TlsSettings,
};

/// The environment variable with the path of the start file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the backend's name, which takes precedence over the file.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// The environment variable with the address to listen on, which takes precedence over the file.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// The path under which faults of the file as a whole are reported.
const FILE_FAULT_PATH: &str = "start file";

/// The value of an environment variable; `None` if it is absent or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Loads the file that the environment variable `ROUTER_CONFIG` names.
///
/// # Errors
/// Every fault, if the variable is not set, the file can't be read, or its content is wrong.
pub fn from_environment() -> Result<StartSettings, StartError> {
    let path = environment_variable(FILE_VARIABLE)
        .ok_or_else(|| Fault::new(FILE_VARIABLE, Problem::NotSet))?;
    load(Path::new(&path), FILE_VARIABLE)
}

/// Loads this file.
///
/// # Errors
/// Every fault, if the file can't be read or its content is wrong.
pub fn from_file(path: &Path) -> Result<StartSettings, StartError> {
    load(path, FILE_FAULT_PATH)
}

fn load(path: &Path, fault_path: &str) -> Result<StartSettings, StartError> {
    let text = std::fs::read(path).map_err(|source| {
        let file = path.display().to_string();
        Fault::new(fault_path, Problem::UnreadableFile { file, source })
    })?;
    parse(
        &text,
        environment_variable(NAME_VARIABLE),
        environment_variable(LISTEN_VARIABLE),
    )
}

/// Parses and checks the text of a start file. `name` and `listen`, if given, take precedence over the file's values.
///
/// # Errors
/// Every fault that was found, each with the path of its field.
pub fn parse(
    text: &[u8],
    name: Option<String>,
    listen: Option<String>,
) -> Result<StartSettings, StartError> {
    let json: Value = serde_json::from_slice(text)
        .map_err(|e| Fault::new(FILE_FAULT_PATH, Problem::Malformed(e.to_string())))?;
    let mut faults = Faults::default();
    let file: StartFile = deserialize_collecting_faults(json.clone(), &mut faults);
    let start = check(file, &json, name, listen, &mut faults);
    faults.into_result().map(|()| start)
}

/// Checks all sections in the order in which their faults are reported. An invalid value is reported, and replaced by a
/// placeholder in the result.
fn check(
    file: StartFile,
    json: &Value,
    name: Option<String>,
    listen: Option<String>,
    faults: &mut Faults,
) -> StartSettings {
    let endpoints = Endpoints {
        runtime: require_address("runtime", file.runtime, faults),
        registry: require_address("registry", file.registry, faults),
        records: require_address("records", file.records, faults),
    };
    let listen = listen_address(listen, file.listen, faults);
    let name = name
        .or_else(|| faults.require("name", file.name))
        .unwrap_or_default();
    let seed = faults.require("seed", file.seed).map_or(0, |seed| seed.0);
    let stop_ms = limits::require_number(faults, "stop_ms", file.stop_ms);
    let limits = limits::check(file.limits, faults);
    decisions::check(file.decisions.as_ref(), faults);
    let settings = asterdale_parameters::from_json(seed, &json["settings"]);
    let tls = check_tls(file.tls, file.identity.is_some(), faults);
    let control_socket = file
        .upgrade
        .and_then(|section| upgrade::check(section, faults));
    let is_hot_restart_enabled = control_socket.is_some();
    let fleet = check_fleet(file.fleet, is_hot_restart_enabled, faults);
    let ownership = check_ownership(file.ownership, fleet.is_some(), &settings, faults);
    let journal = check_journal(file.journal, is_hot_restart_enabled, &settings, faults);
    let identity = file
        .identity
        .and_then(|section| identity::check(section, seed, &settings, faults));
    let configured_bytes = ownership.as_ref().map_or(0, |section| section.max_bytes)
        + journal
            .as_ref()
            .map_or(0, |section| section.max_memory_bytes)
        + identity.as_ref().map_or(0, IdentitySettings::cache_bytes);
    let memory = limits.memory_budget(configured_bytes, faults);
    StartSettings {
        name,
        listen,
        endpoints,
        stop_ms,
        memory,
        max_descriptors: limits.max_descriptors,
        settings: Arc::new(settings),
        identity,
        tls,
        control_socket,
        fleet,
        ownership,
        journal,
    }
}

/// Returns a required address. A missing one is reported and replaced by the unspecified address.
fn require_address(path: &str, address: Option<Address>, faults: &mut Faults) -> SocketAddr {
    faults
        .require(path, address)
        .map_or_else(unspecified_address, |address| address.0)
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// The address to listen on: from the environment variable if it is set, else from the file.
fn listen_address(
    variable: Option<String>,
    field: Option<Address>,
    faults: &mut Faults,
) -> SocketAddr {
    let Some(text) = variable else {
        return require_address("listen", field, faults);
    };
    text.parse().unwrap_or_else(|_| {
        faults.add(LISTEN_VARIABLE, Problem::NotAnAddress(text));
        unspecified_address()
    })
}

fn check_tls(
    section: Option<tls::TlsSection>,
    has_identity: bool,
    faults: &mut Faults,
) -> Option<TlsSettings> {
    let settings = tls::check(section?, faults);
    if settings.is_some() && !has_identity {
        faults.add(
            "tls",
            "requires the section identity, which maps client certificates to callers",
        );
    }
    settings
}

fn check_fleet(
    section: Option<fleet::FleetSection>,
    is_hot_restart_enabled: bool,
    faults: &mut Faults,
) -> Option<FleetSettings> {
    let settings = fleet::check(section?, faults);
    if settings.is_some() && is_hot_restart_enabled {
        faults.add(
            "fleet",
            "can't be combined with upgrade: two processes would use the same address",
        );
    }
    settings
}

fn check_ownership(
    section: Option<ownership::OwnershipSection>,
    has_fleet: bool,
    settings: &Settings,
    faults: &mut Faults,
) -> Option<OwnershipSettings> {
    let section = section?;
    if !has_fleet {
        faults.add(
            "takeover",
            "requires the section fleet, whose members replicate the ownership",
        );
    }
    Some(ownership::check(section, settings, faults))
}

fn check_journal(
    section: Option<journal::JournalSection>,
    is_hot_restart_enabled: bool,
    settings: &Settings,
    faults: &mut Faults,
) -> Option<JournalSettings> {
    let section = section?;
    if is_hot_restart_enabled {
        faults.add(
            "journal",
            "can't be combined with upgrade yet: two processes would use the same directory",
        );
    }
    journal::check(section, settings, faults)
}
