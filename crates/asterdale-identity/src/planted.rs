//! Faults that proofs plant in a build of their own. Without the feature `planted` none can be made.

/// A fault that a proof must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The overlap of an outgoing key never ends.
    Overlap,
    /// A token that was proven passes although it is revoked.
    Cache,
    /// A fingerprint's mark does not hold the tenant.
    Mark,
    /// Fingerprints do not pass to the process that takes over.
    Unpassed,
    /// The guardian is not told what its successor starts.
    Unmirrored,
    /// The old process goes on serving beside the new one.
    Fence,
    /// The listener is closed before the commit.
    Listener,
}

#[cfg(feature = "planted")]
static PLANTED: std::sync::OnceLock<Option<Fault>> = std::sync::OnceLock::new();

/// Plants the fault of this name, for the life of the process; `false` if there is none.
#[cfg(feature = "planted")]
pub fn plant(name: &str) -> bool {
    let fault = match name {
        "overlap" => Fault::Overlap,
        "cache" => Fault::Cache,
        "mark" => Fault::Mark,
        "unpassed" => Fault::Unpassed,
        "unmirrored" => Fault::Unmirrored,
        "fence" => Fault::Fence,
        "listener" => Fault::Listener,
        _ => return false,
    };
    PLANTED.set(Some(fault)).is_ok()
}

/// Whether this fault is planted.
#[cfg(feature = "planted")]
pub fn is(fault: Fault) -> bool {
    PLANTED.get().copied().flatten() == Some(fault)
}

/// Never.
#[cfg(not(feature = "planted"))]
pub fn is(_: Fault) -> bool {
    false
}
