//! `molespan plan`.

use std::fs;

use molespan_state::control::{Configuration, ConfirmIntent, IntentNumber, Plan};

use super::operator;
use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags;
use crate::intent::{Edit, Intent, apply_edits, parse_intent};

/// Plans an intent and prints its effects.
pub(crate) async fn run(
    client: &Client,
    flags: flags::Plan,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let configuration: Configuration = client.json(&Call::get("/admin/configuration")).await?;
    let mut intent = read_intent(&configuration, &flags)?;
    intent.number = flags.number.or(intent.number);
    intent.operator = flags.operator.or(intent.operator);
    let intent = complete(&configuration, intent);
    let plan = request_plan(client, &intent).await?;
    if let Some(target) = &flags.save {
        let text = serde_json::to_string_pretty(&intent).map_err(std::io::Error::from)?;
        fs::write(target, text)?;
    }
    show(&plan, console)?;
    if !plan.problems.is_empty() {
        return Ok(ExitStatus::Findings);
    }
    if !console.is_json() {
        console.line(format!(
            "Nothing has changed. To put it in force: molespan apply {}",
            plan.number
        ))?;
    }
    Ok(ExitStatus::Success)
}

/// Reads the intent file, if given, and adds the edits from the command line.
fn read_intent(configuration: &Configuration, flags: &flags::Plan) -> Result<Intent, CliError> {
    let mut intent = match &flags.file {
        Some(file) => parse_intent(&fs::read_to_string(file)?)?,
        None => Intent::default(),
    };
    let sets = flags.set.iter().cloned().map(Edit::Set);
    let deletes = flags.delete.iter().cloned().map(Edit::Delete);
    let edits: Vec<Edit> = sets.chain(deletes).collect();
    intent.changes.extend(apply_edits(configuration, &edits)?);
    if intent.changes.is_empty() {
        let message = "there is nothing to plan: give a file, --set or --delete";
        return Err(CliError::Usage(message.to_owned()));
    }
    Ok(intent)
}

/// Fills in missing fields of the intent from the configuration.
pub(crate) fn complete(configuration: &Configuration, intent: Intent) -> ConfirmIntent {
    let next = configuration.version.next().0;
    ConfirmIntent {
        number: IntentNumber(intent.number.unwrap_or(next)),
        operator: operator(intent.operator),
        base_version: intent.base_version.unwrap_or(configuration.version),
        changes: intent.changes,
    }
}

/// Requests the plan of an intent from a gateway.
pub(crate) async fn request_plan(
    client: &Client,
    intent: &ConfirmIntent,
) -> Result<Plan, CliError> {
    let body = serde_json::to_vec(intent).map_err(std::io::Error::from)?;
    client.json(&Call::post("/admin/plans", body)).await
}

/// Prints a plan as text or as JSON.
pub(super) fn show(plan: &Plan, console: &mut Console) -> Result<(), CliError> {
    if console.is_json() {
        return console.json_line(plan);
    }
    console.line(plan_text(plan))
}

/// Formats a plan for people.
pub(crate) fn plan_text(plan: &Plan) -> String {
    let mut text = format!("Plan {} against version {}", plan.number, plan.base_version);
    for line in &plan.lines {
        text.push_str(&format!("\n  {} {}", line.action, line.subject));
        for effect in &line.effects {
            text.push_str(&format!("\n      {effect}"));
        }
        for warning in &line.warnings {
            text.push_str(&format!("\n      warning: {warning}"));
        }
    }
    for problem in &plan.problems {
        let message = &problem.message;
        text.push_str(&format!(
            "\n  problem in change {}: {message}",
            problem.change
        ));
    }
    text
}
