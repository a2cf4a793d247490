//! What the program is told at its start: the variable that names the file, and what the file holds.

pub mod faults;
pub mod file;

use std::collections::HashSet;
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use asterdale::parameters::Idempotency;
use asterdale_engine::issuer::KeySource;
use asterdale_engine::message::Endpoints;
use asterdale_identity::keyring::{public_key, MOST_SET};
use asterdale_identity::rights::{Role, Tenant, MOST_NAMED_ROLES, MOST_TENANTS};
use asterdale_identity::{Facts as IdentityFacts, Named};
use asterdale_parameters::Settings;
use serde_json::Value;

use faults::{Fault, Faults};
use file::{Address, Callers, File, Positive};

/// Everything from the file.
#[derive(Clone, Debug)]
pub struct Start {
    /// The backend's name.
    pub name: String,
    /// Where edge nodes connect.
    pub listen: SocketAddr,
    /// Where the peers listen.
    pub endpoints: Endpoints,
    /// From the notice to leave until the process is killed, in milliseconds.
    pub stop_ms: f64,
    /// Memory of this process, in bytes.
    pub memory_bytes: usize,
    /// Descriptors of this process.
    pub max_descriptors: usize,
    /// What the decisions are told.
    pub settings: Arc<Settings>,
    /// Who may call; `None` where nobody is asked.
    pub identity: Option<IdentitySettings>,
    /// The listener for edge nodes that show a certificate, where there is one.
    #[cfg_attr(
        not(feature = "tls"),
        expect(dead_code, reason = "such a file is a fault there")
    )]
    pub tls: Option<TlsSettings>,
    /// Path of the control socket, where another process can take over.
    #[cfg_attr(
        not(feature = "upgrade"),
        expect(dead_code, reason = "such a file is a fault there")
    )]
    pub control_socket: Option<String>,
    /// The fleet that this process talks with.
    #[cfg_attr(
        not(any(feature = "fleet", feature = "journal")),
        expect(dead_code, reason = "such a file is a fault there")
    )]
    pub fleet: Option<FleetSettings>,
    /// Work in hand that survives its backend.
    #[cfg_attr(
        not(feature = "fleet"),
        expect(dead_code, reason = "such a file is a fault there")
    )]
    pub ownership: Option<OwnershipSettings>,
    /// What lasts over a crash of this process.
    #[cfg_attr(
        not(feature = "journal"),
        expect(dead_code, reason = "such a file is a fault there")
    )]
    pub journal: Option<JournalSettings>,
}

/// What lasts over a crash of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalSettings {
    /// The folder.
    pub folder: String,
    /// Bytes that its file may take.
    pub max_disk_bytes: u64,
    /// Bytes of it that are kept in memory.
    pub max_memory_bytes: usize,
    /// The longest window of any fingerprinted task, with the time that one may lie unread.
    pub retention_ms: f64,
    /// The longest that a task may lie unread.
    pub max_unread_ms: f64,
}

/// Work in hand that survives its backend.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// The processes that keep it, by name and where they are reached.
    pub replicas: Vec<(String, SocketAddr)>,
    /// By stage: whether its tasks are kept, and if so whether what has their effect refuses an older fence.
    pub replicated_classes: Vec<Option<bool>>,
    /// An owner that is not heard for so long has lost what it owns.
    pub lease_ms: f64,
    /// The longest window of what is kept.
    pub retry_window_ms: f64,
    /// Bytes that may be kept.
    pub max_bytes: usize,
}

/// The fleet that a process talks with.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// Where they reach it.
    pub advertise: SocketAddr,
    /// Who is asked first.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Vec<u8>,
    /// From one probe to the next.
    pub protocol_period_ms: f64,
    /// Path of the control socket.
    pub control_socket: Option<String>,
}

/// A listener for edge nodes that show a certificate: where, and the paths of its files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Where they connect.
    pub listen: SocketAddr,
    /// This server's certificates.
    pub certificate_path: String,
    /// Its private key.
    pub key_path: String,
    /// Certificates of those who sign the edge nodes'.
    pub client_ca_path: String,
}

/// Who may call, and where the keys come from.
#[derive(Clone, Debug)]
pub struct IdentitySettings {
    /// What holds of callers.
    pub parameters: IdentityFacts,
    /// Where sets of keys come from.
    pub key_source: KeySetSource,
}

/// Where sets of keys come from.
#[derive(Clone, Debug)]
pub enum KeySetSource {
    /// A file, by its path.
    File(String),
    /// An issuer.
    Issuer(KeySource),
}

