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
/// What clients may rely on lives here: an accepted item gets exactly one
/// result, a cancelled job stops, and a claim is granted to one attempt.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobMachine {
    /// Jobs that are not finished.
    #[n(0)]
    pub(super) active: BTreeMap<JobId, ActiveJob>,
    /// Jobs that are.
    #[n(1)]
    pub(super) finished: BTreeMap<JobId, FinishedJob>,
    /// Number of the next job.
    #[n(2)]
    pub(super) next_sequence: u64,
    /// Leases that are out.
    #[n(3)]
    pub(super) leases: BTreeMap<LeaseId, Lease>,
    /// The last lease that was granted.
    #[n(4)]
    pub(super) last_lease: LeaseId,
    /// Answered lease requests by owner.
    #[n(5)]
    pub(super) owners: BTreeMap<NodeId, Owner>,
    /// How much each tenant was served.
    #[n(6)]
    pub(super) shares: Shares,
    /// Claims on non-repeatable requests.
    #[n(7)]
    pub(super) claims: Claims,
    /// Jobs with free items; follows from `active`.
    #[cbor(skip)]
    pub(super) ready: ReadyJobs,
    /// Every job by its number; follows from `active` and `finished`.
    #[cbor(skip)]
    pub(super) by_sequence: BTreeMap<u64, JobId>,
}

impl JobMachine {
    /// A machine without jobs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a committed command.
    ///
    /// # Errors
    /// When the payload log fails. The machine and its log may then disagree
    /// with other replicas: drop both and restore them from a snapshot.
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
            JobCommand::Return { lease, items } => self.give_back(*lease, items, payloads),
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

    /// Leases that are out, oldest first. The leader watches them on its clock.
    pub fn leases(&self) -> impl Iterator<Item = LeaseRecord> {
        self.leases.iter().map(|(&id, lease)| lease.record(id))
    }

    /// Jobs that are still being submitted, with the items they have. The
    /// leader watches them on its clock.
    pub fn submissions(&self) -> impl Iterator<Item = (JobId, u32)> {
        let jobs = self.active.iter();
        let open = jobs.filter(|(_, job)| job.phase == JobPhase::Submitting);
        open.map(|(&id, job)| (id, job.items.len()))
    }

    /// Claims that are open. The leader watches them on its clock.
    pub fn open_claims(&self) -> impl Iterator<Item = OpenClaimRecord> {
        self.claims.open()
    }

    /// The machine's own bytes. A snapshot is these and the payload log as
    /// long as it is now.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Reads a snapshot back.
    ///
    /// # Errors
    /// When the bytes are damaged or of another format.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        let mut machine: Self = snapshot::read(bytes)?;
        machine.rebuild_indexes();
        Ok(machine)
    }

    /// Builds what follows from the rest of the state.
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

    /// Finishes `id` if it has come to its end: its items go to the payload
    /// log, and only their place stays in memory.
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
