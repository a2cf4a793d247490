//! The whole state of a hot restart that an earlier release wrote is gone on with: open tasks, idempotency entries and
//! their results, keys and the link to the runtime come out as they went in. The stored fields are looked at by name
//! as well, so that a change is seen even where reading and writing change together.
//! `tests/fixtures/hot_restart/README.md` says how the file was made.

use asterdale_identity::mint::Secret;
use asterdale_identity::rights::{Role, Tenant};
use asterdale_identity::Identity;
use asterdale_parameters::Settings;
use crossbeam_channel::unbounded;
use serde_json::{json, Value};

use super::*;
use crate::counters::Counters;
use crate::engine::EnginePorts;
use crate::idempotency::Fate;
use crate::log::Log;
use crate::message::{Endpoints, Frontends};
use crate::{mailbox, records};

const STATE: &[u8] = include_bytes!("../../tests/fixtures/hot_restart/state.msgpack");

/// Seed of the tests' signs, which the passed state overrides.
const SEED: u64 = 42;
/// The module's time when the first host began.
const START_MS: f64 = 1e12;

/// Connections of nobody.
struct NoFrontends;

impl Frontends for NoFrontends {
    fn close_idle(&self, _: f64) {}
    fn open(&self) -> usize {
        0
    }
    fn close(&self) {}
    fn end_answered_connections(&self) {}
    fn aside(&self, _: bool) {}
}

/// A connection that takes every answer.
struct DiscardingConnection(u64);

impl Connection for DiscardingConnection {
    fn connection(&self) -> u64 {
        self.0
    }
    fn answer(self: Arc<Self>, _: u16, _: Reply) {}
    fn discard_request(&self) {}
}

/// Two cores, a stage that may run again and one with idempotency keys.
fn facts() -> Settings {
    let stage = |name: &str, repeat: &str| {
        json!({"name": name, "repeat": repeat, "objectiveNs": 500e6, "deadlineNs": 2000e6, "worth": 1.0,
            "lateShare": 0.2, "memorySpanNs": 5000e6})
    };
    let start = json!({
        "extra": {"cores": 2, "memoryKb": 90_000, "blowup": 16, "entryKb": 10, "below": "shared",
            "callsOut": 10, "classCalls": [true, true], "worthWithout": [0.5, 0.0],
            "upstreams": 2, "ownStats": ["core_use"]},
        "guarantees": {"startCapacity": 0.25, "coldNs": 1000e6, "overloadFactor": 5.0},
        "tickNs": 5e6, "servers": 2, "overShareWorth": 0.1,
        "lanes": [stage("read", "repeatable"), stage("bid", "by_key")],
        "tenants": [{"name": "house", "allowancePerS": 50.0}],
    });
    asterdale_parameters::from_json(SEED, &start)
}

/// Callers must show a token.
fn identity() -> Identity {
    let text = |text: &str| text.to_owned();
    let role = Role {
        name: text("clerk"),
        stages: vec![0, 1],
        open: 99,
        per_s: 1000.0,
        burst: 1000.0,
        hint_ms: f64::INFINITY,
    };
    let facts = asterdale_identity::Facts {
        seed: 5,
        issuer: text("issuer"),
        audience: text("asterdale"),
        roots: vec![Secret::from_seed([99; 32], "root").public()],
        most_age_ms: f64::INFINITY,
        skew_ms: 500.0,
        cache: 64,
        per_edge: 1000.0,
        in_all: 1000.0,
        roles: vec![role],
        tenants: vec![Tenant {
            name: text("house"),
            customer: 0,
            roles: vec![text("clerk")],
        }],
        certificates: Vec::new(),
    };
    Identity::new(START_MS, facts).unwrap()
}

