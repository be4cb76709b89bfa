//! Read queries of a job group.

use derive_more::Display;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    AttemptId, BackendId, ItemIndex, JobId, LeaseId, NodeId, RunOutcome, ServiceName, TenantId,
};
use serde::{Deserialize, Serialize};

use super::command::{ItemOutcome, SettleClaim};

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Encode, Decode, Serialize, Deserialize)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Items are still arriving; nothing runs.
    #[n(0)]
    #[display("submitting")]
    Submitting,
    /// Accepted: every item will complete exactly once.
    #[n(1)]
    #[display("running")]
    Running,
    /// Cancelled, with leases still active.
    #[n(2)]
    #[display("cancelling")]
    Cancelling,
    /// Cancelled, with no items running.
    #[n(3)]
    #[display("cancelled")]
    Cancelled,
    /// Every item has a result.
    #[n(4)]
    #[display("completed")]
    Completed,
}

/// Summary of a job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job.
    #[n(0)]
    #[serde(serialize_with = "job_as_text", deserialize_with = "job_from_text")]
    pub job: JobId,
    /// Tenant that submitted the job.
    #[n(1)]
    pub tenant: TenantId,
    /// Idempotency key of the job.
    #[n(2)]
    pub key: String,
    /// Service that runs the job.
    #[n(3)]
    pub service: ServiceName,
    /// Current phase.
    #[n(4)]
    pub phase: JobPhase,
    /// Total number of items.
    #[n(5)]
    pub item_count: u32,
    /// Number of items received.
    #[n(6)]
    pub received: u32,
    /// Number of items with an answer.
    #[n(7)]
    pub completed: u32,
    /// Number of permanently rejected items.
    #[n(8)]
    pub failed: u32,
    /// Number of non-repeatable items whose answer is lost.
    #[n(9)]
    pub unknown: u32,
    /// Number of leased items.
    #[n(10)]
    pub leased: u32,
    /// Deadline in seconds since the Unix epoch.
    #[n(11)]
    pub deadline_unix_seconds: u64,
}

/// Serializes a job identifier as text.
fn job_as_text<S: serde::Serializer>(job: &JobId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}

/// Deserializes a job identifier from text.
fn job_from_text<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<JobId, D::Error> {
    let text = String::deserialize(deserializer)?;
    JobId::parse(&text).ok_or_else(|| serde::de::Error::custom("not a job identifier"))
}

/// A read query of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobQuery {
    /// Summary of one job.
    #[n(0)]
    Status {
        /// Job.
        #[n(0)]
        job: JobId,
    },
    /// Summaries, newest first.
    #[n(1)]
    List {
        /// Maximum number of summaries.
        #[n(0)]
        limit: u32,
    },
    /// Results in item order; items without a result are omitted.
    #[n(2)]
    Results {
        /// Job.
        #[n(0)]
        job: JobId,
        /// First item.
        #[n(1)]
        first: ItemIndex,
        /// Maximum number of results.
        #[n(2)]
        limit: u32,
    },
    /// All active leases.
    #[n(3)]
    Leases,
}

/// A recorded result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemRecord {
    /// Item.
    #[n(0)]
    pub item: ItemIndex,
    /// Outcome.
    #[n(1)]
    pub outcome: ItemOutcome,
    /// Response body, or the reason of a failure.
    #[n(2)]
    pub payload: ByteVec,
}

/// An active lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRecord {
    /// Lease.
    #[n(0)]
    pub lease: LeaseId,
    /// Job.
    #[n(1)]
    pub job: JobId,
    /// Owner.
    #[n(2)]
    pub owner: NodeId,
    /// Back end.
    #[n(3)]
    pub backend: BackendId,
    /// Number of items still held.
    #[n(4)]
    pub items: u32,
    /// Number of renewals so far; see [`super::JobCommand::Expire`].
    #[n(5)]
    pub renewals: u64,
}

/// Answer to a [`JobQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobAnswer {
    /// Answer to [`JobQuery::Status`]; `None` if the job does not exist.
    #[n(0)]
    Status(#[n(0)] Option<JobStatus>),
    /// Answer to [`JobQuery::List`].
    #[n(1)]
    List(#[n(0)] Vec<JobStatus>),
    /// Answer to [`JobQuery::Results`].
    #[n(2)]
    Results {
        /// Results.
        #[n(0)]
        results: Vec<ItemRecord>,
        /// First item of the next page; `None` at the end of the job.
        #[n(1)]
        next: Option<ItemIndex>,
    },
    /// Answer to [`JobQuery::Leases`].
    #[n(3)]
    Leases(#[n(0)] Vec<LeaseRecord>),
    /// The payload log failed or the query could not be decoded.
    #[n(4)]
    Failed {
        /// Error message.
        #[n(0)]
        message: String,
    },
}

/// An open claim, as tracked by the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpenClaimRecord {
    /// Tenant that sent the request.
    pub tenant: TenantId,
    /// Idempotency key of the request.
    pub key: String,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
}

impl OpenClaimRecord {
    /// Returns the settlement of the claim as unknown. It has no effect if the attempt no
    /// longer holds the claim.
    #[must_use]
    pub fn into_unknown(self) -> SettleClaim {
        SettleClaim {
            tenant: self.tenant,
            key: self.key,
            attempt: self.attempt,
            outcome: RunOutcome::Unknown,
            answer: Vec::new().into(),
        }
    }
}
