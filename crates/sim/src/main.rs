//! `molespan-sim`: runs the decision cores under virtual time.

mod commands;
mod explorations;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::MolespanSim::from_env_or_exit();
    match commands::run(flags) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("molespan-sim: {error}");
            ExitCode::from(2)
        }
    }
}
