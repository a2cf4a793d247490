//! Failpoints: injected faults that a test activates by name, to show that a proof detects them.
//!
//! A package declares its own failpoints with [`failpoints!`]. Without that package's feature `failpoints` none can be
//! activated, and every check for one is the constant `false`.

/// Declares the enum `Failpoint` of the calling package with a name for each variant, the function `is_active`,
/// and, with the feature `failpoints` of that package, `activate`.
#[macro_export]
macro_rules! failpoints {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// An injected fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Failpoint {
            $($(#[$doc])* $variant,)*
        }

        /// All failpoints with the names by which they are activated.
        #[cfg(feature = "failpoints")]
        const NAMES: &[(&str, Failpoint)] = &[$(($name, Failpoint::$variant),)*];

        /// Index into [`NAMES`] of the active failpoint; `usize::MAX` while there is none.
        #[cfg(feature = "failpoints")]
        static ACTIVE: std::sync::atomic::AtomicUsize =
            std::sync::atomic::AtomicUsize::new(usize::MAX);

        /// Activates the failpoint of this name for the complete process. Returns `false` if there is none.
        #[cfg(feature = "failpoints")]
        pub fn activate(name: &str) -> bool {
            let Some(position) = NAMES.iter().position(|(known, _)| *known == name) else {
                return false;
            };
            ACTIVE.store(position, std::sync::atomic::Ordering::Relaxed);
            true
        }

        /// Whether this failpoint is active.
        #[cfg(feature = "failpoints")]
        pub fn is_active(failpoint: Failpoint) -> bool {
            let position = ACTIVE.load(std::sync::atomic::Ordering::Relaxed);
            NAMES
                .get(position)
                .is_some_and(|(_, active)| *active == failpoint)
        }

        /// Always `false`: this build has no failpoints.
        #[cfg(not(feature = "failpoints"))]
        pub const fn is_active(_: Failpoint) -> bool {
            false
        }
    };
}
