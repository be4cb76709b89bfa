//! Commands of a job group and their replies.

use derive_more::From;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    AttemptId, BackendId, Digest, ItemIndex, JobId, LeaseId, NodeId, RunOutcome, ServiceName,
    TenantId,
};

use super::query::{JobPhase, JobStatus};

/// Opens a job, or returns the job already opened under the same key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BeginJob {
    /// Identifier of the job, derived from tenant and key.
    #[n(0)]
    pub job: JobId,
    /// Tenant that submits the job.
    #[n(1)]
    pub tenant: TenantId,
    /// Idempotency key that identifies a resubmission.
    #[n(2)]
    pub key: String,
    /// Digest of the whole submission; the same key with a different digest is a conflict.
    #[n(3)]
    pub digest: Digest,
    /// Service that runs the items.
    #[n(4)]
    pub service: ServiceName,
    /// Number of items.
    #[n(5)]
    pub item_count: u32,
    /// Whether an item may run again after an interrupted run.
    #[n(6)]
    pub repeatable: bool,
    /// Deadline in seconds since the Unix epoch, for ordering only.
    #[n(7)]
    pub deadline_unix_seconds: u64,
}

/// Adds item inputs to a job that is still being submitted. Items at positions that were
/// already received are ignored, so a retry has no effect.
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

/// Requests a lease on items to run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRequest {
    /// Gateway that will run them.
    #[n(0)]
    pub owner: NodeId,
    /// Incarnation of the gateway.
    #[n(1)]
    pub owner_incarnation: u64,
    /// Number of this request within the incarnation; a retry gets the same lease.
    #[n(2)]
    pub sequence: u64,
    /// Service whose back ends have free capacity.
    #[n(3)]
    pub service: ServiceName,
    /// Back end that will run them.
    #[n(4)]
    pub backend: BackendId,
    /// Maximum number of items to lease.
    #[n(5)]
    pub max_items: u32,
}

/// Outcome of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ItemOutcome {
    /// The item has an answer.
    #[n(0)]
    Completed,
    /// The item was permanently rejected; the payload is the reason.
    #[n(1)]
    Failed,
    /// The item is not repeatable, may have run, and its answer is lost.
    #[n(2)]
    Unknown,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
    /// Item.
    #[n(0)]
    pub item: ItemIndex,
    /// Outcome of the run.
    #[n(1)]
    pub outcome: ItemOutcome,
    /// Response body, or the reason of a failure.
    #[n(2)]
    pub payload: ByteVec,
}

/// Claims the right to run a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// Tenant that sends the request.
    #[n(0)]
    pub tenant: TenantId,
    /// Idempotency key of the request.
    #[n(1)]
    pub key: String,
    /// Digest of the request body.
    #[n(2)]
    pub digest: Digest,
    /// Attempt that will run the request if the claim is granted.
    #[n(3)]
    pub attempt: AttemptId,
}