impl KeySetSource {
    /// The set in the file, if it is one.
    pub fn read_file(&self) -> Option<Result<Vec<u8>, String>> {
        let KeySetSource::File(path) = self else {
            return None;
        };
        // One byte more than may be shows that it is too long, whatever is behind the path.
        let mut text = Vec::new();
        let read = std::fs::File::open(path)
            .and_then(|file| file.take(MOST_SET as u64 + 1).read_to_end(&mut text))
            .map_err(|e| format!("{path}: {e}"));
        Some(read.map(|_| text.trim_ascii().to_vec()))
    }
}

/// A fault of what comes from outside of the file.
fn outside(name: &str, message: String) -> Vec<Fault> {
    vec![Fault {
        path: name.to_owned(),
        message,
    }]
}

/// A variable that says something.
pub fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads the file that `ROUTER_CONFIG` names. Errors name the field.
pub fn from_environment() -> Result<Start, Vec<Fault>> {
    let path = environment_variable("ROUTER_CONFIG")
        .ok_or_else(|| outside("ROUTER_CONFIG", "is not set".to_owned()))?;
    from(Path::new(&path), "ROUTER_CONFIG")
}

/// Reads this file.
pub fn from_file(path: &Path) -> Result<Start, Vec<Fault>> {
    from(path, "start file")
}

fn from(path: &Path, called: &str) -> Result<Start, Vec<Fault>> {
    let text =
        std::fs::read(path).map_err(|e| outside(called, format!("{}: {e}", path.display())))?;
    parse(
        &text,
        environment_variable("ROUTER_NAME"),
        environment_variable("ROUTER_LISTEN"),
    )
}

/// Reads the text of the file. Name and address that are given from outside come before the file's. All that
/// is wrong comes back at once.
pub fn parse(
    text: &[u8],
    name: Option<String>,
    listen: Option<String>,
) -> Result<Start, Vec<Fault>> {
    let all: Value =
        serde_json::from_slice(text).map_err(|e| outside("start file", e.to_string()))?;
    let mut faults = Faults::default();
    let file: File = faults.read(all.clone());
    let address = |faults: &mut Faults, path, found: Option<Address>| {
        faults
            .wanted(path, found)
            .map_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)), |found| found.0)
    };
    let peers = Endpoints {
        runtime: address(&mut faults, "runtime", file.runtime),
        registry: address(&mut faults, "registry", file.registry),
        records: address(&mut faults, "records", file.records),
    };
    let listen = match listen.map(|text| (text.parse(), text)) {
        Some((Ok(at), _)) => at,
        Some((Err(_), text)) => {
            faults.add(
                "ROUTER_LISTEN",
                format!("{text:?} is no address with a port"),
            );
            peers.runtime
        }
        None => address(&mut faults, "listen", file.listen),
    };
    let name = name
        .or_else(|| faults.wanted("name", file.name.clone()))
        .unwrap_or_default();
    let seed = faults.wanted("seed", file.seed).map_or(0, |seed| seed.0);
    let number = |faults: &mut Faults, path, found: Option<Positive>| {
        faults.wanted(path, found).map_or(1.0, |found| found.0)
    };
    let stop_ms = number(&mut faults, "stop_ms", file.stop_ms);
    let limits = faults.wanted("limits", file.limits.clone());
    let (mut memory, mut descriptors) = (0.0, 0.0);
    if let Some(limits) = limits {
        memory = number(&mut faults, "limits.memory_mb", limits.memory_mb) * 1e6;
        descriptors = number(&mut faults, "limits.sockets", limits.sockets);
    }
    told(&mut faults, &file);
    let facts = asterdale_parameters::from_json(seed, &all["settings"]);
    let tls = file.tls.and_then(|section| tls(&mut faults, section));
    if tls.is_some() && file.identity.is_none() {
        faults.add(
            "tls",
            "means nothing without identity, which says for whom certificates speak",
        );
    }
    let control = file.upgrade.and_then(|section| {
        if !cfg!(feature = "upgrade") {
            faults.add("upgrade", "this build can't hand over");
        }
        faults.wanted("upgrade.control", section.control)
    });
    let fleet = file.fleet.and_then(|section| fleet(&mut faults, section));
    if fleet.is_some() && control.is_some() {
        faults.add(
            "fleet",
            "can't be told together with upgrade: two processes would have one address",
        );
    }
    let takeover = file.takeover.and_then(|section| {
        if fleet.is_none() {
            faults.add(
                "takeover",
                "means nothing without fleet, whose processes keep it",
            );
        }
        takeover(&mut faults, section, &facts)
    });
    let journal = file.journal.and_then(|section| {
        if control.is_some() {
            faults.add(
                "journal",
                "can't be told together with upgrade yet: two processes would have one folder",
            );
        }
        lasting(&mut faults, section, &facts)
    });
    let identity = file
        .identity
        .and_then(|callers| identity(&mut faults, callers, seed, &facts));
    if !faults.0.is_empty() {
        return Err(faults.0);
    }
    let (memory, descriptors) = (memory as usize, descriptors as usize);
    Ok(Start {
        name,
        listen,
        endpoints: peers,
        stop_ms,
        memory_bytes: memory,
        max_descriptors: descriptors,
        settings: Arc::new(facts),
        identity,
        tls,
        control_socket: control,
        fleet,
        ownership: takeover,
        journal,
    })
}

