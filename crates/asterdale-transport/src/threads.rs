//! Thread creation.

use std::io;
use std::thread;

/// The stack size of a thread. Small, because all large buffers are on the heap.
const STACK_BYTES: usize = 256 * 1024;

/// Starts a named thread. It runs as long as the process, blocked in the kernel most of the time, and is not joined.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)
        .map(drop)
}
