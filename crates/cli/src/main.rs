//! The `molespan` command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    molespan_cli::run_from_environment()
}