fn tls(faults: &mut Faults, section: file::Tls) -> Option<TlsSettings> {
    if !cfg!(feature = "tls") {
        faults.add("tls", "this build has no TLS");
    }
    let listen = faults.wanted("tls.listen", section.listen);
    let certificate = faults.wanted("tls.certificate", section.certificate);
    let key = faults.wanted("tls.key", section.key);
    let clients = faults.wanted("tls.clients", section.clients);
    Some(TlsSettings {
        listen: listen?.0,
        certificate_path: certificate?,
        key_path: key?,
        client_ca_path: clients?,
    })
}

/// A key of fewer bytes could be guessed.
const LEAST_KEY: usize = 16;
/// No key is longer, whatever is behind the path.
const MOST_KEY: u64 = 4096;

fn fleet(faults: &mut Faults, section: file::Fleet) -> Option<FleetSettings> {
    if !cfg!(feature = "fleet") {
        faults.add("fleet", "this build talks with nobody");
    }
    let listen = faults.wanted("fleet.listen", section.listen);
    let advertise = section.advertise.or(section.listen);
    if advertise.is_some_and(|at| at.0.ip().is_unspecified() || at.0.port() == 0) {
        faults.add(
            "fleet.advertise",
            "an address that the others can reach is wanted",
        );
    }
    let interval_ms = section.interval_ms.map_or(1000.0, |ms| ms.0);
    if !(20.0..=60_000.0).contains(&interval_ms) {
        faults.add("fleet.interval_ms", "from 20 to 60000 is wanted");
    }
    let path = faults.wanted("fleet.key", section.key)?;
    let mut key = Vec::new();
    let read =
        std::fs::File::open(&path).and_then(|file| file.take(MOST_KEY).read_to_end(&mut key));
    match read {
        Err(e) => faults.add("fleet.key", format!("{path}: {e}")),
        Ok(_) if key.trim_ascii().len() < LEAST_KEY => {
            faults.add(
                "fleet.key",
                format!("{path}: {LEAST_KEY} bytes are wanted at the least"),
            );
        }
        Ok(_) => {}
    }
    let seeds = section
        .seeds
        .unwrap_or_default()
        .into_iter()
        .map(|seed| seed.0)
        .collect();
    Some(FleetSettings {
        listen: listen?.0,
        advertise: advertise?.0,
        seeds,
        key: key.trim_ascii().to_vec(),
        protocol_period_ms: interval_ms,
        control_socket: section.control,
    })
}

/// More keepers make each claim dearer, and no safer by much.
const MOST_KEEPERS: usize = 7;

