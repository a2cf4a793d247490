//! Failpoints: deliberate mistakes that a test switches on by name, to show that a proof would find them.
//!
//! A package declares its own with [`failpoints!`]. Without that package's feature `failpoints` none can be
//! switched on, and every question for one is the constant `false`.

/// Declares the enum `Failpoint` of the calling package with a name for each variant, the function `is_active`,
/// and, with the feature `failpoints` of that package, `activate`.
#[macro_export]
macro_rules! failpoints {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A deliberate mistake.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Failpoint {
            $($(#[$doc])* $variant,)*
        }

        /// All failpoints with the names by which they are switched on.
        #[cfg(feature = "failpoints")]
        const NAMES: &[(&str, Failpoint)] = &[$(($name, Failpoint::$variant),)*];

        /// Position in [`NAMES`] of the active failpoint; `usize::MAX` while there is none.
        #[cfg(feature = "failpoints")]
        static ACTIVE: std::sync::atomic::AtomicUsize =
            std::sync::atomic::AtomicUsize::new(usize::MAX);

        /// Switches on the failpoint of this name for the whole process. Returns `false` if there is none.
        #[cfg(feature = "failpoints")]
        pub fn activate(name: &str) -> bool {
            let Some(position) = NAMES.iter().position(|(known, _)| *known == name) else {
                return false;
            };
            ACTIVE.store(position, std::sync::atomic::Ordering::Relaxed);
            true
        }

        /// Whether this failpoint is switched on.
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