/// Records the outcome of a claimed request. The first settlement wins.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SettleClaim {
    /// Tenant that sent the request.
    #[n(0)]
    pub tenant: TenantId,
    /// Idempotency key of the request.
    #[n(1)]
    pub key: String,
    /// The attempt that holds the claim.
    #[n(2)]
    pub attempt: AttemptId,
    /// Outcome; `NotRun` releases the claim.
    #[n(3)]
    pub outcome: RunOutcome,
    /// Response body if the request completed.
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
    /// Accepts the job once all items have been received.
    #[n(2)]
    #[from(skip)]
    Accept {
        /// Job.
        #[n(0)]
        job: JobId,
    },
    /// Cancels a job.
    #[n(3)]
    #[from(skip)]
    Cancel {
        /// Job.
        #[n(0)]
        job: JobId,
    },
    /// Requests a lease on items to run.
    #[n(4)]
    Lease(#[n(0)] LeaseRequest),
    /// Renews leases. The reply lists the leases whose job was cancelled.
    #[n(5)]
    #[from(skip)]
    Renew {
        /// Leases to renew.
        #[n(0)]
        leases: Vec<LeaseId>,
    },
    /// Records results. Results of items that the lease no longer holds are dropped.
    #[n(6)]
    #[from(skip)]
    Record {
        /// Lease under which the items ran.
        #[n(0)]
        lease: LeaseId,
        /// Results.
        #[n(1)]
        results: Vec<ItemResult>,
    },
    /// Returns items that did not run.
    #[n(7)]
    #[from(skip)]
    Return {
        /// Lease.
        #[n(0)]
        lease: LeaseId,
        /// Items to return; empty means every item that the lease still holds.
        #[n(1)]
        items: Vec<ItemIndex>,
    },
    /// Expires a lease that was not renewed for its whole duration on the leader's clock.
    /// Items of a repeatable job become free again; items of other jobs get the outcome
    /// unknown.
    #[n(8)]
    #[from(skip)]
    Expire {
        /// Lease.
        #[n(0)]
        lease: LeaseId,
        /// Number of renewals that the leader observed. If it differs, the owner renewed in
        /// time and the expiry has no effect.
        #[n(1)]
        renewals: u64,
    },
    /// Claims the right to run a non-repeatable request.
    #[n(9)]
    Claim(#[n(0)] ClaimRequest),
    /// Records the outcome of a claimed request.
    #[n(10)]
    Settle(#[n(0)] SettleClaim),
    /// Sets the scheduling weight of a tenant's jobs relative to other tenants.
    #[n(11)]
    #[from(skip)]
    SetWeight {
        /// Tenant.
        #[n(0)]
        tenant: TenantId,
        /// Weight; 0 counts as 1, which is also the default.
        #[n(1)]
        weight: u32,
    },
    /// Drops a job whose submission was abandoned. The job was never accepted, so its key
    /// can be used again.
    #[n(12)]
    #[from(skip)]
    Abandon {
        /// Job.
        #[n(0)]
        job: JobId,
        /// Number of items that the leader observed. If it differs, the submission
        /// continued and the command has no effect.
        #[n(1)]
        received: u32,
    },
}

/// An item granted under a lease.
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
    /// Another attempt holds the claim and may still be running.
    #[n(1)]
    Held {
        /// Attempt that holds the claim.
        #[n(0)]
        attempt: AttemptId,
    },
    /// The claim is settled.
    #[n(2)]
    Settled {
        /// Outcome of the run.
        #[n(0)]
        outcome: RunOutcome,
        /// Response body if the request completed.
        #[n(1)]
        answer: ByteVec,
    },
    /// The key was already used with a different body.
    #[n(3)]
    KeyConflict,
}

/// Reply to a command of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobReply {
    /// Status of the job after a begin, append, accept or cancel command.
    #[n(0)]
    Job(#[n(0)] JobStatus),
    /// The key was already used for a different submission.
    #[n(1)]
    KeyConflict {
        /// Digest of the earlier submission.
        #[n(0)]
        digest: Digest,
    },
    /// The job does not exist.
    #[n(2)]
    UnknownJob,
    /// The command is not allowed in the job's phase, or leaves a gap in its items.
    #[n(3)]
    WrongPhase {
        /// Current phase of the job.
        #[n(0)]
        phase: JobPhase,
        /// Number of items received.
        #[n(1)]
        received: u32,
    },
    /// Items to run; `None` when no items are available for the service.
    #[n(4)]
    Leased(#[n(0)] Option<GrantedLease>),
    /// Reply to a renewal.
    #[n(5)]
    Renewed {
        /// Leases that no longer exist; their runs must be stopped.
        #[n(0)]
        lost: Vec<LeaseId>,
        /// Leases whose job was cancelled: stop their streams, then return their items.
        #[n(1)]
        cancelled: Vec<LeaseId>,
    },
    /// Reply to a record, return or expire command.
    #[n(6)]
    Recorded {
        /// Number of items recorded, returned or expired.
        #[n(0)]
        taken: u32,
        /// Number of items that the lease did not hold; they were ignored.
        #[n(1)]
        dropped: u32,
    },
    /// Reply to a claim.
    #[n(7)]
    Claim(#[n(0)] ClaimReply),
    /// The claim is settled by this settlement or an earlier one.
    #[n(8)]
    Settled {
        /// Recorded outcome.
        #[n(0)]
        outcome: RunOutcome,
    },
    /// The command could not be decoded; nothing changed.
    #[n(9)]
    Malformed,
    /// The settling attempt does not hold the claim; nothing changed.
    #[n(10)]
    ClaimNotHeld,
    /// The weight is set.
    #[n(11)]
    WeightSet,
}

/// A granted lease and its items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GrantedLease {
    /// Lease.
    #[n(0)]
    pub lease: LeaseId,
    /// Job that the items belong to.
    #[n(1)]
    pub job: JobId,
    /// Whether an item may run again after an interrupted run.
    #[n(2)]
    pub repeatable: bool,
    /// Items.
    #[n(3)]
    pub items: Vec<LeasedItem>,
}