fn takeover(
    faults: &mut Faults,
    section: file::Takeover,
    facts: &Settings,
) -> Option<OwnershipSettings> {
    let mut keepers = Vec::new();
    let told = faults
        .wanted("takeover.keepers", section.keepers)
        .unwrap_or_default();
    names(
        faults,
        "takeover.keepers",
        told.iter().map(|keeper| keeper.name.as_ref()),
    );
    if told.len() > MOST_KEEPERS || told.len() % 2 == 0 {
        faults.add(
            "takeover.keepers",
            format!("an odd number up to {MOST_KEEPERS} is wanted"),
        );
    }
    for (n, keeper) in told.into_iter().enumerate() {
        let at = faults.wanted(&format!("takeover.keepers[{n}].at"), keeper.at);
        if let (Some(name), Some(at)) = (keeper.name, at) {
            keepers.push((name, at.0));
        }
    }
    let mut stages = vec![None; facts.class_names.len()];
    let told = faults
        .wanted("takeover.stages", section.stages)
        .unwrap_or_default();
    names(
        faults,
        "takeover.stages",
        told.iter().map(|stage| stage.name.as_ref()),
    );
    for (n, stage) in told.into_iter().enumerate() {
        let Some(name) = stage.name else { continue };
        let path = format!("takeover.stages[{n}].name");
        match facts.class_names.iter().position(|known| *known == name) {
            None => faults.add(path, format!("{name:?} is no stage of settings.lanes")),
            Some(at) if facts.decisions.classes[at].idempotency != Idempotency::Keyed => {
                faults.add(
                    path,
                    "only tasks with a key can be known again, and so be kept",
                );
            }
            Some(at) => stages[at] = Some(stage.fenced.unwrap_or(false)),
        }
    }
    let lease_ms = section.lease_ms.map_or(2000.0, |ms| ms.0);
    if !(400.0..=60_000.0).contains(&lease_ms) {
        faults.add("takeover.lease_ms", "from 400 to 60000 is wanted");
    }
    let megabytes = section.memory_mb.map_or(16.0, |mb| mb.0);
    if megabytes > 20.0 {
        faults.add(
            "takeover.memory_mb",
            "no more than 20 is wanted: the whole of it goes in one letter",
        );
    }
    let kept = facts
        .decisions
        .classes
        .iter()
        .zip(&stages)
        .filter(|(_, kept)| kept.is_some());
    let window_ms = kept
        .map(|(stage, _)| stage.retry_window_ms)
        .fold(0.0, f64::max);
    Some(OwnershipSettings {
        replicas: keepers,
        replicated_classes: stages,
        lease_ms,
        retry_window_ms: window_ms,
        max_bytes: (megabytes * 1e6) as usize,
    })
}

fn lasting(
    faults: &mut Faults,
    section: file::Lasting,
    facts: &Settings,
) -> Option<JournalSettings> {
    if !cfg!(feature = "journal") {
        faults.add("journal", "this build keeps nothing on disk");
    }
    let folder = faults.wanted("journal.folder", section.folder);
    let disk = section.disk_mb.map_or(256.0, |mb| mb.0);
    if !(8.0..=65_536.0).contains(&disk) {
        faults.add("journal.disk_mb", "from 8 to 65536 is wanted");
    }
    let memory = section.memory_mb.map_or(16.0, |mb| mb.0);
    let stages = || {
        facts
            .decisions
            .classes
            .iter()
            .filter(|stage| stage.idempotency == Idempotency::Keyed)
    };
    let unread_ms = facts
        .decisions
        .classes
        .iter()
        .map(|stage| stage.deadline_ms)
        .fold(0.0, f64::max);
    let window_ms = stages()
        .map(|stage| stage.retry_window_ms)
        .fold(0.0, f64::max)
        + unread_ms;
    let (disk, memory) = ((disk * 1e6) as u64, (memory * 1e6) as usize);
    Some(JournalSettings {
        folder: folder?,
        max_disk_bytes: disk,
        max_memory_bytes: memory,
        retention_ms: window_ms,
        max_unread_ms: unread_ms,
    })
}

/// What the decisions are told must name its stages and the machine; the rest may be zero.
fn told(faults: &mut Faults, file: &File) {
    let Some(told) = faults.wanted("settings", file.settings.as_ref()) else {
        return;
    };
    if let Some(extra) = faults.wanted("settings.extra", told.extra.as_ref()) {
        faults.wanted("settings.extra.cores", extra.cores);
        faults.wanted("settings.extra.memoryKb", extra.memory_kb);
    }
    let Some(lanes) = faults.wanted("settings.lanes", told.lanes.as_ref()) else {
        return;
    };
    if lanes.is_empty() {
        faults.add("settings.lanes", "at least one is wanted");
    }
    for (n, lane) in lanes.iter().enumerate() {
        let path = format!("settings.lanes[{n}].name");
        if faults
            .wanted(&path, lane.name.as_ref())
            .is_some_and(String::is_empty)
        {
            faults.add(path, "is empty");
        }
    }
}

/// Names that are there, not empty, and each only once.
fn names<'a>(
    faults: &mut Faults,
    path: &str,
    all: impl Iterator<Item = Option<&'a String>>,
) -> HashSet<String> {
    let mut names = HashSet::new();
    for (n, name) in all.enumerate() {
        let path = format!("{path}[{n}].name");
        let Some(name) = faults.wanted(&path, name) else {
            continue;
        };
        if name.is_empty() {
            faults.add(path, "is empty");
        } else if !names.insert(name.clone()) {
            faults.add(path, format!("{name:?} comes twice"));
        }
    }
    names
}

