//! Counts of the outcomes of requests and items.

use std::collections::BTreeMap;

use molespan_types::Digest;
use serde::{Deserialize, Serialize};

use super::{CallOutcome, Executions, JobResults, ResultFault};

/// A finished call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// Digest under which the back ends record its executions.
    pub prompt: Digest,
    /// Whether the call is repeatable.
    pub repeatable: bool,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// Counts by outcome. The last four count errors and must be 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls made or items accepted.
    pub offered: u64,
    /// Complete and correct responses or results.
    pub completed: u64,
    /// Calls that were rejected as not run or could not be sent.
    pub refused: u64,
    /// Calls whose response states that the outcome is unknown, and failed items.
    pub unknown: u64,
    /// Items without a result in cancelled jobs.
    pub cancelled: u64,
    /// Calls without a final response, or items without a result.
    pub lost: u64,
    /// Executions of non-repeatable work beyond the first, and items with more than
    /// one result.
    pub duplicated: u64,
    /// Responses or results that are incomplete or belong to another prompt.
    pub corrupted: u64,
    /// Rejections as not run of work that did run.
    pub false_not_run: u64,
}

impl Counts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.completed += other.completed;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.cancelled += other.cancelled;
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.corrupted += other.corrupted;
        self.false_not_run += other.false_not_run;
    }

    /// Whether the four error counts are 0.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost + self.duplicated + self.corrupted + self.false_not_run == 0
    }

    fn count_call(&mut self, outcome: &CallOutcome) {
        self.offered += 1;
        match outcome {
            CallOutcome::Completed => self.completed += 1,
            outcome if outcome.claims_not_run() => self.refused += 1,
            CallOutcome::Refused { .. } => self.unknown += 1,
            CallOutcome::Corrupted { .. } => self.corrupted += 1,
            CallOutcome::Lost { .. } | CallOutcome::NotSent { .. } => self.lost += 1,
        }
    }
}

/// Counts of one arm, with a description of each failure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Counts of online completions.
    pub online: Counts,
    /// Counts of application calls.
    pub application: Counts,
    /// Counts of batch items.
    pub batch: Counts,
    /// Number of occurrences of each outcome other than success.
    pub incidents: BTreeMap<String, u64>,
    /// Number of executions evicted from the back ends' logs.
    pub forgotten_runs: u64,
}

impl Account {
    /// Returns the sum over all classes.
    #[must_use]
    pub fn total(&self) -> Counts {
        let mut total = self.online.clone();
        total.add(&self.application);
        total.add(&self.batch);
        total
    }

    /// Adds online completions.
    pub fn add_online(&mut self, calls: &[FinishedCall], executions: &Executions) {
        let counts = self.count_calls("online", calls, executions);
        self.online.add(&counts);
    }

    /// Adds application calls.
    pub fn add_application(&mut self, calls: &[FinishedCall], executions: &Executions) {
        let counts = self.count_calls("application", calls, executions);
        self.application.add(&counts);
    }

    /// Adds the items of a job.
    pub fn add_job(&mut self, job: &JobResults, executions: &Executions) {
        let counts = &mut self.batch;
        counts.offered += u64::from(job.items());
        counts.completed += job.correct();
        counts.cancelled += job.missing_by_cancel();
        for fault in job.faults() {
            match fault {
                ResultFault::Missing { .. } => counts.lost += 1,
                ResultFault::Repeated { .. } => counts.duplicated += 1,
                ResultFault::Wrong { .. } | ResultFault::Foreign { .. } => counts.corrupted += 1,
                ResultFault::Failed { .. } => counts.unknown += 1,
            }
            *self.incidents.entry(fault.label()).or_default() += 1;
        }
        if !job.is_repeatable() {
            let extra = job.prompts().map(|prompt| extra_runs(executions, prompt));
            counts.duplicated += extra.sum::<u64>();
        }
    }

    /// Records an incident.
    pub fn record_incident(&mut self, incident: impl Into<String>) {
        *self.incidents.entry(incident.into()).or_default() += 1;
    }

    fn count_calls(
        &mut self,
        class: &str,
        calls: &[FinishedCall],
        executions: &Executions,
    ) -> Counts {
        let mut counts = Counts::default();
        for call in calls {
            counts.count_call(&call.outcome);
            if call.outcome != CallOutcome::Completed {
                self.record_incident(format!("{class} {}", call.outcome.label()));
            }
            if call.outcome.claims_not_run() && executions.of(call.prompt).started > 0 {
                counts.false_not_run += 1;
                self.record_incident(format!("{class} ran although {}", call.outcome.label()));
            }
            if !call.repeatable {
                counts.duplicated += extra_runs(executions, call.prompt);
            }
        }
        counts
    }
}

/// Returns the number of executions of a prompt beyond the first.
fn extra_runs(executions: &Executions, prompt: Digest) -> u64 {
    u64::from(executions.of(prompt).started.saturating_sub(1))
}
