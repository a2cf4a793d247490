//! Starts the threads of the process's actors.

use std::io;
use std::thread;

/// Stack size of an actor's thread, in bytes. Actors process one event at a time and keep their buffers on the heap, so
/// they need little stack.
const STACK_BYTES: usize = 128 * 1024;

/// A thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start thread {name}")]
pub struct SpawnError {
    /// The thread's name.
    pub name: &'static str,
    /// The error of the system call.
    pub source: io::Error,
}

/// Starts an actor on a new thread with this name.
///
/// The thread is not joined: an actor runs until the process exits, which happens when the engine returns on the main
/// thread. An actor that panics ends the process.
pub fn spawn(name: &'static str, actor: impl FnOnce() + Send + 'static) -> Result<(), SpawnError> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(actor)
        .map(drop)
        .map_err(|source| SpawnError { name, source })
}