fn identity(
    faults: &mut Faults,
    callers: Callers,
    seed: u64,
    told: &Settings,
) -> Option<IdentitySettings> {
    let text = |faults: &mut Faults, path, found: Option<String>| {
        let found = faults.wanted(path, found).unwrap_or_default();
        if found.is_empty() && !faults.0.iter().any(|fault| fault.path == path) {
            faults.add(path, "is empty");
        }
        found
    };
    let issuer = text(faults, "identity.issuer", callers.issuer);
    let audience = text(faults, "identity.audience", callers.audience);
    let mut roots = Vec::new();
    let given = faults
        .wanted("identity.roots", callers.roots)
        .unwrap_or_default();
    if given.is_empty() {
        faults.add("identity.roots", "at least one is wanted");
    }
    for (n, root) in given.iter().enumerate() {
        match public_key(root) {
            Some(root) => roots.push(root),
            None => faults.add(
                format!("identity.roots[{n}]"),
                "is no public key: 32 bytes in base64url",
            ),
        }
    }
    let skew_ms = callers.skew_ms.unwrap_or(500.0);
    if !(0.0..=300_000.0).contains(&skew_ms) {
        faults.add("identity.skew_ms", "from 0 to 300000 is wanted");
    }
    let roles = roles(faults, callers.roles, told);
    let known: HashSet<&str> = roles.iter().map(|role| role.name.as_str()).collect();
    let tenants = tenants(faults, callers.tenants, &known, told);
    let certificates = certificates(faults, callers.certificates, &known, &tenants);
    let keys = faults.wanted("identity.keys", callers.keys)?;
    let keys = match (keys.file, keys.fetch) {
        (Some(path), None) => KeySetSource::File(path),
        (None, Some(fetch)) => {
            let at = faults.wanted("identity.keys.fetch.at", fetch.at)?.0;
            let path = faults.wanted("identity.keys.fetch.path", fetch.path)?;
            let plain = path.bytes().all(|byte| byte.is_ascii_graphic());
            if !path.starts_with('/') || !plain || path.len() > 1024 {
                faults.add(
                    "identity.keys.fetch.path",
                    "a path that begins with / is wanted",
                );
            }
            KeySetSource::Issuer(KeySource {
                address: at,
                path,
                interval_ms: fetch.every_ms.map_or(30_000.0, |ms| ms.0),
            })
        }
        _ => {
            faults.add("identity.keys", "one of file and fetch is wanted");
            return None;
        }
    };
    let facts = IdentityFacts {
        seed,
        issuer,
        audience,
        roots,
        most_age_ms: callers.max_age_ms.map_or(f64::INFINITY, |ms| ms.0),
        skew_ms,
        cache: callers.cache.unwrap_or(2048).clamp(1, 65_536) as usize,
        per_edge: callers.signatures_per_edge.map_or(50.0, |n| n.0),
        in_all: callers.signatures.map_or(400.0, |n| n.0),
        roles,
        tenants,
        certificates,
    };
    Some(IdentitySettings {
        parameters: facts,
        key_source: keys,
    })
}

fn roles(faults: &mut Faults, given: Option<Vec<file::Role>>, told: &Settings) -> Vec<Role> {
    let given = faults.wanted("identity.roles", given).unwrap_or_default();
    names(
        faults,
        "identity.roles",
        given.iter().map(|role| role.name.as_ref()),
    );
    if given.len() > MOST_NAMED_ROLES {
        faults.add(
            "identity.roles",
            format!("no more than {MOST_NAMED_ROLES} are taken"),
        );
    }
    let role = |(n, role): (usize, file::Role)| {
        let path = format!("identity.roles[{n}].stages");
        let mut stages = Vec::new();
        for (m, name) in faults
            .wanted(&path, role.stages)
            .unwrap_or_default()
            .iter()
            .enumerate()
        {
            match told.class_names.iter().position(|stage| stage == name) {
                Some(stage) => stages.push(stage),
                None => faults.add(
                    format!("{path}[{m}]"),
                    format!("{name:?} is no name in settings.lanes"),
                ),
            }
        }
        // Without a rate the bucket never empties.
        let per_s = role.per_s.map_or(f64::INFINITY, |n| n.0);
        Role {
            name: role.name.unwrap_or_default(),
            stages,
            open: role.open.unwrap_or(256) as usize,
            per_s,
            burst: role.burst.map_or((2.0 * per_s).max(1.0), |n| n.0.max(1.0)),
            hint_ms: role.max_cost_ms.map_or(f64::INFINITY, |ms| ms.0),
        }
    };
    given.into_iter().enumerate().map(role).collect()
}

