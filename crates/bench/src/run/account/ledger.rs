//! Counts of what befell requests and items.

use std::collections::BTreeMap;

use molespan_types::Digest;
use serde::{Deserialize, Serialize};

use super::{CallOutcome, Executions, JobResults, ResultFault};

/// A call whose end is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// Digest under which the back ends record its runs.
    pub prompt: Digest,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// The four counts that must be 0, and what they are out of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls or accepted items.
    pub offered: u64,
    /// Whole and right answers or results.
    pub completed: u64,
    /// Calls that were refused as not run, or could not be sent.
    pub refused: u64,
    /// Calls whose final answer is that the outcome is unknown.
    pub unknown: u64,
    /// Items of jobs that were cancelled before they ran.
    pub cancelled: u64,
    /// Calls without a final answer, or items without a result.
    pub lost: u64,
    /// Runs of work that may not be repeated beyond the first, and results
    /// that came more than once.
    pub duplicated: u64,
    /// Answers or results that belong to another prompt or are not whole.
    pub corrupted: u64,
    /// Refusals as not run of work that ran.
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

    /// Whether each of the four counts is 0.
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

/// Counts of one arm, with the texts behind those that went wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Online completions.
    pub online: Counts,
    /// Application calls.
    pub application: Counts,
    /// Batch items.
    pub batch: Counts,
    /// How often each outcome other than success occurred.
    pub incidents: BTreeMap<String, u64>,
    /// Runs that the back ends no longer know.
    pub forgotten_runs: u64,
}

impl Account {
    /// The sum over the classes.
    #[must_use]
    pub fn total(&self) -> Counts {
        let mut total = self.online.clone();
        total.add(&self.application);
        total.add(&self.batch);
        total
    }

    /// Counts online completions.
    pub fn add_online(&mut self, calls: &[EndedCall], executions: &Executions) {
        let counts = self.count_calls("online", calls, executions);
        self.online.add(&counts);
    }

    /// Counts application calls.
    pub fn add_application(&mut self, calls: &[EndedCall], executions: &Executions) {
        let counts = self.count_calls("application", calls, executions);
        self.application.add(&counts);
    }

    /// Counts the items of a job.
    pub fn add_job(&mut self, job: &JobResults, executions: &Executions) {
        let counts = &mut self.batch;
        counts.offered += u64::from(job.items());
        counts.completed += job.right();
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

    /// Notes something that went wrong outside of single calls.
    pub fn note(&mut self, incident: impl Into<String>) {
        *self.incidents.entry(incident.into()).or_default() += 1;
    }

    fn count_calls(&mut self, class: &str, calls: &[EndedCall], executions: &Executions) -> Counts {
        let mut counts = Counts::default();
        for call in calls {
            counts.count_call(&call.outcome);
            if call.outcome != CallOutcome::Completed {
                self.note(format!("{class} {}", call.outcome.label()));
            }
            if call.outcome.claims_not_run() && executions.of(call.prompt).started > 0 {
                counts.false_not_run += 1;
                self.note(format!("{class} ran although {}", call.outcome.label()));
            }
            if !call.repeatable {
                counts.duplicated += extra_runs(executions, call.prompt);
            }
        }
        counts
    }
}

/// Runs of a prompt beyond the first.
fn extra_runs(executions: &Executions, prompt: Digest) -> u64 {
    u64::from(executions.of(prompt).started.saturating_sub(1))
}
