//! Mistakes that proofs plant, each of which they must find. Without the feature `planted` there are none, and the
//! questions for them are constant.

/// A mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A suspicion is refuted without a higher incarnation.
    Refutation,
    /// The dead are never asked again.
    Dead,
    /// A process takes generation 1, whatever others remember.
    Generation,
    /// A datagram of an older generation is believed.
    Older,
    /// A suspicion never ends in a death.
    Suspicion,
}

/// By name, as proofs plant them.
#[cfg(feature = "planted")]
const NAMES: [(&str, Fault); 5] = [
    ("refutation", Fault::Refutation),
    ("dead", Fault::Dead),
    ("generation", Fault::Generation),
    ("older", Fault::Older),
    ("suspicion", Fault::Suspicion),
];

#[cfg(feature = "planted")]
static PLANTED: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(usize::MAX);

/// Plants the mistake of this name; `false` if there is none.
#[cfg(feature = "planted")]
pub fn plant(name: &str) -> bool {
    let at = NAMES.iter().position(|(known, _)| *known == name);
    at.inspect(|&at| PLANTED.store(at, std::sync::atomic::Ordering::Relaxed)).is_some()
}

/// Whether this mistake is planted.
#[cfg(feature = "planted")]
pub fn is(fault: Fault) -> bool {
    NAMES
        .get(PLANTED.load(std::sync::atomic::Ordering::Relaxed))
        .is_some_and(|(_, planted)| *planted == fault)
}

/// None is.
#[cfg(not(feature = "planted"))]
pub const fn is(_: Fault) -> bool {
    false
}
