//! Typed calls to job groups.

use molespan_state::job::{
    AppendItems, BeginJob, ClaimReply, ClaimRequest, GrantedLease, ItemRecord, ItemResult,
    JobAnswer, JobCommand, JobQuery, JobReply, JobStatus, LeaseRequest, SettleClaim,
};
use molespan_types::{GroupId, ItemIndex, JobId, LeaseId, RunOutcome, TenantId};

use super::calls::unexpected;
use super::{Cluster, ClusterError};

/// One page of a job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Results in item order.
    pub results: Vec<ItemRecord>,
    /// First item of the next page; `None` at the end of the job.
    pub next: Option<ItemIndex>,
}

/// The renewed leases whose items must be stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewedLeases {
    /// Leases that are no longer held.
    pub lost: Vec<LeaseId>,
    /// Leases whose job was cancelled.
    pub cancelled: Vec<LeaseId>,
}

/// How many items of a record or return command were accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemsTaken {
    /// Items accepted.
    pub taken: u32,
    /// Items that the lease no longer covered.
    pub dropped: u32,
}

impl Cluster {
    /// Runs any command of a job group and returns the raw reply, for callers that
    /// distinguish its variants.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn job_command(
        &self,
        group: GroupId,
        command: &JobCommand,
    ) -> Result<JobReply, ClusterError> {
        self.propose(group, command).await
    }

    /// Creates a job or returns the existing one with the same key.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn begin_job(
        &self,
        group: GroupId,
        begin: BeginJob,
    ) -> Result<JobReply, ClusterError> {
        self.job_command(group, &begin.into()).await
    }

    /// Appends items to a job that is being submitted.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn append_items(
        &self,
        group: GroupId,
        append: AppendItems,
    ) -> Result<JobReply, ClusterError> {
        self.job_command(group, &append.into()).await
    }

    /// Accepts a job whose items have all been received.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn accept_job(&self, group: GroupId, job: JobId) -> Result<JobReply, ClusterError> {
        self.job_command(group, &JobCommand::Accept { job }).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn cancel_job(&self, group: GroupId, job: JobId) -> Result<JobReply, ClusterError> {
        self.job_command(group, &JobCommand::Cancel { job }).await
    }

    /// Leases items to run.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn lease_items(
        &self,
        group: GroupId,
        request: LeaseRequest,
    ) -> Result<Option<GrantedLease>, ClusterError> {
        match self.job_command(group, &request.into()).await? {
            JobReply::Leased(granted) => Ok(granted),
            other => Err(unexpected(&other)),
        }
    }

    /// Renews leases.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn renew_leases(
        &self,
        group: GroupId,
        leases: Vec<LeaseId>,
    ) -> Result<RenewedLeases, ClusterError> {
        match self
            .job_command(group, &JobCommand::Renew { leases })
            .await?
        {
            JobReply::Renewed { lost, cancelled } => Ok(RenewedLeases { lost, cancelled }),
            other => Err(unexpected(&other)),
        }
    }

    /// Records item results.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn record_results(
        &self,
        group: GroupId,
        lease: LeaseId,
        results: Vec<ItemResult>,
    ) -> Result<ItemsTaken, ClusterError> {
        let command = JobCommand::Record { lease, results };
        items_taken(self.job_command(group, &command).await?)
    }

    /// Returns items that were not run to the group.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn return_items(
        &self,
        group: GroupId,
        lease: LeaseId,
        items: Vec<ItemIndex>,
    ) -> Result<ItemsTaken, ClusterError> {
        let command = JobCommand::Return { lease, items };
        items_taken(self.job_command(group, &command).await?)
    }

    /// Claims the right to run a non-repeatable request.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn claim(
        &self,
        group: GroupId,
        request: ClaimRequest,
    ) -> Result<ClaimReply, ClusterError> {
        match self.job_command(group, &request.into()).await? {
            JobReply::Claim(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Records the outcome of a claimed request and returns the outcome on record.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn settle(
        &self,
        group: GroupId,
        settle: SettleClaim,
    ) -> Result<RunOutcome, ClusterError> {
        match self.job_command(group, &settle.into()).await? {
            JobReply::Settled { outcome } => Ok(outcome),
            other => Err(unexpected(&other)),
        }
    }

    /// Sets the weight of a tenant's jobs in one group.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn set_weight(
        &self,
        group: GroupId,
        tenant: TenantId,
        weight: u32,
    ) -> Result<(), ClusterError> {
        let command = JobCommand::SetWeight { tenant, weight };
        match self.job_command(group, &command).await? {
            JobReply::WeightSet => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the summary of a job; `None` when there is no such job.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn job_status(
        &self,
        group: GroupId,
        job: JobId,
    ) -> Result<Option<JobStatus>, ClusterError> {
        match self.query(group, &JobQuery::Status { job }).await? {
            JobAnswer::Status(status) => Ok(status),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns summaries of a group's jobs, newest first.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn list_jobs(
        &self,
        group: GroupId,
        limit: u32,
    ) -> Result<Vec<JobStatus>, ClusterError> {
        match self.query(group, &JobQuery::List { limit }).await? {
            JobAnswer::List(jobs) => Ok(jobs),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns results of a job in item order.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn job_results(
        &self,
        group: GroupId,
        job: JobId,
        first: ItemIndex,
        limit: u32,
    ) -> Result<ResultPage, ClusterError> {
        let query = JobQuery::Results { job, first, limit };
        match self.query(group, &query).await? {
            JobAnswer::Results { results, next } => Ok(ResultPage { results, next }),
            other => Err(unexpected(&other)),
        }
    }
}

fn items_taken(reply: JobReply) -> Result<ItemsTaken, ClusterError> {
    match reply {
        JobReply::Recorded { taken, dropped } => Ok(ItemsTaken { taken, dropped }),
        other => Err(unexpected(&other)),
    }
}
