//! Tests of loading the start file: precedence, faults and their paths, defaults, the schema, the files in `deploy`.

use serde_json::{json, Value};

use super::*;

fn minimal_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:8080", "runtime": "127.0.0.2:1", "registry": "127.0.0.3:1",
        "records": "127.0.0.4:1", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {"extra": {"cores": 6, "memoryKb": 9e4}, "lanes": [{"name": "bid"}],
            "tenants": [{}, {}]}})
}

fn config_with_identity() -> Value {
    let mut config = minimal_config();
    let root = asterdale_identity::mint::SecretKey::from_seed([1; 32], "r").public_key_text();
    config["identity"] = json!({"issuer": "i", "audience": "a", "roots": [root], "keys": {"file": "/k"},
        "roles": [{"name": "phone", "stages": ["bid"]}],
        "tenants": [{"name": "t", "customer": 1, "roles": ["phone"]}]});
    config
}

/// The paths of all faults in this file.
fn fault_paths(config: &Value) -> Vec<String> {
    parse(config.to_string().as_bytes(), None, None)
        .unwrap_err()
        .faults()
        .iter()
        .map(|fault| fault.path.clone())
        .collect()
}

#[test]
fn environment_variables_take_precedence_over_the_file() {
    let text = minimal_config().to_string();
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
fn each_fault_has_the_path_of_its_field() {
    for (field, value, path) in [
        ("runtime", json!("nowhere"), "runtime"),
        ("records", json!(5), "records"),
        ("seed", json!("xyz"), "seed"),
        ("stop_ms", json!(-1), "stop_ms"),
        ("limits", json!({"memory_mb": 192}), "limits.sockets"),
        ("limits", json!({"sockets": 1024}), "limits.memory_mb"),
        (
            "limits",
            json!({"memory_mb": 7, "sockets": 1024}),
            "limits.memory_mb",
        ),
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
        let mut config = minimal_config();
        config[field] = value.clone();
        assert!(
            fault_paths(&config).contains(&path.to_owned()),
            "{path} of {value}: {:?}",
            fault_paths(&config)
        );
    }
    let broken = parse(b"{", None, None).unwrap_err();
    assert_eq!(broken.faults()[0].path, "start file");
}

#[cfg(feature = "fleet")]
#[test]
fn faults_in_the_fleet_section_have_their_paths() {
    let key = std::env::temp_dir().join(format!("asterdale-start-{}", std::process::id()));
    std::fs::write(&key, "sixteen bytes ok\n").unwrap();
    let mut config = minimal_config();
    config["fleet"] = json!({"listen": "127.0.0.1:7000", "seeds": ["10.0.0.1:7000"], "key": key});
    let fleet = parse(config.to_string().as_bytes(), None, None)
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
        let mut wrong = config.clone();
        wrong["fleet"][field] = value;
        assert_eq!(fault_paths(&wrong), [path], "{wrong}");
    }
    std::fs::write(&key, "short").unwrap();
    assert_eq!(fault_paths(&config), ["fleet.key"]);
    config["upgrade"] = json!({"control": "/c"});
    assert_eq!(fault_paths(&config), ["fleet.key", "fleet"]);
    std::fs::remove_file(key).unwrap();
}

#[cfg(feature = "fleet")]
#[test]
fn faults_in_the_ownership_section_have_their_paths() {
    let key =
        std::env::temp_dir().join(format!("asterdale-start-ownership-{}", std::process::id()));
    std::fs::write(&key, "sixteen bytes ok\n").unwrap();
    let mut config = minimal_config();
    let class = json!({"name": "bid", "repeat": "by_key", "memorySpanNs": 5_000_000_000u64});
    config["settings"]["lanes"] = json!([{"name": "page", "repeat": "repeatable"}, class]);
    config["fleet"] = json!({"listen": "127.0.0.1:7000", "key": key});
    config["takeover"] = json!({"keepers": [{"name": "n0", "at": "127.0.0.1:7000"}],
        "stages": [{"name": "bid", "fenced": true}], "lease_ms": 1000});
    let section = parse(config.to_string().as_bytes(), None, None)
        .unwrap()
        .ownership
        .unwrap();
    assert_eq!(
        (
            section.replicated_classes,
            section.retry_window_ms,
            section.lease_ms
        ),
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
        let mut wrong = config.clone();
        wrong["takeover"][field] = value;
        assert_eq!(fault_paths(&wrong), [path], "{wrong}");
    }
    config["fleet"] = Value::Null;
    assert_eq!(fault_paths(&config), ["takeover"]);
    std::fs::remove_file(key).unwrap();
}

