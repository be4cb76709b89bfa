//! `molespan jobs submit`.

use std::fs;
use std::path::Path;

use molespan_settings::parse_duration;
use serde_json::Value;

use super::{JOBS_PATH, JobView, follow};
use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags::Submit;

/// Maximum number of findings printed; the rest are only counted.
const MAX_FINDINGS: usize = 20;

/// Submits a job and, with `--wait`, waits until it has ended.
pub(crate) async fn run(
    client: &Client,
    flags: &Submit,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let text = fs::read_to_string(&flags.file)?;
    let items = check_items(&flags.file, &text)?;
    let call = submission(flags, text)?;
    console.progress(format!("submitting {items} items to {}", flags.service));
    let job: JobView = client.json(&call).await?;
    if !flags.wait {
        job.show(console)?;
        return Ok(ExitStatus::Success);
    }
    console.progress(format!("accepted as {}", job.id));
    let job = follow(client, &job.id, console).await?;
    job.show(console)?;
    Ok(job.exit_status())
}

/// Builds the request that submits the job.
fn submission(flags: &Submit, body: String) -> Result<Call, CliError> {
    let mut call = Call::post(JOBS_PATH, body.into_bytes())
        .content_type("application/x-ndjson")
        .query("service", &flags.service)
        .query("key", &flags.key);
    if let Some(deadline) = &flags.deadline {
        let deadline = parse_duration(deadline)
            .map_err(|error| CliError::Usage(format!("--deadline {deadline}: {error}")))?;
        call = call.query("deadline_ms", deadline.as_millis());
    }
    if flags.not_repeatable {
        call = call.query("repeatable", false);
    }
    Ok(call)
}

/// Checks that each line is a valid item and returns the number of items.
fn check_items(file: &Path, text: &str) -> Result<usize, CliError> {
    let lines: Vec<&str> = text.lines().collect();
    let mut findings: Vec<String> = Vec::new();
    for (position, line) in lines.iter().enumerate() {
        if let Some(fault) = item_error(line) {
            findings.push(format!("{}:{}: {fault}", file.display(), position + 1));
        }
    }
    if lines.is_empty() {
        findings.push(format!("{}: the file has no items", file.display()));
    }
    if findings.is_empty() {
        return Ok(lines.len());
    }
    if findings.len() > MAX_FINDINGS {
        let more = findings.len() - MAX_FINDINGS;
        findings.truncate(MAX_FINDINGS);
        findings.push(format!("and {more} more"));
    }
    Err(CliError::Findings(findings))
}

/// Returns the error in an item line, if there is one.
fn item_error(line: &str) -> Option<String> {
    let item: Value = match serde_json::from_str(line) {
        Ok(item) => item,
        Err(error) => return Some(format!("invalid JSON: {error}")),
    };
    let has_prompt = item.get("prompt").is_some_and(Value::is_string);
    (!has_prompt).then(|| "an item must have a text under \"prompt\"".to_owned())
}