/// What a host is given at its start; nobody reads what it says.
fn start() -> (EngineSettings, EnginePorts) {
    let at = ([127, 0, 0, 1], 9).into();
    let peers = Endpoints {
        runtime: at,
        registry: at,
        records: at,
    };
    let begin = EngineSettings {
        facts: Arc::new(facts()),
        memory: 64 << 20,
        stop_ms: 5000.0,
        peers,
        identity: Some(identity()),
    };
    let counters = Arc::new(Counters::default());
    let (log, _) = Log::to_stderr("test", true, slog::Level::Critical);
    let (records, _) = records::new(at, unbounded().0, counters.clone(), log.clone()).unwrap();
    let (list, _) = mailbox::open(&mio::Poll::new().unwrap(), mio::Token(0)).unwrap();
    let around = EnginePorts {
        records,
        fronts: Arc::new(NoFrontends),
        list,
        moves: unbounded().0,
        issuer: None,
        company: None,
        #[cfg(feature = "ownership")]
        custody: None,
        counters,
        log,
    };
    (begin, around)
}

fn gone_on(state: &[u8]) -> Engine {
    let (begin, around) = start();
    let client = |connection| -> Arc<dyn Connection> { Arc::new(DiscardingConnection(connection)) };
    Engine::go_on(begin, around, state, &client, None).unwrap()
}

fn decode(state: &[u8]) -> Passed {
    rmp_serde::from_slice(state).unwrap()
}

/// A state as a tree of names and values; lists whose order means nothing are put in order.
fn tree(state: &[u8]) -> Value {
    let mut tree = serde_json::to_value(decode(state)).unwrap();
    for list in ["/tasks", "/remembered/entries"] {
        let list = tree
            .pointer_mut(list)
            .and_then(Value::as_array_mut)
            .unwrap();
        list.sort_by_key(Value::to_string);
    }
    tree
}

fn id(n: u8) -> RequestId {
    *format!("00000000000000{n:02}")
        .as_bytes()
        .first_chunk()
        .unwrap()
}

fn mark(key: &[u8]) -> IdempotencyKey {
    IdempotencyKey {
        class: 1,
        tenant: 0,
        bytes: key.into(),
    }
}

#[test]
fn a_stored_state_fits_a_start_with_as_many_stages_and_no_other() {
    assert_eq!(check_state(STATE, 2), Ok(()));
    assert!(check_state(STATE, 3).is_err());
    assert!(check_state(&STATE[..STATE.len() - 1], 2).is_err());
}

#[test]
fn a_stored_state_is_written_again_byte_for_byte() {
    assert!(encode(&decode(STATE)) == STATE, "the bytes differ");
}

#[test]
fn a_host_that_went_on_passes_the_same_state() {
    assert_eq!(tree(&gone_on(STATE).pass()), tree(STATE));
}

#[test]
fn open_tasks_of_a_stored_state_come_out_as_they_went_in() {
    let mut host = gone_on(STATE);
    let gist = host.gist().unwrap();
    assert_eq!((gist.tasks, gist.limit, gist.call_window), (6, 2.0, 2.0));
    assert_eq!(
        (
            host.tasks.serial,
            host.tasks.by_serial.len(),
            host.tasks.by_way.len()
        ),
        (8, 6, 6)
    );
    assert_eq!((host.tasks.good, host.tasks.stored), (true, false));
    let link = &host.tasks.link;
    assert_eq!((link.last, link.asked, link.came), (3, 1, 0));
    assert_eq!(
        (host.tasks.now, host.callers.get(&17)),
        (1_000_000_000_001.304_3, Some(&0))
    );
    let mut task = |serial: TaskId| {
        let handle = host.tasks.by_serial[&serial];
        assert_eq!(host.tasks.by_id[&id(serial as u8)], handle);
        assert_eq!(host.tasks.by_way[&(1 << 33, serial as u16)], handle);
        host.tasks.slots[handle.index()].take().unwrap()
    };
    let at_call = task(3);
    assert_eq!(
        (at_call.stage, &at_call.body[..], at_call.mark),
        (1, &b"bid 3"[..], Some(mark(b"key-3")))
    );
    assert_eq!(
        (at_call.started, at_call.void, at_call.sent.is_some()),
        (true, false, false)
    );
    assert_eq!(at_call.wants, Some((3, b"stock?".to_vec())));
    assert_eq!(at_call.sign, 4_609_995_455_783_861_838);
    let caller = at_call.caller.unwrap();
    assert_eq!(
        (caller.tenant, caller.key.as_deref(), &caller.claims.sub[..]),
        (0, Some("k2"), "desk")
    );
    assert_eq!(
        (&caller.claims.jti[..], caller.claims.exp, caller.claims.iat),
        ("token-1", 2e9, Some(1e9))
    );
    assert!(
        at_call.seat.is_some() && task(4).seat.is_none(),
        "who waits for another takes up no place"
    );
    let running = task(6);
    assert_eq!(
        (running.stage, running.started, running.mark),
        (0, true, None)
    );
    let sent = running.sent.unwrap();
    assert_eq!(
        (sent.before, sent.was_handed(), sent.can_go(false)),
        (1, true, true)
    );
    let line = r#"{"t":"start","rid":"0000000000000006","route":"read","b64":"cmVhZCA2"}"#;
    assert_eq!(sent.line, format!("{line}\n"));
    let held = task(8);
    assert_eq!(
        (held.started, held.sent.is_some(), held.wants),
        (false, false, None)
    );
}

