//! Reads of a job group.

use derive_more::Display;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    AttemptId, BackendId, ItemIndex, JobId, LeaseId, NodeId, RunOutcome, ServiceName, TenantId,
};
use serde::{Deserialize, Serialize};

use super::command::{ItemOutcome, SettleClaim};

/// Where a job stands.
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
    /// Cancelled, and some lease is still out.
    #[n(2)]
    #[display("cancelling")]
    Cancelling,
    /// Cancelled, and nothing of it runs any more.
    #[n(3)]
    #[display("cancelled")]
    Cancelled,
    /// Every item has its result.
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
    /// Who submitted it.
    #[n(1)]
    pub tenant: TenantId,
    /// Its key.
    #[n(2)]
    pub key: String,
    /// Service that runs it.
    #[n(3)]
    pub service: ServiceName,
    /// Where it stands.
    #[n(4)]
    pub phase: JobPhase,
    /// Items it will have.
    #[n(5)]
    pub item_count: u32,
    /// Items received.
    #[n(6)]
    pub received: u32,
    /// Items with an answer.
    #[n(7)]
    pub completed: u32,
    /// Items refused for good.
    #[n(8)]
    pub failed: u32,
    /// Non-repeatable items whose answer is lost.
    #[n(9)]
    pub unknown: u32,
    /// Items out under leases.
    #[n(10)]
    pub leased: u32,
    /// Deadline in seconds since the Unix epoch.
    #[n(11)]
    pub deadline_unix_seconds: u64,
}

/// Writes a job as its text form.
fn job_as_text<S: serde::Serializer>(job: &JobId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}

/// Reads a job from its text form.
fn job_from_text<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<JobId, D::Error> {
    let text = String::deserialize(deserializer)?;
    JobId::parse(&text).ok_or_else(|| serde::de::Error::custom("not a job identifier"))
}

/// A read of a job group.
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
        /// Most summaries wanted.
        #[n(0)]
        limit: u32,
    },
    /// Results in item order; items without one are left out.
    #[n(2)]
    Results {
        /// Job.
        #[n(0)]
        job: JobId,
        /// First item.
        #[n(1)]
        first: ItemIndex,
        /// Most results wanted.
        #[n(2)]
        limit: u32,
    },
    /// Leases that are out.
    #[n(3)]
    Leases,
}

/// The result of an item as it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemRecord {
    /// Item.
    #[n(0)]
    pub item: ItemIndex,
    /// How it ended.
    #[n(1)]
    pub outcome: ItemOutcome,
    /// Response body or reason.
    #[n(2)]
    pub payload: ByteVec,
}

/// A lease that is out.
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
    /// Items still held.
    #[n(4)]
    pub items: u32,
    /// Renewals so far; see [`super::JobCommand::Expire`].
    #[n(5)]
    pub renewals: u64,
}

/// Answer to a read of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobAnswer {
    /// To [`JobQuery::Status`]; `None` when there is no such job.
    #[n(0)]
    Status(#[n(0)] Option<JobStatus>),
    /// To [`JobQuery::List`].
    #[n(1)]
    List(#[n(0)] Vec<JobStatus>),
    /// To [`JobQuery::Results`].
    #[n(2)]
    Results {
        /// Results.
        #[n(0)]
        results: Vec<ItemRecord>,
        /// Where to go on; `None` at the end of the job.
        #[n(1)]
        next: Option<ItemIndex>,
    },
    /// To [`JobQuery::Leases`].
    #[n(3)]
    Leases(#[n(0)] Vec<LeaseRecord>),
    /// The payload log failed or the query could not be read.
    #[n(4)]
    Failed {
        /// Why.
        #[n(0)]
        message: String,
    },
}

/// A claim that is open, as its leader watches it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpenClaimRecord {
    /// Who asked.
    pub tenant: TenantId,
    /// Key of the request.
    pub key: String,
    /// Attempt that it was granted to.
    pub attempt: AttemptId,
}

impl OpenClaimRecord {
    /// The settlement that ends it as unknown. It has no effect if the attempt
    /// no longer holds the claim.
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
