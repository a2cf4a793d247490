//! Hosts the decisions on the simulator's wire: batches on standard input, replies on standard output.

mod event;
mod host;
mod instance;
mod serve;
mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("asterdale-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}
