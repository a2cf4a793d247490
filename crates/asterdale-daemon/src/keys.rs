//! `asterdale keys`: secret keys and sets of keys, on files. What a command does to a set is decided in
//! [`asterdale_identity::publish`]; here files are read and written, each whole or not at all.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

pub use asterdale_engine::engine::unix_ms as now;
use asterdale_identity::keyring::{parse_public_key, KeySet, Keyring, Phase};
use asterdale_identity::mint::SecretKey;
use clap::{Args, Subcommand};

/// What can be done with keys.
#[derive(Subcommand)]
pub enum Command {
    /// Make a secret key (a root, or one that signs tokens), and print its public half
    New {
        /// Its id, which no other key may have had
        #[arg(long)]
        id: String,
        /// The file to make, readable by its owner alone
        #[arg(long)]
        out: PathBuf,
    },
    /// Print the keys of a set and where each is in its life, and what is revoked
    List {
        /// The set, as the other commands keep it
        set: PathBuf,
    },
    /// Put a key into the set that signs from a later time on; makes the set if there is none
    Announce {
        /// The set
        set: PathBuf,
        /// The secret key, of which only the public half goes into the set
        #[arg(long)]
        key: PathBuf,
        /// From when on it signs: so long from now, as 90s, 10m, 2h or 1d
        #[arg(long = "in", default_value = "0s", value_parser = duration)]
        after: f64,
    },
    /// Let a key sign from now on; the one that signed goes, and is served for the overlap
    Activate {
        /// The set
        set: PathBuf,
        /// The key's id
        id: String,
        /// How long the outgoing key is still served
        #[arg(long, default_value = "1h", value_parser = duration)]
        overlap: f64,
    },
    /// Let a key be served no more
    Retire {
        /// The set
        set: PathBuf,
        /// The key's id
        id: String,
        /// So long from now
        #[arg(long = "in", default_value = "0s", value_parser = duration)]
        after: f64,
    },
    /// Revoke keys, tokens, subjects or tenants, at once and for good
    Revoke {
        /// The set
        set: PathBuf,
        /// What
        #[command(flatten)]
        what: What,
    },
    /// Number, date and sign the set: the file that servers read, or an issuer hands out
    SignSet {
        /// The set
        set: PathBuf,
        /// The root's secret key
        #[arg(long)]
        root: PathBuf,
        /// The file to write
        #[arg(long)]
        out: PathBuf,
    },
}

/// What is revoked.
#[derive(Args)]
#[group(required = true, multiple = true)]
pub struct What {
    /// Ids of keys
    #[arg(long)]
    key: Vec<String>,
    /// Ids (`jti`) of tokens
    #[arg(long)]
    token: Vec<String>,
    /// Subjects, as TENANT/SUBJECT
    #[arg(long)]
    subject: Vec<String>,
    /// Tenants
    #[arg(long)]
    tenant: Vec<String>,
}

/// Milliseconds of a span of time as people write it.
pub fn duration(text: &str) -> Result<f64, String> {
    let at = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(at);
    let unit = match unit {
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 6e4,
        "h" => 3.6e6,
        "d" => 8.64e7,
        _ => return Err("a number with ms, s, m, h or d is wanted".to_owned()),
    };
    number
        .parse::<f64>()
        .map(|number| number * unit)
        .map_err(|_| format!("{number:?} is no number"))
}

