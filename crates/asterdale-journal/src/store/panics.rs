//! Converts panics of the database library into errors: for some kinds of damage the library panics instead of returning an
//! error.

use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};

use crate::error::{Damage, StoreError};

thread_local! {
    static IS_CATCHING: Cell<bool> = const { Cell::new(false) };
}

/// Whether a panic of this thread will be caught and reported as a damaged file. A panic hook that ends the program has to
/// check this first.
pub fn is_catching_panics() -> bool {
    IS_CATCHING.get()
}

/// Runs `read`, which reads a file that may be damaged, and reports a panic as [`StoreError::Damaged`]. With one flipped
/// bit the library panics for 1% to 2% of files.
pub fn catch_library_panic<T>(
    read: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let was_catching = IS_CATCHING.replace(true);
    let outcome = catch_unwind(AssertUnwindSafe(read));
    IS_CATCHING.set(was_catching);
    outcome.unwrap_or(Err(StoreError::Damaged(Damage::LibraryPanic)))
}
