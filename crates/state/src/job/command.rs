//! Commands of a job group and their replies.

use derive_more::From;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    AttemptId, BackendId, Digest, ItemIndex, JobId, LeaseId, NodeId, RunOutcome, ServiceName,
    TenantId,
};

use super::query::{JobPhase, JobStatus};

/// Opens a job, or finds the one that was opened under the same key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BeginJob {
    /// Derived from tenant and key.
    #[n(0)]
    pub job: JobId,
    /// Who submits.
    #[n(1)]
    pub tenant: TenantId,
    /// Key under which a resubmission is recognised.
    #[n(2)]
    pub key: String,
    /// Digest of the whole submission; the same key with another is a conflict.
    #[n(3)]
    pub digest: Digest,
    /// Service that runs the items.
    #[n(4)]
    pub service: ServiceName,
    /// Number of items.
    #[n(5)]
    pub item_count: u32,
    /// Whether an item may run again when its first run was cut short.
    #[n(6)]
    pub repeatable: bool,
    /// Deadline in seconds since the Unix epoch, for ordering only.
    #[n(7)]
    pub deadline_unix_seconds: u64,
}

/// Adds item inputs to a job that is still being submitted. Items at positions
/// that are already there are ignored, so a resend is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AppendItems {
    /// Job.
    #[n(0)]
    pub job: JobId,
    /// Position of the first item; must not leave a gap.
    #[n(1)]
    pub first: ItemIndex,
    /// Request bodies.
    #[n(2)]
    pub inputs: Vec<ByteVec>,
}

/// Asks for items to run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRequest {
    /// Gateway that will run them.
    #[n(0)]
    pub owner: NodeId,
    /// Life of the gateway.
    #[n(1)]
    pub owner_incarnation: u64,
    /// Number of this request in that life; a resend gets the same lease.
    #[n(2)]
    pub sequence: u64,
    /// Service whose back ends have room.
    #[n(3)]
    pub service: ServiceName,
    /// Back end that will run them.
    #[n(4)]
    pub backend: BackendId,
    /// Most items wanted.
    #[n(5)]
    pub max_items: u32,
}

/// How the run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ItemOutcome {
    /// It has an answer.
    #[n(0)]
    Completed,
    /// It was refused for good, with the reason as its payload.
    #[n(1)]
    Failed,
    /// A non-repeatable item may have run and its answer is lost.
    #[n(2)]
    Unknown,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
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

/// Claims the right to run a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// Who asks.
    #[n(0)]
    pub tenant: TenantId,
    /// Key of the request.
    #[n(1)]
    pub key: String,
    /// Digest of its body.
    #[n(2)]
    pub digest: Digest,
    /// The attempt that would run it.
    #[n(3)]
    pub attempt: AttemptId,
}

/// Records how a claimed request ended. The first settlement wins.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SettleClaim {
    /// Who asked.
    #[n(0)]
    pub tenant: TenantId,
    /// Key of the request.
    #[n(1)]
    pub key: String,
    /// The attempt that holds the claim.
    #[n(2)]
    pub attempt: AttemptId,
    /// How it ended; `NotRun` frees the claim.
    #[n(3)]
    pub outcome: RunOutcome,
    /// Response body when completed.
    #[n(4)]
    pub answer: ByteVec,
}

