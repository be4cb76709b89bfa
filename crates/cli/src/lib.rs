//! The `molespan` command line, for operators and callers.
//!
//! Commands use the HTTP API of a gateway. Every request is idempotent: plans
//! change nothing, confirmations are identified by their number and jobs by their
//! key. A request whose response is lost is therefore retried at the next gateway
//! in the list. Only `bars` contacts the control nodes, in clusters with member
//! discovery, over the internal protocol between nodes.

mod client;
mod commands;
mod console;
mod demo;
mod error;
mod flags;
mod gateways;
mod intent;
mod rows;
mod table;

use std::process::ExitCode;

use async_io::block_on;

pub use client::{Call, Client};
pub use commands::run;
pub use console::Console;
pub use demo::{DemoFleet, free_addresses};
pub use error::{CliError, ExitStatus};
pub use flags::Molespan;
pub use gateways::{GATEWAY_VARIABLE, gateway_addresses};
pub use intent::{Edit, Intent, apply_edits, parse_intent};
pub use rows::{kind_columns, table_of};
pub use table::Table;

/// Runs the command given by the process arguments.
#[must_use]
pub fn run_from_environment() -> ExitCode {
    let mut console = Console::standard(false);
    let flags = match Molespan::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            let shown = console.line(error).map(|()| ExitStatus::Success);
            return exit_code(shown, &mut console);
        }
        Err(error) => {
            console.progress(format!("molespan: {error}"));
            console.progress("run molespan --help for a list of commands");
            return ExitStatus::Usage.into();
        }
    };
    let mut console = Console::standard(flags.json);
    let result = block_on(commands::run(flags, &mut console));
    exit_code(result, &mut console)
}

/// Prints an error, if there is one, and returns the exit code.
fn exit_code(result: Result<ExitStatus, CliError>, console: &mut Console) -> ExitCode {
    match result {
        Ok(status) => status.into(),
        // The reader of the output closed it, as `head` does; this is not a failure.
        Err(error) if error.is_closed_output() => ExitStatus::Success.into(),
        Err(error) => {
            console.progress(format!("molespan: {error}"));
            error.status().into()
        }
    }
}
