//! The asterdale backend: one process that serves requests on real sockets, with the decisions of the crate `asterdale`.

mod assembly;
#[cfg(feature = "tools")]
mod cli;
mod error;
#[cfg(feature = "fleet")]
mod fleet;
mod frontend;
#[cfg(feature = "journal")]
mod journal;
#[cfg(feature = "tools")]
mod keys;
mod reload;
mod serve;
mod signals;
mod start;
mod threads;
#[cfg(feature = "tools")]
mod token;
#[cfg(feature = "upgrade")]
mod upgrade;

use std::process::ExitCode;

/// Activates the failpoint that the environment variable `ASTERDALE_FAILPOINT` names.
///
/// # Panics
/// If there is no failpoint of this name.
#[cfg(feature = "failpoints")]
fn activate_failpoint() {
    let Ok(name) = std::env::var("ASTERDALE_FAILPOINT") else {
        return;
    };
    let is_known = asterdale_identity::failpoint::activate(&name);
    #[cfg(feature = "fleet")]
    let is_known = is_known
        || asterdale_membership::failpoint::activate(&name)
        || asterdale_ownership::failpoint::activate(&name);
    #[cfg(feature = "journal")]
    let is_known = is_known || asterdale_journal::failpoint::activate(&name);
    assert!(
        is_known,
        "ASTERDALE_FAILPOINT: there is no failpoint {name}"
    );
}

fn main() -> ExitCode {
    #[cfg(feature = "failpoints")]
    activate_failpoint();
    #[cfg(feature = "tools")]
    return cli::run();
    #[cfg(not(feature = "tools"))]
    serve::serve(serve::ServeOptions::default())
}