fn tenants(
    faults: &mut Faults,
    given: Option<Vec<file::Tenant>>,
    roles: &HashSet<&str>,
    told: &Settings,
) -> Vec<Tenant> {
    let given = faults.wanted("identity.tenants", given).unwrap_or_default();
    names(
        faults,
        "identity.tenants",
        given.iter().map(|tenant| tenant.name.as_ref()),
    );
    if given.len() > MOST_TENANTS {
        faults.add(
            "identity.tenants",
            format!("no more than {MOST_TENANTS} are taken"),
        );
    }
    let customers = told.decisions.tenants.len();
    let tenant = |(n, tenant): (usize, file::Tenant)| {
        let path = format!("identity.tenants[{n}]");
        let customer = tenant.customer.unwrap_or(0) as usize;
        if tenant.customer.is_some() && customer >= customers {
            let what =
                format!("{customer} is no position in settings.tenants, which has {customers}");
            faults.add(format!("{path}.customer"), what);
        }
        let may = faults
            .wanted(&format!("{path}.roles"), tenant.roles)
            .unwrap_or_default();
        for (m, role) in may
            .iter()
            .enumerate()
            .filter(|(_, role)| !roles.contains(role.as_str()))
        {
            faults.add(
                format!("{path}.roles[{m}]"),
                format!("{role:?} is no name in identity.roles"),
            );
        }
        Tenant {
            name: tenant.name.unwrap_or_default(),
            customer,
            roles: may,
        }
    };
    given.into_iter().enumerate().map(tenant).collect()
}

