//! Starts the threads of the process's actors.

use std::io;
use std::thread;

/// Stack size of an actor's thread, in bytes. Actors wait for one thing at a time and keep their buffers on the heap.
const STACK_BYTES: usize = 128 * 1024;

/// A thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("no thread for {name}")]
pub struct SpawnError {
    /// The thread's name.
    pub name: &'static str,
    /// Why.
    pub source: io::Error,
}

/// Starts an actor on a thread of this name.
///
/// The thread is not joined: an actor runs until the process exits, which happens when the engine's thread, the main one,
/// returns. An actor that panics ends the process.
pub fn spawn(name: &'static str, actor: impl FnOnce() + Send + 'static) -> Result<(), SpawnError> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(actor)
        .map(drop)
        .map_err(|source| SpawnError { name, source })
}
