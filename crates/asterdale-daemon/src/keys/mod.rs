//! `asterdale keys`: makes secret keys, and changes and signs key sets, on files. What a command does to a key set is
//! decided in `asterdale_identity`.

mod duration;
mod error;
mod files;
mod list;

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};

pub use asterdale_engine::engine::unix_ms;
use asterdale_identity::keyring::{parse_public_key, KeySet, Keyring};
use asterdale_identity::mint::SecretKey;
use clap::{Args, Subcommand};

pub use duration::parse_duration_ms;
pub use error::KeysError;
pub use files::read_secret_key;
use files::{change_key_set, create_secret_key, read_key_set, replace, write_key_set};

/// The commands on keys. Their texts are the help of the command line.
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
        #[arg(long = "in", value_name = "AFTER", default_value = "0s", value_parser = parse_duration_ms)]
        delay_ms: f64,
    },
    /// Let a key sign from now on; the one that signed goes, and is served for the overlap
    Activate {
        /// The set
        set: PathBuf,
        /// The key's id
        id: String,
        /// How long the outgoing key is still served
        #[arg(long = "overlap", value_name = "OVERLAP", default_value = "1h", value_parser = parse_duration_ms)]
        overlap_ms: f64,
    },
    /// Let a key be served no more
    Retire {
        /// The set
        set: PathBuf,
        /// The key's id
        id: String,
        /// So long from now
        #[arg(long = "in", value_name = "AFTER", default_value = "0s", value_parser = parse_duration_ms)]
        delay_ms: f64,
    },
    /// Revoke keys, tokens, subjects or tenants, at once and for good
    Revoke {
        /// The set
        set: PathBuf,
        /// What
        #[command(flatten)]
        names: RevokedNames,
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
pub struct RevokedNames {
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

/// Runs a command.
///
/// # Errors
/// If a file can't be read or written, or the key set rejects the change.
pub fn run(command: Command) -> Result<(), KeysError> {
    match command {
        Command::New { id, out } => make_secret_key(&id, &out),
        Command::List { set } => list::print_key_set(&set),
        Command::Announce { set, key, delay_ms } => announce(&set, &key, delay_ms),
        Command::Activate {
            set,
            id,
            overlap_ms,
        } => change_key_set(&set, |set| Ok(set.activate(unix_ms(), &id, overlap_ms)?)),
        Command::Retire { set, id, delay_ms } => {
            change_key_set(&set, |set| Ok(set.retire(&id, unix_ms() + delay_ms)?))
        }
        Command::Revoke { set, names } => change_key_set(&set, |set| revoke(set, names)),
        Command::SignSet { set, root, out } => sign_key_set(&set, &root, &out),
    }
}

fn make_secret_key(id: &str, out: &Path) -> Result<(), KeysError> {
    let key = SecretKey::generate(id)?;
    create_secret_key(out, &key)?;
    println!("{}", key.public_key_text());
    Ok(())
}

fn announce(path: &Path, key: &Path, delay_ms: f64) -> Result<(), KeysError> {
    let key = read_secret_key(key)?;
    let mut set = if path.exists() {
        read_key_set(path)?
    } else {
        KeySet::empty()
    };
    let now_ms = unix_ms();
    set.announce(now_ms, key.id(), &key.public_key_text(), now_ms + delay_ms)?;
    // Only public keys may be written to a key set.
    debug_assert!(set
        .keys
        .iter()
        .all(|key| parse_public_key(&key.public_key).is_some()));
    write_key_set(path, &set)
}

fn revoke(set: &mut KeySet, names: RevokedNames) -> Result<(), KeysError> {
    let without_tenant = names.subject.iter().find(|name| !name.contains('/'));
    if let Some(subject) = without_tenant {
        return Err(KeysError::SubjectWithoutTenant(subject.clone()));
    }
    set.revoked.keys.extend(names.key);
    set.revoked.tokens.extend(names.token);
    set.revoked.subjects.extend(names.subject);
    set.revoked.tenants.extend(names.tenant);
    Ok(())
}

/// Signs a key set. Its new sequence number is written before the signed set, so that no two signed sets have the same.
fn sign_key_set(path: &Path, root: &Path, out: &Path) -> Result<(), KeysError> {
    let root = read_secret_key(root)?;
    let mut set = read_key_set(path)?;
    set.advance_sequence(unix_ms());
    write_key_set(path, &set)?;
    let text = root.sign_key_set(&set);
    let mut keyring = Keyring::new(vec![root.public_key()], f64::INFINITY);
    keyring
        .offer_key_set(unix_ms(), text.as_bytes())
        .map_err(KeysError::UnusableKeySet)?;
    replace(out, text.as_bytes())?;
    println!("set {} with {} keys", set.seq, set.keys.len());
    Ok(())
}