fn at(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Reads a secret key.
pub fn secret(path: &Path) -> Result<SecretKey, String> {
    let text = zeroize::Zeroizing::new(fs::read_to_string(path).map_err(at(path))?);
    SecretKey::from_jwk(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read(path: &Path) -> Result<KeySet, String> {
    let text = fs::read(path).map_err(at(path))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes a file whole or not at all: whoever reads it meanwhile has the old one.
fn write(path: &Path, text: &[u8]) -> Result<(), String> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}", std::process::id()));
    let beside = PathBuf::from(beside);
    let written = fs::File::create(&beside)
        .and_then(|mut file| file.write_all(text).and_then(|()| file.sync_all()))
        .and_then(|()| fs::rename(&beside, path));
    written.map_err(|e| {
        let _ = fs::remove_file(&beside);
        at(path)(e)
    })
}

fn change<E: ToString>(
    path: &Path,
    change: impl FnOnce(&mut KeySet) -> Result<(), E>,
) -> Result<(), String> {
    let mut set = read(path)?;
    change(&mut set).map_err(|error| error.to_string())?;
    keep(path, &set)
}

fn keep(path: &Path, set: &KeySet) -> Result<(), String> {
    write(
        path,
        &serde_json::to_vec_pretty(set).map_err(|e| e.to_string())?,
    )
}

fn new(id: &str, out: &Path) -> Result<(), String> {
    let secret = SecretKey::generate(id).map_err(|error| error.to_string())?;
    // A file that is there already may hold a key that is in use.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(out)
        .map_err(at(out))?;
    file.write_all(secret.to_jwk().as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(at(out))?;
    println!("{}", secret.public_key_text());
    Ok(())
}

fn list(path: &Path) -> Result<(), String> {
    let (set, now) = (read(path)?, now());
    // The phases are told by the ring itself, so that nothing else is shown than what servers do.
    let root = SecretKey::from_seed([0; 32], "show");
    let mut shown = set.clone();
    shown.seq = shown.seq.max(1);
    shown.issued_ms = shown.issued_ms.min(now);
    let mut ring = Keyring::new(vec![root.public_key()], f64::INFINITY);
    ring.offer_key_set(now, root.sign_key_set(&shown).as_bytes())
        .map_err(|why| format!("{}: {why:?}", path.display()))?;
    let ago = (now - set.issued_ms) / 1e3;
    match set.seq {
        0 => println!("not signed yet"),
        seq => println!("set {seq}, signed {ago:.0} s ago"),
    }
    for key in &set.keys {
        let phase = ring.phase(&key.kid, now).unwrap_or(Phase::Retired);
        let seconds = |at: f64| format!("{:+.0} s", (at - now) / 1e3);
        let until = key.until_ms.map_or("no end".to_owned(), |until| {
            format!("until {}", seconds(until))
        });
        println!(
            "{:<24} {:<10} from {}, {until}",
            key.kid,
            format!("{phase:?}"),
            seconds(key.from_ms)
        );
    }
    let revoked = &set.revoked;
    for (kind, names) in [
        ("key", &revoked.keys),
        ("token", &revoked.tokens),
        ("subject", &revoked.subjects),
        ("tenant", &revoked.tenants),
    ] {
        let mut names: Vec<&String> = names.iter().collect();
        names.sort();
        names
            .iter()
            .for_each(|name| println!("revoked {kind} {name}"));
    }
    Ok(())
}

/// Does it.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::New { id, out } => new(&id, &out),
        Command::List { set } => list(&set),
        Command::Announce { set, key, after } => {
            let secret = secret(&key)?;
            let mut all = if set.exists() {
                read(&set)?
            } else {
                KeySet::empty()
            };
            let now = now();
            all.announce(now, secret.id(), &secret.public_key_text(), now + after)
                .map_err(|error| error.to_string())?;
            // A file is made only by the first key, whose public half alone it tells.
            debug_assert!(all
                .keys
                .iter()
                .all(|key| parse_public_key(&key.public_key).is_some()));
            keep(&set, &all)
        }
        Command::Activate { set, id, overlap } => {
            change(&set, |set| set.activate(now(), &id, overlap))
        }
        Command::Retire { set, id, after } => change(&set, |set| set.retire(&id, now() + after)),
        Command::Revoke { set, what } => change(&set, |set| {
            if let Some(bad) = what.subject.iter().find(|name| !name.contains('/')) {
                return Err(format!("--subject {bad}: TENANT/SUBJECT is wanted"));
            }
            set.revoked.keys.extend(what.key);
            set.revoked.tokens.extend(what.token);
            set.revoked.subjects.extend(what.subject);
            set.revoked.tenants.extend(what.tenant);
            Ok(())
        }),
        Command::SignSet { set, root, out } => {
            let root = secret(&root)?;
            let mut all = read(&set)?;
            all.advance_sequence(now());
            // The number is kept first: a set that was signed never shares its number with another.
            keep(&set, &all)?;
            let text = root.sign_key_set(&all);
            let mut ring = Keyring::new(vec![root.public_key()], f64::INFINITY);
            let good = ring.offer_key_set(now(), text.as_bytes());
            good.map_err(|why| format!("no server would take this set: {why:?}"))?;
            write(&out, text.as_bytes())?;
            println!("set {} with {} keys", all.seq, all.keys.len());
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::PermissionsExt;

    #[test]
    fn spans_of_time_are_read() {
        for (text, ms) in [
            ("90s", 90e3),
            ("1.5m", 90e3),
            ("2h", 7.2e6),
            ("1d", 8.64e7),
            ("5ms", 5.0),
        ] {
            assert_eq!(duration(text), Ok(ms));
        }
        assert!(["", "5", "s", "-5s", "5 s", "1.2.3s"]
            .iter()
            .all(|text| duration(text).is_err()));
    }

    #[test]
    fn keys_go_from_their_making_to_a_signed_set_on_files() {
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
            new(id, file).unwrap();
            assert_eq!(
                fs::metadata(file).unwrap().permissions().mode() & 0o777,
                0o600
            );
        }
        assert!(new("one", &one).is_err(), "a key was written over");
        let announce = |key: &PathBuf, after| Command::Announce {
            set: set.clone(),
            key: key.clone(),
            after,
        };
        run(announce(&one, 0.0)).unwrap();
        run(announce(&two, 1e6)).unwrap();
        assert!(run(announce(&two, 0.0)).is_err());
        run(Command::Activate {
            set: set.clone(),
            id: "two".into(),
            overlap: 5e5,
        })
        .unwrap();
        let what = What {
            key: vec![],
            token: vec!["t".into()],
            subject: vec![],
            tenant: vec![],
        };
        run(Command::Revoke {
            set: set.clone(),
            what,
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
        list(&set).unwrap();
        let mut ring = Keyring::new(vec![secret(&root).unwrap().public_key()], f64::INFINITY);
        ring.offer_key_set(now(), &fs::read(&out).unwrap()).unwrap();
        let phases = ["one", "two"].map(|id| ring.phase(id, now()));
        assert_eq!(
            (ring.sequence(), phases),
            (Some(2), [Some(Phase::Outgoing), Some(Phase::Active)])
        );
        let text = fs::read_to_string(&set).unwrap();
        assert!(!text.contains("\"d\""), "a secret half is in the set");
        fs::remove_dir_all(&folder).unwrap();
    }
}