#[test]
fn idempotency_entries_of_a_stored_state_come_out_as_they_went_in() {
    let mut host = gone_on(STATE);
    let entries = &mut host.tasks.fingerprints;
    assert_eq!((entries.len(), entries.bytes()), (4, "sold for 7".len()));
    // The secret is the stored one: a repeat has the sign of the task that it repeats.
    assert_eq!(entries.sign(b"bid 1"), 15_236_941_030_769_685_157);
    assert!(entries.differs(&mark(b"key-1"), entries.sign(b"bid 2")));
    assert!(entries.knows(&mark(b"key-1"), 1_000_000_005_010.0));
    assert!(!entries.knows(&mark(b"key-1"), 1_000_000_005_011.0));
    assert!(
        matches!(entries.join(&mark(b"key-1"), 99), Fate::Passed(result) if &result[..] == b"sold for 7")
    );
    assert!(matches!(entries.join(&mark(b"key-2"), 99), Fate::Failed));
    assert!(matches!(entries.join(&mark(b"key-7"), 99), Fate::Open));
    let waiting = entries.ended(&mark(b"key-3"), 3, 1e12, Some(b"sold".as_slice().into()));
    assert_eq!(
        waiting,
        [4],
        "the repeat that came before still waits for it"
    );
}

#[test]
fn the_keys_of_a_stored_state_judge_tokens() {
    use asterdale_identity::keyring::Phase;
    let host = gone_on(STATE);
    let ring = host.tasks.callers.identity.as_ref().unwrap().ring();
    assert_eq!(
        (ring.seq(), ring.phase("k2", START_MS + 1.0)),
        (Some(1), Some(Phase::Active))
    );
    assert_eq!(
        ring.key("k2"),
        Some(&Secret::from_seed([2; 32], "k2").public())
    );
}

#[test]
fn the_stored_fields_have_these_names() {
    let tree = tree(STATE);
    let names = |at: &str| -> Vec<String> {
        let mut names: Vec<String> = tree
            .pointer(at)
            .and_then(Value::as_object)
            .unwrap()
            .keys()
            .cloned()
            .collect();
        names.sort();
        names
    };
    let whole = [
        "callers",
        "good",
        "identity",
        "link",
        "now",
        "remembered",
        "serial",
        "server",
        "stored",
        "tasks",
    ];
    assert_eq!(names(""), whole);
    let task = [
        "body", "caller", "handle", "id", "mark", "place", "sent", "serial", "sign", "stage",
        "started", "void", "wants", "way",
    ];
    assert_eq!(names("/tasks/0"), task);
    assert_eq!(
        names("/tasks/0/sent"),
        ["adrift", "before", "handed", "harmless", "line"]
    );
    assert_eq!(names("/tasks/0/caller"), ["claims", "key", "tenant"]);
    assert_eq!(names("/remembered"), ["entries", "secret"]);
    assert_eq!(
        names("/remembered/entries/0/0"),
        ["stage", "tenant", "text"]
    );
    let entry = ["fate", "fresh_ms", "owner", "sign", "until", "waiting"];
    assert_eq!(names("/remembered/entries/0/1"), entry);
    assert_eq!(names("/identity"), ["ring", "tenants"]);
    assert_eq!(names("/identity/ring"), ["seen", "set"]);
    assert_eq!(
        names("/identity/ring/seen/k2"),
        ["bytes", "last", "revoked"]
    );
}
