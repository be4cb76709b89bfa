//! `molespan settings check FILE`.

use std::path::Path;

use molespan_settings::{Finding, Findings, Settings};
use serde_json::json;

use crate::console::Console;
use crate::error::{CliError, ExitStatus};

/// Checks a settings file and prints every finding with its location.
pub(crate) fn check(file: &Path, console: &mut Console) -> Result<ExitStatus, CliError> {
    let findings = match Settings::load(file) {
        Ok(_) => Findings::default(),
        Err(findings) => findings,
    };
    if console.is_json() {
        let findings: Vec<_> = findings.iter().map(finding_json).collect();
        console.json_line(&json!({ "file": file, "findings": findings }))?;
    } else {
        for finding in &findings {
            console.line(finding_text(file, finding))?;
        }
        console.line(summary(file, &findings))?;
    }
    if findings.is_empty() {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Findings)
    }
}

fn finding_json(finding: &Finding) -> serde_json::Value {
    json!({ "line": finding.line, "key": finding.key, "message": finding.message })
}

/// Formats a finding like a compiler message, so that editors can jump to it.
fn finding_text(file: &Path, finding: &Finding) -> String {
    let mut text = file.display().to_string();
    if let Some(line) = finding.line {
        text.push_str(&format!(":{line}"));
    }
    if !finding.key.is_empty() {
        text.push_str(&format!(": {}", finding.key));
    }
    format!("{text}: {}", finding.message)
}

fn summary(file: &Path, findings: &Findings) -> String {
    match findings.len() {
        0 => format!("{}: no findings", file.display()),
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    }
}
