//! Who is calling, and what the caller may ask for. Bytes and times come in, verdicts go out: there is no I/O
//! and no clock here. Times are Unix milliseconds, as `f64`, by whatever clock the host keeps.
//!
//! A task passes two gates. [`Identity::identify`] says who asks: a token is read, its key looked up in the
//! [`keyring`], its signature checked (or remembered, see [`cache`]), all within what [`budget`] lets its edge
//! node cost. [`Identity::permit`] says whether that caller may have this task now, by its [`rights`].
//!
//! `docs/identity.md` weighs the ways and holds the table of answers.

pub mod budget;
pub mod cache;
pub mod failpoint;
pub mod keyring;
pub mod mint;
pub mod publish;
pub mod refresh;
pub mod rights;
pub mod token;
mod verdict;
mod who;

pub use verdict::{Ask, Certificate, Facts, Identity, Named, Passed, Seat};
pub use who::{Caller, Kind, Why};

#[cfg(test)]
mod tests;
