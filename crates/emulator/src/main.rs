//! `molespan-emulator`: runs the emulated services as processes.

mod commands;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::MolespanEmulator::from_env_or_exit();
    match commands::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::FAILURE
        }
    }
}