fn certificates(
    faults: &mut Faults,
    given: Option<Vec<file::Named>>,
    roles: &HashSet<&str>,
    tenants: &[Tenant],
) -> Vec<Named> {
    let given = given.unwrap_or_default();
    names(
        faults,
        "identity.certificates",
        given.iter().map(|named| named.name.as_ref()),
    );
    let named = |(n, named): (usize, file::Named)| {
        let path = format!("identity.certificates[{n}]");
        let mut name = named.name.unwrap_or_default();
        if !["dns:", "uri:", "email:"]
            .iter()
            .any(|kind| name.starts_with(kind))
        {
            faults.add(
                format!("{path}.name"),
                "dns:, uri: or email: and a name is wanted",
            );
        }
        if name.starts_with("dns:") {
            name.make_ascii_lowercase();
        }
        let tenant = faults
            .wanted(&format!("{path}.tenant"), named.tenant)
            .unwrap_or_default();
        if !tenants.iter().any(|known| known.name == tenant) {
            faults.add(
                format!("{path}.tenant"),
                format!("{tenant:?} is no name in identity.tenants"),
            );
        }
        let may = faults
            .wanted(&format!("{path}.roles"), named.roles)
            .unwrap_or_default();
        for (m, role) in may
            .iter()
            .enumerate()
            .filter(|(_, role)| !roles.contains(role.as_str()))
        {
            faults.add(
                format!("{path}.roles[{m}]"),
                format!("{role:?} is no name in identity.roles"),
            );
        }
        let subject = named.subject.unwrap_or_else(|| name.clone());
        Named {
            name,
            tenant,
            subject,
            roles: may,
        }
    };
    given.into_iter().enumerate().map(named).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn whole() -> Value {
        json!({"name": "n3", "listen": "127.0.0.1:8080", "runtime": "127.0.0.2:1", "registry": "127.0.0.3:1",
            "records": "127.0.0.4:1", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {"extra": {"cores": 6, "memoryKb": 9e4}, "lanes": [{"name": "bid"}],
                "tenants": [{}, {}]}})
    }

    fn with_callers() -> Value {
        let mut all = whole();
        let root = asterdale_identity::mint::Secret::from_seed([1; 32], "r").public_text();
        all["identity"] = json!({"issuer": "i", "audience": "a", "roots": [root], "keys": {"file": "/k"},
            "roles": [{"name": "phone", "stages": ["bid"]}],
            "tenants": [{"name": "t", "customer": 1, "roles": ["phone"]}]});
        all
    }

    fn paths(all: &Value) -> Vec<String> {
        parse(all.to_string().as_bytes(), None, None)
            .unwrap_err()
            .into_iter()
            .map(|fault| fault.path)
            .collect()
    }

    #[test]
    fn variables_come_before_the_file() {
        let text = whole().to_string();
        let start = parse(
            text.as_bytes(),
            Some("n9".into()),
            Some("127.0.0.9:9".into()),
        )
        .unwrap();
        assert_eq!(
            (start.name.as_str(), start.listen.to_string().as_str()),
            ("n9", "127.0.0.9:9")
        );
        assert_eq!(
            parse(text.as_bytes(), None, None).unwrap().listen.port(),
            8080
        );
        assert_eq!(start.settings.decisions.seed, 0x8c1f_30d2_7a5b_e964);
        assert!(start.identity.is_none());
    }

    #[test]
    fn what_is_wrong_is_named_by_its_path() {
        for (field, value, path) in [
            ("runtime", json!("nowhere"), "runtime"),
            ("records", json!(5), "records"),
            ("seed", json!("xyz"), "seed"),
            ("stop_ms", json!(-1), "stop_ms"),
            ("limits", json!({"memory_mb": 192}), "limits.sockets"),
            ("settings", json!([]), "settings.lanes"),
            (
                "settings",
                json!({"extra": {"cores": 1, "memoryKb": 1}, "lanes": []}),
                "settings.lanes",
            ),
            (
                "settings",
                json!({"extra": {"cores": 1, "memoryKb": 1}, "lanes": [{}]}),
                "settings.lanes[0].name",
            ),
            (
                "settings",
                json!({"extra": {"cores": 0, "memoryKb": 1}, "lanes": [{"name": "a"}]}),
                "settings.extra.cores",
            ),
        ] {
            let mut all = whole();
            all[field] = value.clone();
            assert!(
                paths(&all).contains(&path.to_owned()),
                "{path} of {value}: {:?}",
                paths(&all)
            );
        }
        let broken = parse(b"{", None, None).unwrap_err();
        assert_eq!(broken[0].path, "start file");
    }

    #[cfg(feature = "fleet")]
    #[test]
    fn a_fleet_is_told_whole_or_each_fault_by_its_path() {
        let key = std::env::temp_dir().join(format!("asterdale-start-{}", std::process::id()));
        std::fs::write(&key, "sixteen bytes ok\n").unwrap();
        let mut all = whole();
        all["fleet"] = json!({"listen": "127.0.0.1:7000", "seeds": ["10.0.0.1:7000"], "key": key});
        let fleet = parse(all.to_string().as_bytes(), None, None)
            .unwrap()
            .fleet
            .unwrap();
        assert_eq!(
            (fleet.listen, fleet.protocol_period_ms),
            (fleet.advertise, 1000.0)
        );
        assert_eq!(fleet.key, b"sixteen bytes ok");
        for (field, value, path) in [
            ("listen", json!("here"), "fleet.listen"),
            ("listen", json!("0.0.0.0:7000"), "fleet.advertise"),
            ("seeds", json!(["one"]), "fleet.seeds[0]"),
            ("interval_ms", json!(1), "fleet.interval_ms"),
            ("key", json!("/nowhere"), "fleet.key"),
            ("keys", json!("x"), "fleet.keys"),
        ] {
            let mut wrong = all.clone();
            wrong["fleet"][field] = value;
            assert_eq!(paths(&wrong), [path], "{wrong}");
        }
        std::fs::write(&key, "short").unwrap();
        assert_eq!(paths(&all), ["fleet.key"]);
        all["upgrade"] = json!({"control": "/c"});
        assert_eq!(paths(&all), ["fleet.key", "fleet"]);
        std::fs::remove_file(key).unwrap();
    }

    #[cfg(feature = "fleet")]
    #[test]
    fn custody_is_told_whole_or_each_fault_by_its_path() {
        let key = std::env::temp_dir().join(format!("asterdale-custody-{}", std::process::id()));
        std::fs::write(&key, "sixteen bytes ok\n").unwrap();
        let mut all = whole();
        let lane = json!({"name": "bid", "repeat": "by_key", "memorySpanNs": 5_000_000_000u64});
        all["settings"]["lanes"] = json!([{"name": "page", "repeat": "repeatable"}, lane]);
        all["fleet"] = json!({"listen": "127.0.0.1:7000", "key": key});
        all["takeover"] = json!({"keepers": [{"name": "n0", "at": "127.0.0.1:7000"}],
            "stages": [{"name": "bid", "fenced": true}], "lease_ms": 1000});
        let told = parse(all.to_string().as_bytes(), None, None)
            .unwrap()
            .ownership
            .unwrap();
        assert_eq!(
            (told.replicated_classes, told.retry_window_ms, told.lease_ms),
            (vec![None, Some(true)], 5000.0, 1000.0)
        );
        for (field, value, path) in [
            ("keepers", json!([]), "takeover.keepers"),
            ("keepers", json!([{"name": "n0"}]), "takeover.keepers[0].at"),
            (
                "stages",
                json!([{"name": "page"}]),
                "takeover.stages[0].name",
            ),
            (
                "stages",
                json!([{"name": "none"}]),
                "takeover.stages[0].name",
            ),
            ("lease_ms", json!(10), "takeover.lease_ms"),
            ("memory_mb", json!(100), "takeover.memory_mb"),
            ("leases", json!(1), "takeover.leases"),
        ] {
            let mut wrong = all.clone();
            wrong["takeover"][field] = value;
            assert_eq!(paths(&wrong), [path], "{wrong}");
        }
        all["fleet"] = Value::Null;
        assert_eq!(paths(&all), ["takeover"]);
        std::fs::remove_file(key).unwrap();
    }

    #[cfg(feature = "journal")]
    #[test]
    fn what_lasts_is_told_whole_or_each_fault_by_its_path() {
        let mut all = whole();
        let lane = json!({"name": "bid", "repeat": "by_key", "memorySpanNs": 5_000_000_000u64, "deadlineNs": 2_000_000_000u64});
        all["settings"]["lanes"] = json!([lane]);
        all["journal"] = json!({"folder": "/var/lib/asterdale"});
        let told = parse(all.to_string().as_bytes(), None, None)
            .unwrap()
            .journal
            .unwrap();
        assert_eq!(
            (told.retention_ms, told.max_unread_ms, told.max_disk_bytes),
            (7000.0, 2000.0, 256_000_000)
        );
        for (field, value, path) in [
            ("folder", Value::Null, "journal.folder"),
            ("disk_mb", json!(1), "journal.disk_mb"),
            ("memory_mb", json!(0), "journal.memory_mb"),
            ("folders", json!("x"), "journal.folders"),
        ] {
            let mut wrong = all.clone();
            wrong["journal"][field] = value;
            assert_eq!(paths(&wrong), [path], "{wrong}");
        }
        all["upgrade"] = json!({"control": "/c"});
        assert_eq!(paths(&all), ["journal"]);
    }

    #[test]
    fn all_faults_are_told_at_once_and_unknown_keys_only_where_they_are_ours() {
        let mut all = with_callers();
        all["new"] = json!(1);
        all["settings"]["extra"]["new"] = json!({"a": []});
        assert!(parse(all.to_string().as_bytes(), None, None).is_ok());
        all["registry"] = Value::Null;
        all["stop_ms"] = json!("soon");
        all["settings"]["lanes"] = json!([{"name": "bid", "worth": "much"}, {"name": 5}]);
        all["identity"]["new"] = json!(1);
        all["identity"]["roots"] = json!(["short"]);
        all["identity"]["keys"] =
            json!({"file": "/k", "fetch": {"at": "127.0.0.1:1", "path": "/"}});
        all["identity"]["roles"][0]["stages"] = json!(["page"]);
        all["identity"]["tenants"] = json!([{"name": "t", "customer": 2, "roles": ["clerk"]},
            {"name": "t", "roles": []}]);
        let found = paths(&all);
        for path in [
            "registry",
            "stop_ms",
            "settings.lanes[0].worth",
            "settings.lanes[1].name",
            "identity.new",
            "identity.roots[0]",
            "identity.keys",
            "identity.roles[0].stages[0]",
            "identity.tenants[0].customer",
            "identity.tenants[0].roles[0]",
            "identity.tenants[1].name",
        ] {
            assert!(
                found.contains(&path.to_owned()),
                "{path} is not in {found:?}"
            );
        }
        assert_eq!(found.len(), 11, "{found:?}");
    }

    #[test]
    fn who_may_call_is_read_with_its_usual_figures() {
        let start = parse(with_callers().to_string().as_bytes(), None, None).unwrap();
        let IdentitySettings {
            parameters: facts,
            key_source: keys,
        } = start.identity.unwrap();
        assert_eq!(
            (facts.skew_ms, facts.cache, facts.per_edge, facts.in_all),
            (500.0, 2048, 50.0, 400.0)
        );
        assert_eq!(
            (facts.roles[0].stages.as_slice(), facts.tenants[0].customer),
            (&[0][..], 1)
        );
        assert!(matches!(keys, KeySetSource::File(path) if path == "/k"));
    }

    #[cfg(feature = "tools")]
    #[test]
    fn the_schema_in_the_docs_is_the_one_of_the_types() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/start.schema.json");
        let kept = std::fs::read_to_string(path).unwrap();
        let made = crate::cli::schema();
        assert_eq!(
            kept.trim_end(),
            made.trim_end(),
            "write it anew: asterdale schema > docs/start.schema.json"
        );
    }

    #[test]
    fn the_start_files_in_the_repository_can_be_read() {
        for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy")).unwrap()
        {
            let path = file.unwrap().path();
            if path.extension().is_some_and(|kind| kind == "json") {
                let text = std::fs::read(&path).unwrap();
                assert_eq!(
                    parse(&text, None, None).map(drop),
                    Ok(()),
                    "{}",
                    path.display()
                );
            }
        }
    }
}
