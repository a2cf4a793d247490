//! Who is calling, and what the caller may ask for. Bytes and times come in, verdicts go out: there is no I/O
//! and no clock here. Times are Unix milliseconds, as `f64`, by whatever clock the host keeps.
//!
//! A task passes two gates. [`Identity::identify`] says who asks: a token is read, its key looked up in the
//! [`keyring`], its signature checked (or remembered, see [`cache`]), all within what [`budget`] lets its edge
//! node cost. [`Identity::permit`] says whether that caller may have this task now, by its [`rights`].
//!
//! `docs/identity.md` weighs the ways and holds the table of answers.

pub mod authorization;
pub mod budget;
pub mod cache;
mod denial;
pub mod failpoint;
mod gates;
pub mod keyring;
pub mod mint;
pub mod refresh;
pub mod rotation;
pub mod token;

pub use denial::{Caller, DenialReason, DenialStatus};
pub use gates::{
    Certificate, CertificateMapping, ConcurrencyPermit, Credentials, Identity, IdentitySettings,
    IdentityState,
};

#[cfg(test)]
mod tests;