#[cfg(feature = "journal")]
#[test]
fn faults_in_the_journal_section_have_their_paths() {
    let mut config = minimal_config();
    let class = json!({"name": "bid", "repeat": "by_key", "memorySpanNs": 5_000_000_000u64, "deadlineNs": 2_000_000_000u64});
    config["settings"]["lanes"] = json!([class]);
    config["journal"] = json!({"folder": "/var/lib/asterdale"});
    let section = parse(config.to_string().as_bytes(), None, None)
        .unwrap()
        .journal
        .unwrap();
    assert_eq!(
        (
            section.retention_ms,
            section.max_unread_ms,
            section.max_disk_bytes
        ),
        (7000.0, 2000.0, 256_000_000)
    );
    for (field, value, path) in [
        ("folder", Value::Null, "journal.folder"),
        ("disk_mb", json!(1), "journal.disk_mb"),
        ("memory_mb", json!(0), "journal.memory_mb"),
        ("folders", json!("x"), "journal.folders"),
    ] {
        let mut wrong = config.clone();
        wrong["journal"][field] = value;
        assert_eq!(fault_paths(&wrong), [path], "{wrong}");
    }
    config["upgrade"] = json!({"control": "/c"});
    assert_eq!(fault_paths(&config), ["journal"]);
}

#[test]
fn all_faults_are_reported_at_once_and_unknown_keys_in_strict_sections_only() {
    let mut config = config_with_identity();
    config["new"] = json!(1);
    config["settings"]["extra"]["new"] = json!({"a": []});
    assert!(parse(config.to_string().as_bytes(), None, None).is_ok());
    config["registry"] = Value::Null;
    config["stop_ms"] = json!("soon");
    config["settings"]["lanes"] = json!([{"name": "bid", "worth": "much"}, {"name": 5}]);
    config["identity"]["new"] = json!(1);
    config["identity"]["roots"] = json!(["short"]);
    config["identity"]["keys"] = json!({"file": "/k", "fetch": {"at": "127.0.0.1:1", "path": "/"}});
    config["identity"]["roles"][0]["stages"] = json!(["page"]);
    config["identity"]["tenants"] = json!([{"name": "t", "customer": 2, "roles": ["clerk"]},
        {"name": "t", "roles": []}]);
    let found = fault_paths(&config);
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
fn identity_defaults_are_applied() {
    let start = parse(config_with_identity().to_string().as_bytes(), None, None).unwrap();
    let IdentitySettings {
        parameters,
        key_source: keys,
    } = start.identity.unwrap();
    assert_eq!(
        (
            parameters.clock_skew_ms,
            parameters.cached_tokens,
            parameters.signatures_per_edge_per_s,
            parameters.signatures_per_s
        ),
        (500.0, 2048, 50.0, 400.0)
    );
    assert_eq!(
        (
            parameters.roles[0].request_classes.as_slice(),
            parameters.tenants[0].scheduling_tenant
        ),
        (&[0][..], 1)
    );
    assert!(matches!(keys, KeySetSource::File(path) if path == "/k"));
}

#[cfg(feature = "tools")]
#[test]
fn the_schema_in_the_docs_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/start.schema.json");
    let stored = std::fs::read_to_string(path).unwrap();
    let generated = crate::cli::schema();
    assert_eq!(
        stored.trim_end(),
        generated.trim_end(),
        "outdated; regenerate it with: asterdale schema > docs/start.schema.json"
    );
}

#[test]
fn the_start_files_in_the_repository_are_valid() {
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy")).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|kind| kind == "json") {
            let text = std::fs::read(&path).unwrap();
            if let Err(e) = parse(&text, None, None) {
                panic!("{}: {e}", path.display());
            }
        }
    }
}

#[test]
fn faults_have_these_texts() {
    let mut config = config_with_identity();
    config["runtime"] = json!("nowhere");
    config["seed"] = json!("xyz");
    config["stop_ms"] = json!(0);
    config["limits"] = json!({"memory_mb": 192, "sockets": "many"});
    config["settings"]["lanes"] = json!([{"name": ""}]);
    config["identity"]["issuer"] = json!("");
    config["identity"]["roles"] =
        json!([{"name": "phone", "stages": ["bid"]}, {"name": "phone", "stages": []}]);
    let error = parse(config.to_string().as_bytes(), None, Some("here".to_owned())).unwrap_err();
    let texts: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            // Values of a wrong type come first, in the order of the JSON's keys.
            r#"limits.sockets: invalid type: string "many", expected f64"#,
            r#"runtime: "nowhere" is not an IP address with a port"#,
            r#"seed: "xyz" is not 1 to 16 hexadecimal digits"#,
            "stop_ms: 0 is not a number above 0",
            r#"ROUTER_LISTEN: "here" is not an IP address with a port"#,
            "settings.lanes[0].name: is empty",
            "identity.issuer: is empty",
            r#"identity.roles[1].name: duplicate name "phone""#,
            r#"identity.roles[0].stages[0]: "bid" is not a name in settings.lanes"#,
        ]
    );
    assert_eq!(error.to_string(), texts.join("; "));
}
