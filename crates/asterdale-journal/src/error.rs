//! Errors of the stored files: a lock held by another process, damaged contents, disk failures.

use std::io;
use std::path::PathBuf;

/// Why stored contents cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Damage {
    /// The database library reports that the file is inconsistent or is not one of its files.
    #[error(transparent)]
    Database(#[from] Box<redb::Error>),
    /// The integrity check had to repair pages.
    #[error("the integrity check had to repair pages")]
    Integrity,
    /// The database library panicked while it read the file.
    #[error("the database library panicked while reading")]
    LibraryPanic,
    /// The folder's header cannot be decoded.
    #[error("the folder header cannot be decoded")]
    Header,
}

/// Why a file cannot be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process holds the lock on the file.
    #[error("another process has this folder")]
    Locked,
    /// The contents are damaged, or were written by another program.
    #[error("the stored contents are damaged: {0}")]
    Damaged(#[source] Damage),
    /// The database could not read from or write to the disk, for example because the disk is full. The last commit may or
    /// may not be on disk.
    #[error("the disk failed: {0}")]
    Database(#[source] Box<redb::Error>),
    /// A file system operation failed.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The file or folder of the operation.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl StoreError {
    /// An error of the database library that does not imply damaged contents.
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }

    /// An error of the database library that implies damaged contents.
    pub(crate) fn damaged(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Damaged(Damage::Database(Box::new(error.into())))
    }
}

/// Why the journal cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder cannot be opened or written.
    #[error("{folder}: {source}", folder = folder.display())]
    Store {
        /// The journal's folder.
        folder: PathBuf,
        /// The error.
        source: StoreError,
    },
    /// A damaged file cannot be renamed.
    #[error("{path}: {source}", path = path.display())]
    MoveDamagedFile {
        /// The damaged file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder belongs to a process of another name.
    #[error("{folder}: it is the folder of {owner}", folder = folder.display())]
    WrongOwner {
        /// The journal's folder.
        folder: PathBuf,
        /// The name in the folder's header.
        owner: String,
    },
    /// The journal's thread cannot be started.
    #[error("the journal's thread cannot be started: {0}")]
    Thread(#[source] io::Error),
}
