//! Tests of the commands on keys: durations, and the lifecycle of a key set in files.

use std::fs;
use std::os::unix::fs::PermissionsExt;

use asterdale_identity::keyring::Phase;

use super::*;

#[test]
fn durations_are_parsed() {
    for (text, ms) in [
        ("90s", 90e3),
        ("1.5m", 90e3),
        ("2h", 7.2e6),
        ("1d", 8.64e7),
        ("5ms", 5.0),
    ] {
        assert_eq!(parse_duration_ms(text), Ok(ms));
    }
    assert!(["", "5", "s", "-5s", "5 s", "1.2.3s"]
        .iter()
        .all(|text| parse_duration_ms(text).is_err()));
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn keys_are_generated_announced_activated_revoked_and_signed_on_files() {
    let folder = std::env::temp_dir().join(format!("asterdale-keys-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = |name: &str| folder.join(name);
    let (root, one, two, set, out) = (
        path("root"),
        path("one"),
        path("two"),
        path("set"),
        path("out"),
    );
    for (id, file) in [("root", &root), ("one", &one), ("two", &two)] {
        generate_secret_key(id, file).unwrap();
        assert_eq!(
            fs::metadata(file).unwrap().permissions().mode() & 0o777,
            0o600
        );
    }
    assert!(
        generate_secret_key("one", &one).is_err(),
        "an existing key was overwritten"
    );
    let announce = |key: &PathBuf, delay_ms| Command::Announce {
        set: set.clone(),
        key: key.clone(),
        delay_ms,
    };
    run(announce(&one, 0.0)).unwrap();
    run(announce(&two, 1e6)).unwrap();
    assert!(run(announce(&two, 0.0)).is_err());
    run(Command::Activate {
        set: set.clone(),
        id: "two".into(),
        overlap_ms: 5e5,
    })
    .unwrap();
    let names = RevokedNames {
        key: vec![],
        token: vec!["t".into()],
        subject: vec![],
        tenant: vec![],
    };
    run(Command::Revoke {
        set: set.clone(),
        names,
    })
    .unwrap();
    for _ in 0..2 {
        run(Command::SignSet {
            set: set.clone(),
            root: root.clone(),
            out: out.clone(),
        })
        .unwrap();
    }
    list::print_key_set(&set).unwrap();
    let mut keyring = Keyring::new(
        vec![read_secret_key(&root).unwrap().public_key()],
        f64::INFINITY,
    );
    keyring
        .offer_key_set(unix_ms(), &fs::read(&out).unwrap())
        .unwrap();
    let phases = ["one", "two"].map(|id| keyring.phase(id, unix_ms()));
    assert_eq!(
        (keyring.sequence(), phases),
        (Some(2), [Some(Phase::Outgoing), Some(Phase::Active)])
    );
    let text = fs::read_to_string(&set).unwrap();
    assert!(!text.contains("\"d\""), "a secret key is in the set");
    fs::remove_dir_all(&folder).unwrap();
}
