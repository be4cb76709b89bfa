//! Inputs and outputs of the batch owner.

use std::time::Duration;

use derive_more::Display;
use minicbor::bytes::ByteVec;
use molespan_state::job::{GrantedLease, ItemResult};
use molespan_types::{
    BackendId, GroupId, Incarnation, ItemIndex, JobId, LeaseId, NodeId, ServiceName,
};

use crate::pick::LoadSample;

/// Identifies a batch stream on an engine. The daemon assigns each stream its own
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct StreamId(pub u64);

/// Number of a request to a job group; a resend keeps its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct RequestNumber(pub u64);

/// An engine whose batch work this gateway schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedEngine {
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Service whose items it runs.
    pub service: ServiceName,
}

/// Notice from another gateway about its online requests at an engine, sent when
/// one starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnlineNotice {
    /// Gateway that sent the notice.
    pub from: NodeId,
    /// Engine.
    pub backend: BackendId,
    /// Online requests that this gateway has in flight at the engine.
    pub in_flight: u32,
    /// Prompt tokens of the new request; 0 when the notice reports the end of
    /// a request.
    pub prompt_tokens: u32,
}

/// How the run of an item ended, after any retries on the same engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The item completed with this payload.
    Completed(ByteVec),
    /// The engine rejected the item permanently, with this reason.
    Refused(ByteVec),
    /// The item did not run.
    NotRun,
    /// The item may have run, but its result is lost.
    Unknown,
}

/// Reply of a job group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupReply {
    /// Reply to [`BatchOutput::LeaseItems`]; `None` when the group has no items.
    Leased(Option<GrantedLease>),
    /// Reply to [`BatchOutput::Renew`].
    Renewed {
        /// Leases that are no longer held.
        lost: Vec<LeaseId>,
        /// Leases whose job was cancelled.
        cancelled: Vec<LeaseId>,
    },
    /// Reply to [`BatchOutput::Record`] and [`BatchOutput::Return`].
    Accepted {
        /// Items accepted.
        taken: u32,
        /// Items dropped because the lease no longer held them.
        dropped: u32,
    },
    /// The request timed out or found no leader; it may still have taken effect.
    Failed,
}

/// An input of the batch owner.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchInput {
    /// The gateway became the owner of an engine, the engine restarted under a new
    /// incarnation, or a closed engine accepts work again.
    Acquired(OwnedEngine),
    /// The engine is leaving or was ejected. Running streams continue, but none
    /// are started until the engine is acquired again.
    Closed(BackendId),
    /// The gateway no longer owns the engine.
    Released(BackendId),
    /// A load report of an owned engine.
    Load(LoadSample),
    /// This gateway is about to send an online request to an engine. The caller
    /// must carry out the outputs before it sends the request.
    OnlineStarted {
        /// Engine.
        backend: BackendId,
    },
    /// An online request of this gateway received its first token.
    OnlineFirstToken {
        /// Engine.
        backend: BackendId,
        /// Time since the request was sent.
        after: Duration,
    },
    /// An online request of this gateway ended.
    OnlineFinished {
        /// Engine.
        backend: BackendId,
    },
    /// A notice from another gateway.
    OnlineNotice(OnlineNotice),
    /// A job group replied.
    Reply {
        /// Number of the request.
        request: RequestNumber,
        /// Reply to it.
        reply: GroupReply,
    },
    /// A stream generated tokens.
    Progress {
        /// Stream.
        stream: StreamId,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A stream ended.
    Ended {
        /// Stream.
        stream: StreamId,
        /// How it ended.
        end: ItemEnd,
    },
    /// New items of a service were accepted; poll for them without backoff.
    WorkAvailable(ServiceName),
    /// The batch policy changed.
    Policy {
        /// From 0, which maximizes batch throughput, to 100, which minimizes the
        /// effect on the tail latency of online requests.
        tail_protection: u8,
    },
    /// A planned stop began: return pending items, stop streams of repeatable
    /// items, and let the others finish.
    Drain,
    /// Timer event; see [`super::BatchOwner::next_wakeup`].
    Tick,
}

/// An output of the batch owner; the caller carries outputs out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutput {
    /// Pause a stream on its engine.
    Pause(StreamId),
    /// Resume a paused stream.
    Resume(StreamId),
    /// Cancel a stream; later events of it are ignored.
    Cancel(StreamId),
    /// Start a stream.
    Dispatch {
        /// Stream.
        stream: StreamId,
        /// Engine.
        backend: BackendId,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Service.
        service: ServiceName,
        /// Job of the item.
        job: JobId,
        /// Item.
        item: ItemIndex,
        /// Whether the item may be retried after an ambiguous end.
        repeatable: bool,
        /// Request body.
        input: ByteVec,
    },
    /// Request a lease on items from a job group; the request number serves as
    /// the sequence of the lease request.
    LeaseItems {
        /// Number of the request.
        request: RequestNumber,
        /// Group.
        group: GroupId,
        /// Service.
        service: ServiceName,
        /// Engine that will run the items.
        backend: BackendId,
        /// Maximum number of items.
        max_items: u32,
    },
    /// Renew leases.
    Renew {
        /// Number of the request.
        request: RequestNumber,
        /// Group.
        group: GroupId,
        /// Leases.
        leases: Vec<LeaseId>,
    },
    /// Record results.
    Record {
        /// Number of the request.
        request: RequestNumber,
        /// Group.
        group: GroupId,
        /// Lease.
        lease: LeaseId,
        /// Results.
        results: Vec<ItemResult>,
    },
    /// Return items that were not run; `items` is never empty.
    Return {
        /// Number of the request.
        request: RequestNumber,
        /// Group.
        group: GroupId,
        /// Lease.
        lease: LeaseId,
        /// Items.
        items: Vec<ItemIndex>,
    },
    /// A scheduling decision, to be logged as an event.
    Decision(BatchDecision),
    /// The drain is complete: no lease is held and no request is in flight.
    Drained,
}

/// Batch streams that were preempted, and the load that caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Engine.
    pub backend: BackendId,
    /// Online requests at the engine, as far as this gateway knows.
    pub online: u32,
    /// Streams that may keep running.
    pub allowed: u32,
    /// Streams paused.
    pub paused: u32,
    /// Streams cancelled; their items run again later.
    pub cancelled: u32,
}

/// A scheduling decision of the batch owner, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BatchDecision {
    /// Batch streams were paused or cancelled because of online work.
    Preempted(Preemption),
    /// Batch streams were resumed or started.
    Filled {
        /// Engine.
        backend: BackendId,
        /// Online requests at the engine, as far as this gateway knows.
        online: u32,
        /// Streams that may run.
        allowed: u32,
        /// Streams resumed.
        resumed: u32,
        /// Streams started.
        started: u32,
    },
    /// The batch stream limit of an engine changed.
    LimitChanged {
        /// Engine.
        backend: BackendId,
        /// Limit before the change.
        from: u32,
        /// Limit after the change.
        to: u32,
        /// Mean step duration that the engine reported.
        step: Duration,
        /// Step duration that the policy aims at.
        target: Duration,
    },
    /// A lease expired on the owner's clock and its streams were stopped.
    LeaseExpired {
        /// Group.
        group: GroupId,
        /// Lease.
        lease: LeaseId,
        /// Streams stopped.
        stopped: u32,
    },
    /// A lease was lost or its job was cancelled, and its streams were stopped.
    LeaseRevoked {
        /// Group.
        group: GroupId,
        /// Lease.
        lease: LeaseId,
        /// Streams stopped.
        stopped: u32,
        /// Whether the job was cancelled.
        cancelled: bool,
    },
}
