//! `molespan apply`.

use std::fs;
use std::io::{self, IsTerminal};
use std::path::Path;

use molespan_state::control::{Configuration, ConfirmIntent, ConfirmReply, IntentNumber};

use super::plan::{complete, request_plan, show};
use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags;
use crate::intent::parse_intent;

/// Error code: the configuration changed since the base version.
const BASE_MOVED: &str = "base_moved";
/// Error code: no plan with this number was made at this gateway.
const UNKNOWN_PLAN: &str = "unknown_plan";

/// Confirms a plan by its number, or plans and confirms an intent file.
pub(crate) async fn run(
    client: &Client,
    flags: flags::Apply,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let (number, reply) = match flags.plan.parse() {
        Ok(number) => {
            let number = IntentNumber(number);
            (number, confirm_planned(client, number).await?)
        }
        Err(_) => match plan_file(client, &flags, console).await? {
            Some(intent) => (intent.number, confirm(client, &intent).await?),
            None => return Ok(ExitStatus::Findings),
        },
    };
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

/// Plans the intent in a file and asks for confirmation. Returns `None` if the
/// plan has problems.
async fn plan_file(
    client: &Client,
    flags: &flags::Apply,
    console: &mut Console,
) -> Result<Option<ConfirmIntent>, CliError> {
    let file = Path::new(&flags.plan);
    let mut intent = parse_intent(&fs::read_to_string(file)?)?;
    intent.operator = flags.operator.clone().or(intent.operator);
    let has_number_and_base = intent.number.is_some() && intent.base_version.is_some();
    let configuration: Configuration = client.json(&Call::get("/admin/configuration")).await?;
    let intent = complete(&configuration, intent);
    match request_plan(client, &intent).await {
        Ok(plan) => {
            show(&plan, console)?;
            if !plan.problems.is_empty() {
                return Ok(None);
            }
            if !flags.yes {
                ask_confirmation(console)?;
            }
            Ok(Some(intent))
        }
        // This intent may already have been confirmed and so have changed the
        // configuration. Confirming it again returns that outcome, or is rejected
        // without a change.
        Err(CliError::Refused(detail)) if detail.code == BASE_MOVED && has_number_and_base => {
            console.progress(format!("{}; asking for the outcome", detail.message));
            Ok(Some(intent))
        }
        Err(error) => Err(error),
    }
}

/// Asks for confirmation on the terminal. Without a terminal, `--yes` is required.
fn ask_confirmation(console: &mut Console) -> Result<(), CliError> {
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

/// Confirms an intent at any gateway. A retry returns the original reply.
pub(crate) async fn confirm(
    client: &Client,
    intent: &ConfirmIntent,
) -> Result<ConfirmReply, CliError> {
    let body = serde_json::to_vec(intent).map_err(io::Error::from)?;
    client.json(&confirmation(intent.number, body)).await
}

/// Confirms the plan with this number at the gateway that holds it.
async fn confirm_planned(client: &Client, number: IntentNumber) -> Result<ConfirmReply, CliError> {
    let call = confirmation(number, Vec::new());
    let mut last = None;
    for gateway in client.gateways() {
        match client.only(*gateway).json(&call).await {
            Err(CliError::Refused(detail)) if detail.code == UNKNOWN_PLAN => {
                last = Some(CliError::Refused(detail));
            }
            Err(CliError::Unanswered(error)) => {
                last.get_or_insert(CliError::Unanswered(error));
            }
            answer => return answer,
        }
    }
    Err(last.unwrap_or(CliError::Declined))
}

fn confirmation(number: IntentNumber, body: Vec<u8>) -> Call {
    Call::post(format!("/admin/plans/{number}/confirm"), body)
}

/// Formats a reply for people.
pub(crate) fn reply_text(number: IntentNumber, reply: &ConfirmReply) -> String {
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
