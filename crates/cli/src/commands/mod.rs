//! The commands, one module each.

pub(crate) mod apply;
mod bars;
mod get;
pub(crate) mod jobs;
pub(crate) mod plan;
mod settings;
pub(crate) mod watch;

use std::env;

use crate::client::Client;
use crate::console::Console;
use crate::demo;
use crate::error::{CliError, ExitStatus};
use crate::flags::{Molespan, MolespanCmd, SettingsCmd};
use crate::gateways::{GATEWAY_VARIABLE, gateway_addresses};

/// Environment variable with the operator's name if the flag is not given.
const USER_VARIABLE: &str = "USER";
/// Operator name used if neither the flag nor the variable is set.
const DEFAULT_OPERATOR: &str = "operator";

/// Runs one command.
///
/// # Errors
/// Returns the error of the command.
pub async fn run(flags: Molespan, console: &mut Console) -> Result<ExitStatus, CliError> {
    let gateway = flags.gateway;
    let client = || connect(gateway.as_deref());
    match flags.subcommand {
        MolespanCmd::Plan(flags) => plan::run(&client()?, flags, console).await,
        MolespanCmd::Apply(flags) => apply::run(&client()?, flags, console).await,
        MolespanCmd::Get(flags) => get::run(&client()?, &flags.kind, console).await,
        MolespanCmd::Jobs(flags) => jobs::run(client()?, flags, console).await,
        MolespanCmd::Watch(flags) => watch::run(&client()?, flags, console).await,
        MolespanCmd::Bars(flags) => bars::run(&flags, console).await,
        MolespanCmd::Settings(flags) => match flags.subcommand {
            SettingsCmd::Check(flags) => settings::check(&flags.file, console),
        },
        MolespanCmd::Demo(_) => demo::run(console).await,
    }
}

/// Creates a client of the gateways given by the flag or the environment.
fn connect(flag: Option<&str>) -> Result<Client, CliError> {
    let variable = env::var(GATEWAY_VARIABLE).ok();
    let gateways = gateway_addresses(flag, variable.as_deref())?;
    Ok(Client::new(gateways))
}

/// Returns the operator's name from the flag or the environment.
fn operator(flag: Option<String>) -> String {
    flag.or_else(|| env::var(USER_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_OPERATOR.to_owned())
}
