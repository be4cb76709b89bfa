//! Reports of failed runs.

use std::fmt::Write;

use crate::fault::FaultClass;
use crate::run::{Outcome, run_scenario};
use crate::scenario::Scenario;
use crate::shrink::{Shrunk, shrink};

/// Maximum number of violations printed per run.
const MAX_VIOLATIONS: usize = 5;
/// Maximum number of events printed per run.
const MAX_NOTES: usize = 60;

/// The options of a run, from which its command line is rebuilt.
#[derive(Clone, Debug)]
pub struct Request {
    /// Enabled fault classes.
    pub classes: Vec<FaultClass>,
    /// Disabled mechanism.
    pub without: Option<String>,
    /// Whether failing runs are shrunk.
    pub shrink: bool,
}

impl Request {
    fn faults(&self) -> String {
        if self.classes.len() == FaultClass::ALL.len() {
            return "all".to_owned();
        }
        if self.classes.is_empty() {
            return "none".to_owned();
        }
        let names: Vec<String> = self.classes.iter().map(ToString::to_string).collect();
        names.join(",")
    }
}

/// Returns the report of a failed run: its violations, the smallest part found that
/// still fails, and the command that reproduces it.
#[must_use]
pub fn failure(request: &Request, scenario: &Scenario, outcome: &Outcome) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "seed {} failed", scenario.seed);
    for violation in outcome.violations.iter().take(MAX_VIOLATIONS) {
        let _ = writeln!(text, "  {violation}");
    }
    let Some(first) = outcome.violations.first() else {
        return text;
    };
    if !request.shrink {
        let _ = writeln!(text, "  run again: {}", command(request, scenario, None));
        return text;
    }
    let shrunk = shrink(scenario, first.checker);
    let small = scenario.clone();
    let small = small.only(Some(&shrunk.faults), Some(&shrunk.work));
    trace(&mut text, &small, first.checker);
    let again = command(request, scenario, Some(&shrunk));
    let _ = writeln!(text, "  run again: {again}");
    text
}

fn trace(text: &mut String, small: &Scenario, checker: &str) {
    let _ = writeln!(text, "  the smallest part found that still fails:");
    for fault in small.faults.iter().flatten() {
        let _ = writeln!(text, "    fault {fault}");
    }
    for work in small.work.iter().flatten() {
        let _ = writeln!(text, "    work {work}");
    }
    let outcome = run_scenario(small.clone());
    let mut found = outcome.violations.iter();
    let Some(violation) = found.find(|violation| violation.checker == checker) else {
        return;
    };
    let _ = writeln!(text, "  what happens there:");
    let before = outcome.notes.iter().filter(|(at, _)| *at <= violation.at);
    let before: Vec<_> = before.collect();
    let skipped = before.len().saturating_sub(MAX_NOTES);
    for (at, note) in &before[skipped..] {
        let _ = writeln!(text, "    {} ms {note}", at.0 / 1_000);
    }
    let _ = writeln!(text, "    {violation}");
}

fn command(request: &Request, scenario: &Scenario, shrunk: Option<&Shrunk>) -> String {
    let mut command = format!(
        "molespan-sim run --seeds 1 --seed {} --faults {}",
        scenario.seed,
        request.faults()
    );
    if let Some(mechanism) = &request.without {
        let _ = write!(command, " --without {mechanism}");
    }
    if let Some(shrunk) = shrunk {
        let faults = list(&shrunk.faults);
        let work = list(&shrunk.work);
        let _ = write!(command, " --keep-faults {faults} --keep-work {work}");
    }
    command
}

fn list(numbers: &[usize]) -> String {
    if numbers.is_empty() {
        return "none".to_owned();
    }
    let numbers: Vec<String> = numbers.iter().map(ToString::to_string).collect();
    numbers.join(",")
}
