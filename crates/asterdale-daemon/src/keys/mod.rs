//! `asterdale keys`: generates secret keys, and changes and signs key set files. The operations on key sets are those
//! of `asterdale_identity`.

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
use files::{change_key_set, create_secret_key, read_key_set, replace_file, write_key_set};

/// The subcommands of `asterdale keys`. Their doc comments are the help texts of the command line.
#[derive(Subcommand)]
pub enum Command {
    /// Generate a secret key (a root key, or one that signs tokens) and print its public key
    New {
        /// Id of the key; must differ from the id of every earlier key
        #[arg(long)]
        id: String,
        /// File to create; only its owner can read it
        #[arg(long)]
        out: PathBuf,
    },
    /// Print the keys of a set with their phases, and what is revoked
    List {
        /// Key set file, as written by the other commands
        set: PathBuf,
    },
    /// Add a key that will sign from a later time on; creates the key set file if there is none
    Announce {
        /// Key set file
        set: PathBuf,
        /// Secret key file; only the public key is added to the set
        #[arg(long)]
        key: PathBuf,
        /// When the key starts to sign, as a time from now such as 90s, 10m, 2h or 1d
        #[arg(long = "in", value_name = "AFTER", default_value = "0s", value_parser = parse_duration_ms)]
        delay_ms: f64,
    },
    /// Make a key the signing key from now on; the previous one is retired after the overlap
    Activate {
        /// Key set file
        set: PathBuf,
        /// Id of the key
        id: String,
        /// How long tokens of the outgoing key are still accepted
        #[arg(long = "overlap", value_name = "OVERLAP", default_value = "1h", value_parser = parse_duration_ms)]
        overlap_ms: f64,
    },
    /// Retire a key: its tokens are no longer accepted
    Retire {
        /// Key set file
        set: PathBuf,
        /// Id of the key
        id: String,
        /// When the key is retired, as a time from now
        #[arg(long = "in", value_name = "AFTER", default_value = "0s", value_parser = parse_duration_ms)]
        delay_ms: f64,
    },
    /// Revoke keys, tokens, subjects or tenants, immediately and permanently
    Revoke {
        /// Key set file
        set: PathBuf,
        /// What to revoke
        #[command(flatten)]
        names: RevokedNames,
    },
    /// Sign the set with a new sequence number and date, for servers to read or an issuer to serve
    SignSet {
        /// Key set file
        set: PathBuf,
        /// Secret key file of the root
        #[arg(long)]
        root: PathBuf,
        /// File to write the signed set to
        #[arg(long)]
        out: PathBuf,
    },
}

/// What to revoke.
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
        Command::New { id, out } => generate_secret_key(&id, &out),
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

fn generate_secret_key(id: &str, out: &Path) -> Result<(), KeysError> {
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

/// Signs a key set. Writes the new sequence number to the key set before it writes the signed set, so that no two
/// signed sets have the same number.
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
    replace_file(out, text.as_bytes())?;
    println!("set {} with {} keys", set.seq, set.keys.len());
    Ok(())
}
