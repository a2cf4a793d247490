//! Files of secret keys and key sets. A file is replaced atomically: a concurrent reader sees the old content or the
//! new one, never a part.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use asterdale_identity::keyring::KeySet;
use asterdale_identity::mint::SecretKey;

use super::error::KeysError;

/// Permissions of a secret key file: only its owner can read and write it.
const SECRET_KEY_MODE: u32 = 0o600;

/// Reads a secret key.
///
/// # Errors
/// If the file can't be read, or does not contain a secret key.
pub fn read_secret_key(path: &Path) -> Result<SecretKey, KeysError> {
    let text = fs::read_to_string(path).map_err(KeysError::file(path))?;
    let text = zeroize::Zeroizing::new(text);
    SecretKey::from_jwk(&text).map_err(|source| KeysError::SecretKeyFile {
        path: path.to_owned(),
        source,
    })
}

/// Writes a secret key to a new file. Fails if the file exists, as it may contain a key that is in use.
pub fn create_secret_key(path: &Path, key: &SecretKey) -> Result<(), KeysError> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_KEY_MODE)
        .open(path)
        .map_err(KeysError::file(path))?;
    file.write_all(key.to_jwk().as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(KeysError::file(path))
}

/// Reads a key set.
pub fn read_key_set(path: &Path) -> Result<KeySet, KeysError> {
    let text = fs::read(path).map_err(KeysError::file(path))?;
    serde_json::from_slice(&text).map_err(|source| KeysError::KeySetFile {
        path: path.to_owned(),
        source,
    })
}

/// Writes a key set.
pub fn write_key_set(path: &Path, set: &KeySet) -> Result<(), KeysError> {
    let text = serde_json::to_vec_pretty(set)?;
    replace_file(path, &text)
}

/// Reads a key set, changes it and writes it back.
pub fn change_key_set(
    path: &Path,
    change: impl FnOnce(&mut KeySet) -> Result<(), KeysError>,
) -> Result<(), KeysError> {
    let mut set = read_key_set(path)?;
    change(&mut set)?;
    write_key_set(path, &set)
}

/// Replaces a file: writes a temporary file in the same directory and renames it.
pub fn replace_file(path: &Path, content: &[u8]) -> Result<(), KeysError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    let result = fs::File::create(&temporary)
        .and_then(|mut file| file.write_all(content).and_then(|()| file.sync_all()))
        .and_then(|()| fs::rename(&temporary, path));
    result.map_err(|e| {
        // A failed removal is ignored: the first error is the one to report.
        let _ = fs::remove_file(&temporary);
        KeysError::file(path)(e)
    })
}
