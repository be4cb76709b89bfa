//! Opening, filling, accepting and cancelling a job.

use molespan_types::JobId;
use molespan_types::mechanism::{Mechanism, enabled};

use super::active::ActiveJob;
use super::command::{AppendItems, BeginJob, JobReply};
use super::machine::JobMachine;
use super::payloads::store;
use super::query::{JobPhase, JobStatus};
use crate::payload::{PayloadError, PayloadLog};

impl JobMachine {
    /// Opens a job, or returns the job already opened under the same key.
    pub(super) fn begin(
        &mut self,
        begin: &BeginJob,
        payloads: &dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        if enabled(Mechanism::JobKeyDedupe) {
            if let Some(reply) = self.find_existing(begin, payloads)? {
                return Ok(reply);
            }
        } else {
            self.remove_job(begin.job);
        }
        let job = ActiveJob::open(begin.clone(), self.next_sequence);
        self.next_sequence += 1;
        self.by_sequence.insert(job.sequence, begin.job);
        let reply = JobReply::Job(job.status());
        self.active.insert(begin.job, job);
        Ok(reply)
    }

    /// Returns the reply to a submission whose job already exists.
    fn find_existing(
        &self,
        begin: &BeginJob,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<JobReply>, PayloadError> {
        let (digest, status) = if let Some(job) = self.active.get(&begin.job) {
            (job.submission.digest, job.status())
        } else if let Some(job) = self.finished.get(&begin.job) {
            let summary = job.summary(payloads)?;
            (summary.digest, summary.status)
        } else {
            return Ok(None);
        };
        // Two keys can hash to the same identifier: never return the job of one tenant to
        // another.
        let same_key = status.tenant == begin.tenant && status.key == begin.key;
        if same_key && digest == begin.digest {
            Ok(Some(JobReply::Job(status)))
        } else {
            Ok(Some(JobReply::KeyConflict { digest }))
        }
    }

    /// Removes a job and its leases.
    pub(super) fn remove_job(&mut self, id: JobId) {
        if let Some(job) = self.active.remove(&id) {
            self.ready.remove(&job);
            self.by_sequence.remove(&job.sequence);
        }
        if let Some(job) = self.finished.remove(&id) {
            self.by_sequence.remove(&job.sequence);
        }
        self.leases.retain(|_, lease| lease.job != id);
    }

    /// Adds items to a job that is being submitted.
    pub(super) fn append(
        &mut self,
        append: &AppendItems,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let Some(job) = self.active.get_mut(&append.job) else {
            return self.reply(append.job, payloads);
        };
        let received = job.items.len();
        let first = append.first.0;
        let end = u64::from(first) + append.inputs.len() as u64;
        if end <= u64::from(received) {
            return Ok(JobReply::Job(job.status()));
        }
        let fits = first <= received && end <= u64::from(job.submission.item_count);
        if job.phase != JobPhase::Submitting || !fits {
            return Ok(wrong_phase(&job.status()));
        }
        for input in &append.inputs[(received - first) as usize..] {
            let location = store(input, payloads)?;
            job.items.push_input(location);
        }
        Ok(JobReply::Job(job.status()))
    }

    /// Drops a submission that made no progress since the leader observed it.
    pub(super) fn abandon(
        &mut self,
        id: JobId,
        received: u32,
        payloads: &dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let abandoned = self
            .active
            .get(&id)
            .is_some_and(|job| job.phase == JobPhase::Submitting && job.items.len() == received);
        if abandoned {
            self.remove_job(id);
        }
        self.reply(id, payloads)
    }

    /// Accepts a job once all its items have been received.
    pub(super) fn accept(
        &mut self,
        id: JobId,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let Some(job) = self.active.get_mut(&id) else {
            return self.reply(id, payloads);
        };
        match job.phase {
            JobPhase::Submitting if job.has_all_items() => {
                job.start();
                self.ready.refresh(job, &mut self.shares);
                self.finish_if_done(id, payloads)?;
                self.reply(id, payloads)
            }
            JobPhase::Submitting => Ok(wrong_phase(&job.status())),
            _ => Ok(JobReply::Job(job.status())),
        }
    }

    /// Cancels a job. A finished job is unchanged.
    pub(super) fn cancel(
        &mut self,
        id: JobId,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        if let Some(job) = self.active.get_mut(&id) {
            job.phase = JobPhase::Cancelling;
            self.ready.refresh(job, &mut self.shares);
            self.finish_if_done(id, payloads)?;
        }
        self.reply(id, payloads)
    }

    /// Returns the reply with the status of job `id`.
    fn reply(&self, id: JobId, payloads: &dyn PayloadLog) -> Result<JobReply, PayloadError> {
        let status = self.status(id, payloads)?;
        Ok(status.map_or(JobReply::UnknownJob, JobReply::Job))
    }
}

/// Returns the reply to a command that is not allowed in the job's phase.
fn wrong_phase(status: &JobStatus) -> JobReply {
    JobReply::WrongPhase {
        phase: status.phase,
        received: status.received,
    }
}
