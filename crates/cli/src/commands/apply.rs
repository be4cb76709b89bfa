//! `molespan apply`.

use std::fs;
use std::io::{self, IsTerminal};
use std::path::Path;

use molespan_state::control::{Configuration, ConfirmReply, IntentNumber};

use super::plan::{complete, request_plan, show};
use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags;
use crate::intent::parse_intent;

/// Confirms a plan by its number, or plans and confirms an intent file.
pub(crate) async fn run(
    client: &Client,
    flags: flags::Apply,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let number = match flags.plan.parse() {
        Ok(number) => IntentNumber(number),
        Err(_) => match plan_file(client, &flags, console).await? {
            Some(number) => number,
            None => return Ok(ExitStatus::Findings),
        },
    };
    let reply = confirm(client, number).await?;
    if console.is_json() {
        console.json_line(&reply)?;
    } else {
        console.line(reply_text(number, &reply))?;
    }
    Ok(match reply {
        ConfirmReply::Confirmed { .. } => ExitStatus::Success,
        ConfirmReply::Invalid { .. } => ExitStatus::Findings,
        _ => ExitStatus::Refused,
    })
}

/// Plans the intent of a file and asks whether to confirm it. `None` when the
/// plan has problems.
async fn plan_file(
    client: &Client,
    flags: &flags::Apply,
    console: &mut Console,
) -> Result<Option<IntentNumber>, CliError> {
    let file = Path::new(&flags.plan);
    let mut intent = parse_intent(&fs::read_to_string(file)?)?;
    intent.operator = flags.operator.clone().or(intent.operator);
    let configuration: Configuration = client.json(&Call::get("/admin/configuration")).await?;
    let intent = complete(&configuration, intent);
    let plan = request_plan(client, &intent).await?;
    show(&plan, console)?;
    if !plan.problems.is_empty() {
        return Ok(None);
    }
    if !flags.yes {
        ask(console)?;
    }
    Ok(Some(plan.number))
}

/// Asks on the terminal; without one, only `--yes` confirms.
fn ask(console: &mut Console) -> Result<(), CliError> {
    if !io::stdin().is_terminal() {
        return Err(CliError::Declined);
    }
    console.progress("Put this in force? Type yes:");
    let mut answer = String::new();
    io::stdin().read_line(&mut answer)?;
    if answer.trim() == "yes" {
        Ok(())
    } else {
        Err(CliError::Declined)
    }
}

/// Confirms a plan. A resend gets the first answer again.
async fn confirm(client: &Client, number: IntentNumber) -> Result<ConfirmReply, CliError> {
    let path = format!("/admin/plans/{number}/confirm");
    client.json(&Call::post(path, Vec::new())).await
}

/// A reply for people.
fn reply_text(number: IntentNumber, reply: &ConfirmReply) -> String {
    match reply {
        ConfirmReply::Confirmed { version } => {
            format!("Plan {number} is in force as version {version}.")
        }
        ConfirmReply::NumberTaken {
            winner, version, ..
        } => format!(
            "Refused: number {number} was taken by {winner}, in force as version {version}. \
             Plan again under another number."
        ),
        ConfirmReply::BaseMoved { current } => {
            format!("Refused: the configuration has moved on to version {current}. Plan again.")
        }
        ConfirmReply::Invalid { problems } => {
            let messages: Vec<&str> = problems
                .iter()
                .map(|found| found.message.as_str())
                .collect();
            format!("Refused: {}.", messages.join("; "))
        }
        ConfirmReply::TooOld { floor } => format!(
            "Refused: number {number} is too old to be remembered. Numbers from {floor} on are."
        ),
    }
}