/// A command of a job group.
#[derive(Clone, Debug, PartialEq, Eq, From, Encode, Decode)]
pub enum JobCommand {
    /// Opens a job.
    #[n(0)]
    Begin(#[n(0)] BeginJob),
    /// Adds items.
    #[n(1)]
    Append(#[n(0)] AppendItems),
    /// Accepts the job once all items are there.
    #[n(2)]
    #[from(skip)]
    Accept {
        /// Job.
        #[n(0)]
        job: JobId,
    },
    /// Stops a job.
    #[n(3)]
    #[from(skip)]
    Cancel {
        /// Job.
        #[n(0)]
        job: JobId,
    },
    /// Asks for items to run.
    #[n(4)]
    Lease(#[n(0)] LeaseRequest),
    /// Keeps a lease alive. The reply carries the jobs that were cancelled.
    #[n(5)]
    #[from(skip)]
    Renew {
        /// Leases to keep.
        #[n(0)]
        leases: Vec<LeaseId>,
    },
    /// Records results; only items that the lease still holds are taken.
    #[n(6)]
    #[from(skip)]
    Record {
        /// Lease under which they ran.
        #[n(0)]
        lease: LeaseId,
        /// Results.
        #[n(1)]
        results: Vec<ItemResult>,
    },
    /// Gives items back that were not run.
    #[n(7)]
    #[from(skip)]
    Return {
        /// Lease.
        #[n(0)]
        lease: LeaseId,
        /// Items; empty means every item that the lease still holds.
        #[n(1)]
        items: Vec<ItemIndex>,
    },
    /// Ends a lease whose owner was silent for its whole length by the
    /// leader's clock. Items of a repeatable job become free again; those of
    /// others end as unknown.
    #[n(8)]
    #[from(skip)]
    Expire {
        /// Lease.
        #[n(0)]
        lease: LeaseId,
        /// Renewals that the leader had seen; another number means that the
        /// owner came back in time, and the expiry has no effect.
        #[n(1)]
        renewals: u64,
    },
    /// Claims a non-repeatable request.
    #[n(9)]
    Claim(#[n(0)] ClaimRequest),
    /// Records how a claimed request ended.
    #[n(10)]
    Settle(#[n(0)] SettleClaim),
    /// Sets the weight of a tenant's jobs against those of others.
    #[n(11)]
    #[from(skip)]
    SetWeight {
        /// Tenant.
        #[n(0)]
        tenant: TenantId,
        /// Weight; 0 counts as 1, which is also the weight of a tenant that
        /// has none set.
        #[n(1)]
        weight: u32,
    },
    /// Drops a job whose submission was given up. Nothing of it was accepted,
    /// so its key is free again.
    #[n(12)]
    #[from(skip)]
    Abandon {
        /// Job.
        #[n(0)]
        job: JobId,
        /// Items that the leader had seen; another number means that the
        /// submission went on, and the command has no effect.
        #[n(1)]
        received: u32,
    },
}

/// An item handed out under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeasedItem {
    /// Item.
    #[n(0)]
    pub item: ItemIndex,
    /// Request body.
    #[n(1)]
    pub input: ByteVec,
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimReply {
    /// The attempt may run the request.
    #[n(0)]
    Granted,
    /// Another attempt holds the claim and has not ended.
    #[n(1)]
    Held {
        /// That attempt.
        #[n(0)]
        attempt: AttemptId,
    },
    /// It ended; this is its outcome and answer.
    #[n(2)]
    Settled {
        /// How it ended.
        #[n(0)]
        outcome: RunOutcome,
        /// Response body when completed.
        #[n(1)]
        answer: ByteVec,
    },
    /// The key was used for another body.
    #[n(3)]
    KeyConflict,
}

/// Reply to a command of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobReply {
    /// The job stands as described: after begin, append, accept and cancel.
    #[n(0)]
    Job(#[n(0)] JobStatus),
    /// The key was used for another submission.
    #[n(1)]
    KeyConflict {
        /// Digest of that submission.
        #[n(0)]
        digest: Digest,
    },
    /// No such job.
    #[n(2)]
    UnknownJob,
    /// The command does not fit the job's phase, or leaves a gap in its items.
    #[n(3)]
    WrongPhase {
        /// Phase it is in.
        #[n(0)]
        phase: JobPhase,
        /// Items it has.
        #[n(1)]
        received: u32,
    },
    /// Items to run; `None` when nothing waits for that service.
    #[n(4)]
    Leased(#[n(0)] Option<GrantedLease>),
    /// To a renewal.
    #[n(5)]
    Renewed {
        /// Leases that are no longer held and must be stopped.
        #[n(0)]
        lost: Vec<LeaseId>,
        /// Leases whose job was cancelled: stop the streams, then return them.
        #[n(1)]
        cancelled: Vec<LeaseId>,
    },
    /// To a record, return or expiry.
    #[n(6)]
    Recorded {
        /// Items taken.
        #[n(0)]
        taken: u32,
        /// Items that the lease did not hold; their results were dropped.
        #[n(1)]
        dropped: u32,
    },
    /// To a claim.
    #[n(7)]
    Claim(#[n(0)] ClaimReply),
    /// The settlement stands, this one or an earlier one.
    #[n(8)]
    Settled {
        /// Outcome on record.
        #[n(0)]
        outcome: RunOutcome,
    },
    /// The command's bytes could not be read; nothing changed.
    #[n(9)]
    Malformed,
    /// The settlement is of an attempt that does not hold the claim; nothing
    /// changed.
    #[n(10)]
    ClaimNotHeld,
    /// The weight is set.
    #[n(11)]
    WeightSet,
}

/// A lease and its items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GrantedLease {
    /// Lease.
    #[n(0)]
    pub lease: LeaseId,
    /// Job that the items belong to.
    #[n(1)]
    pub job: JobId,
    /// Whether an item may run again when its run was cut short.
    #[n(2)]
    pub repeatable: bool,
    /// Items.
    #[n(3)]
    pub items: Vec<LeasedItem>,
}
