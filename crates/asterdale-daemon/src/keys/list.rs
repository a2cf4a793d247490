//! `asterdale keys list`: prints the state that servers would derive from a key set now.

use std::path::Path;

use asterdale_identity::keyring::{KeySet, Keyring, Phase};
use asterdale_identity::mint::SecretKey;

use super::error::KeysError;
use super::files::read_key_set;
use super::unix_ms;

/// Prints the keys of a set with their phases, and its revocations.
pub fn print_key_set(path: &Path) -> Result<(), KeysError> {
    let set = read_key_set(path)?;
    let now_ms = unix_ms();
    let keyring = keyring_with_set(path, &set, now_ms)?;
    let age_seconds = (now_ms - set.issued_ms) / 1e3;
    match set.seq {
        0 => println!("not signed yet"),
        sequence => println!("set {sequence}, signed {age_seconds:.0} s ago"),
    }
    for key in &set.keys {
        let phase = keyring.phase(&key.kid, now_ms).unwrap_or(Phase::Retired);
        let relative = |time_ms: f64| format!("{:+.0} s", (time_ms - now_ms) / 1e3);
        let until = key.until_ms.map_or("no end".to_owned(), |until_ms| {
            format!("until {}", relative(until_ms))
        });
        println!(
            "{:<24} {:<10} from {}, {until}",
            key.kid,
            format!("{phase:?}"),
            relative(key.from_ms)
        );
    }
    print_revoked(&set);
    Ok(())
}

/// Returns a keyring that has adopted a copy of this set, signed with a fixed key. It computes the same phases as a
/// server's keyring.
fn keyring_with_set(path: &Path, set: &KeySet, now_ms: f64) -> Result<Keyring, KeysError> {
    let root = SecretKey::from_seed([0; 32], "show");
    let mut signed = set.clone();
    signed.seq = signed.seq.max(1);
    signed.issued_ms = signed.issued_ms.min(now_ms);
    let mut keyring = Keyring::new(vec![root.public_key()], f64::INFINITY);
    keyring
        .offer_key_set(now_ms, root.sign_key_set(&signed).as_bytes())
        .map_err(|source| KeysError::RejectedKeySet {
            path: path.to_owned(),
            source,
        })?;
    Ok(keyring)
}

fn print_revoked(set: &KeySet) {
    let revoked = &set.revoked;
    for (kind, names) in [
        ("key", &revoked.keys),
        ("token", &revoked.tokens),
        ("subject", &revoked.subjects),
        ("tenant", &revoked.tenants),
    ] {
        let mut names: Vec<&String> = names.iter().collect();
        names.sort();
        for name in names {
            println!("revoked {kind} {name}");
        }
    }
}
