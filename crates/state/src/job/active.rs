//! A job that is not finished.

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};

use super::command::{BeginJob, ItemOutcome};
use super::items::ItemTable;
use super::query::{JobPhase, JobStatus};
use super::range_set::RangeSet;
use crate::payload::PayloadLocation;

/// Number of results by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct OutcomeCounts {
    #[n(0)]
    completed: u32,
    #[n(1)]
    failed: u32,
    #[n(2)]
    unknown: u32,
}

impl OutcomeCounts {
    /// Counts one result.
    fn add(&mut self, outcome: ItemOutcome) {
        match outcome {
            ItemOutcome::Completed => self.completed += 1,
            ItemOutcome::Failed => self.failed += 1,
            ItemOutcome::Unknown => self.unknown += 1,
        }
    }

    /// Returns the number of results of all outcomes.
    fn total(self) -> u32 {
        self.completed + self.failed + self.unknown
    }
}

/// A job that is being submitted, running or being cancelled.
///
/// Invariant: each item is in `free`, is held by exactly one lease, or has a result.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ActiveJob {
    /// Submission that opened the job.
    #[n(0)]
    pub(crate) submission: BeginJob,
    /// Sequence number of the job in its group, in the order of submission.
    #[n(1)]
    pub(crate) sequence: u64,
    /// Current phase.
    #[n(2)]
    pub(crate) phase: JobPhase,
    /// Items received so far.
    #[n(3)]
    pub(crate) items: ItemTable,
    /// Items that are not leased and have no result.
    #[n(4)]
    pub(crate) free: RangeSet,
    /// Number of active leases.
    #[n(5)]
    pub(crate) leases: u32,
    /// Number of items held by active leases.
    #[n(6)]
    pub(crate) leased: u32,
    /// Results recorded so far.
    #[n(7)]
    pub(crate) counts: OutcomeCounts,
}

impl ActiveJob {
    /// Creates a job that has no items yet.
    pub(crate) fn open(submission: BeginJob, sequence: u64) -> Self {
        Self {
            submission,
            sequence,
            phase: JobPhase::Submitting,
            items: ItemTable::default(),
            free: RangeSet::default(),
            leases: 0,
            leased: 0,
            counts: OutcomeCounts::default(),
        }
    }

    /// Whether items of this job may be leased in its current phase.
    pub(crate) fn may_lease_items(&self) -> bool {
        match self.phase {
            JobPhase::Running => true,
            JobPhase::Cancelling => !enabled(Mechanism::CancelStopsLeasing),
            _ => false,
        }
    }

    /// Whether a lease request would get at least one item.
    pub(crate) fn has_work(&self) -> bool {
        self.may_lease_items() && !self.free.is_empty()
    }

    /// Whether all items have been received.
    pub(crate) fn has_all_items(&self) -> bool {
        self.items.len() == self.submission.item_count
    }

    /// Starts the job and makes all its items available for leasing.
    pub(crate) fn start(&mut self) {
        self.phase = JobPhase::Running;
        self.items.shrink();
        self.free = RangeSet::up_to(self.items.len());
    }

    /// Stores the result of an item.
    pub(crate) fn set_result(&mut self, item: u32, outcome: ItemOutcome, at: PayloadLocation) {
        self.items.set_result(item, outcome, at);
        self.counts.add(outcome);
    }

    /// Returns the final phase of the job, or `None` if the job is not finished.
    pub(crate) fn final_phase(&self) -> Option<JobPhase> {
        let no_active_lease = self.leases == 0 || !enabled(Mechanism::CancelWaitsForLeases);
        match self.phase {
            JobPhase::Running if self.counts.total() >= self.submission.item_count => {
                Some(JobPhase::Completed)
            }
            JobPhase::Cancelling if no_active_lease => Some(JobPhase::Cancelled),
            _ => None,
        }
    }

    /// Returns the summary of the job.
    pub(crate) fn status(&self) -> JobStatus {
        let submission = &self.submission;
        JobStatus {
            job: submission.job,
            tenant: submission.tenant.clone(),
            key: submission.key.clone(),
            service: submission.service.clone(),
            phase: self.phase,
            item_count: submission.item_count,
            received: self.items.len(),
            completed: self.counts.completed,
            failed: self.counts.failed,
            unknown: self.counts.unknown,
            leased: self.leased,
            deadline_unix_seconds: submission.deadline_unix_seconds,
        }
    }
}
