//! The state machine of a job group.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{JobId, LeaseId, NodeId};

use super::active::ActiveJob;
use super::claims::Claims;
use super::command::{JobCommand, JobReply};
use super::finished::FinishedJob;
use super::lease::Lease;
use super::owner::Owner;
use super::query::{JobPhase, LeaseRecord, OpenClaimRecord};
use super::schedule::{ReadyJobs, Shares};
use crate::error::StateError;
use crate::payload::{PayloadError, PayloadLog};
use crate::snapshot;

/// Jobs, items, leases, results and claims of one group.
///
/// This machine enforces the guarantees to clients: an accepted item gets exactly one
/// result, a cancelled job stops, and a claim is granted to one attempt.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobMachine {
    /// Unfinished jobs.
    #[n(0)]
    pub(super) active: BTreeMap<JobId, ActiveJob>,
    /// Finished jobs.
    #[n(1)]
    pub(super) finished: BTreeMap<JobId, FinishedJob>,
    /// Sequence number of the next job.
    #[n(2)]
    pub(super) next_sequence: u64,
    /// Active leases.
    #[n(3)]
    pub(super) leases: BTreeMap<LeaseId, Lease>,
    /// Identifier of the latest lease.
    #[n(4)]
    pub(super) last_lease: LeaseId,
    /// Lease requests already answered, by owner.
    #[n(5)]
    pub(super) owners: BTreeMap<NodeId, Owner>,
    /// Fair-queueing state of each tenant.
    #[n(6)]
    pub(super) shares: Shares,
    /// Claims on non-repeatable requests.
    #[n(7)]
    pub(super) claims: Claims,
    /// Jobs with free items; derived from `active`.
    #[cbor(skip)]
    pub(super) ready: ReadyJobs,
    /// Every job by its sequence number; derived from `active` and `finished`.
    #[cbor(skip)]
    pub(super) by_sequence: BTreeMap<u64, JobId>,
}

impl JobMachine {
    /// Creates a machine without jobs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a committed command.
    ///
    /// # Errors
    /// Fails if the payload log fails. The machine and its log may then differ from other
    /// replicas: drop both and restore them from a snapshot.
    pub fn apply(
        &mut self,
        command: &JobCommand,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        match command {
            JobCommand::Begin(begin) => self.begin(begin, payloads),
            JobCommand::Append(append) => self.append(append, payloads),
            JobCommand::Accept { job } => self.accept(*job, payloads),
            JobCommand::Cancel { job } => self.cancel(*job, payloads),
            JobCommand::Lease(request) => self.lease(request, payloads),
            JobCommand::Renew { leases } => Ok(self.renew(leases)),
            JobCommand::Record { lease, results } => self.record(*lease, results, payloads),
            JobCommand::Return { lease, items } => self.return_items(*lease, items, payloads),
            JobCommand::Expire { lease, renewals } => self.expire(*lease, *renewals, payloads),
            JobCommand::Claim(request) => {
                let reply = self.claims.claim(request, payloads)?;
                Ok(JobReply::Claim(reply))
            }
            JobCommand::Settle(settle) => self.claims.settle(settle, payloads),
            JobCommand::Abandon { job, received } => self.abandon(*job, *received, payloads),
            JobCommand::SetWeight { tenant, weight } => {
                self.shares.set_weight(tenant, *weight);
                Ok(JobReply::WeightSet)
            }
        }
    }

    /// Returns the active leases, oldest first. The leader expires them by its own clock.
    pub fn leases(&self) -> impl Iterator<Item = LeaseRecord> {
        self.leases.iter().map(|(&id, lease)| lease.record(id))
    }

    /// Returns the jobs that are still being submitted, with the number of items received.
    /// The leader times them out by its own clock.
    pub fn submissions(&self) -> impl Iterator<Item = (JobId, u32)> {
        let jobs = self.active.iter();
        let open = jobs.filter(|(_, job)| job.phase == JobPhase::Submitting);
        open.map(|(&id, job)| (id, job.items.len()))
    }

    /// Returns the open claims. The leader times them out by its own clock.
    pub fn open_claims(&self) -> impl Iterator<Item = OpenClaimRecord> {
        self.claims.open()
    }

    /// Encodes the machine. A full snapshot is these bytes plus the payload log at its
    /// current length.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Restores a machine from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails if the bytes are damaged or have another format.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        let mut machine: Self = snapshot::read(bytes)?;
        machine.rebuild_indexes();
        Ok(machine)
    }

    /// Rebuilds the indexes that snapshots do not contain.
    fn rebuild_indexes(&mut self) {
        for (&id, job) in &self.active {
            self.by_sequence.insert(job.sequence, id);
            if job.has_work() {
                self.ready.insert(job);
            }
        }
        for (&id, job) in &self.finished {
            self.by_sequence.insert(job.sequence, id);
        }
    }

    /// Finishes job `id` if it reached a final phase: its items are written to the payload
    /// log, and only their location stays in memory.
    pub(super) fn finish_if_done(
        &mut self,
        id: JobId,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let Some(job) = self.active.get(&id) else {
            return Ok(());
        };
        let Some(phase) = job.final_phase() else {
            return Ok(());
        };
        let finished = FinishedJob::write(job, phase, payloads)?;
        self.ready.remove(job);
        self.active.remove(&id);
        self.finished.insert(id, finished);
        Ok(())
    }
}
