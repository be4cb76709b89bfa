//! Inputs and outputs of the batch owner.

use std::time::Duration;

use derive_more::Display;
use minicbor::bytes::ByteVec;
use molespan_state::job::{GrantedLease, ItemResult};
use molespan_types::{
    BackendId, GroupId, Incarnation, ItemIndex, JobId, LeaseId, NodeId, ServiceName,
};

use crate::pick::LoadSample;

/// One batch stream on an engine. The daemon gives it an attempt of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct StreamId(pub u64);

/// Numbers the owner's requests to job groups; a resend keeps its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct RequestNumber(pub u64);

/// An engine whose batch work this gateway owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedEngine {
    /// Engine.
    pub backend: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Service whose items it runs.
    pub service: ServiceName,
}

/// Online work that another gateway sent to an engine, or that ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// Gateway.
    pub from: NodeId,
    /// Engine.
    pub backend: BackendId,
    /// Online requests that the gateway has in flight there.
    pub in_flight: u32,
    /// Prompt tokens of the new request; 0 when the notice only updates the
    /// count after a request ended.
    pub prompt_tokens: u32,
}

/// How the run of an item ended, after the retries that its kind allows on the
/// same engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// It has an answer.
    Completed(ByteVec),
    /// The engine refused it for good, with this reason.
    Refused(ByteVec),
    /// It did not run.
    NotRun,
    /// It may have run, and its answer is lost.
    Unknown,
}

/// What a job group replied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupReply {
    /// To [`BatchOutput::LeaseItems`]; `None` when nothing waits there.
    Leased(Option<GrantedLease>),
    /// To [`BatchOutput::Renew`].
    Renewed {
        /// Leases that are no longer held.
        lost: Vec<LeaseId>,
        /// Leases whose job was cancelled.
        cancelled: Vec<LeaseId>,
    },
    /// To [`BatchOutput::Record`] and [`BatchOutput::Return`].
    Taken {
        /// Items taken.
        taken: u32,
        /// Items that the lease no longer held.
        dropped: u32,
    },
    /// No reply came, or no leader was there; the request may have taken effect.
    Failed,
}

/// An input of the batch owner.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchInput {
    /// The gateway became the owner of an engine, a new life of it appeared, or
    /// it was closed and may take work again.
    Acquired(OwnedEngine),
    /// The engine is leaving or ejected: run what runs, start nothing new
    /// until it is acquired again.
    Closed(BackendId),
    /// The gateway is no longer the owner.
    Released(BackendId),
    /// A load report of an owned engine.
    Load(LoadSample),
    /// This gateway is about to send an online request to an engine. Carry out
    /// the outputs before the request itself.
    OnlineStarted {
        /// Engine.
        backend: BackendId,
    },
    /// An online request of this gateway got its first token.
    OnlineFirstToken {
        /// Engine.
        backend: BackendId,
        /// Time since it was sent.
        after: Duration,
    },
    /// An online request of this gateway ended.
    OnlineFinished {
        /// Engine.
        backend: BackendId,
    },
    /// Another gateway's notice.
    Foreign(Foreign),
    /// A job group replied.
    Reply {
        /// Number of the request.
        request: RequestNumber,
        /// The reply.
        reply: GroupReply,
    },
    /// A stream generated tokens.
    Progress {
        /// Stream.
        stream: StreamId,
        /// Tokens so far.
        tokens: u32,
    },
    /// A stream ended.
    Ended {
        /// Stream.
        stream: StreamId,
        /// How.
        end: ItemEnd,
    },
    /// Items of a service were accepted somewhere; do not wait to ask.
    WorkAvailable(ServiceName),
    /// The policy knob: 0 fills engines, 100 guards the online tail.
    Policy {
        /// Value of the knob.
        tail_protection: u8,
    },
    /// A planned stop began: return everything.
    Drain,
    /// Time passed; see [`super::BatchOwner::next_wakeup`].
    Tick,
}

/// An output of the batch owner, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutput {
    /// Hold a stream back on its engine.
    Pause(StreamId),
    /// Let a stream that was held back go on.
    Resume(StreamId),
    /// Stop a stream for good; nothing more is expected of it.
    Cancel(StreamId),
    /// Start a stream.
    Dispatch {
        /// Stream.
        stream: StreamId,
        /// Engine.
        backend: BackendId,
        /// Its life.
        incarnation: Incarnation,
        /// Service.
        service: ServiceName,
        /// Job of the item.
        job: JobId,
        /// Item.
        item: ItemIndex,
        /// Whether it may be sent again after an ambiguous end.
        repeatable: bool,
        /// Request body.
        input: ByteVec,
    },
    /// Ask a job group for items; the number is the lease request's sequence.
    LeaseItems {
        /// Number of the request.
        request: RequestNumber,
        /// Group.
        group: GroupId,
        /// Service.
        service: ServiceName,
        /// Engine that will run them.
        backend: BackendId,
        /// Most items wanted.
        max_items: u32,
    },
    /// Keep leases alive.
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
    /// Give back items that were not run; never empty.
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
    /// A decision event.
    Decision(BatchDecision),
    /// The drain is complete: no lease is held and no request is out.
    Drained,
}

/// Batch streams that made way, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Engine.
    pub backend: BackendId,
    /// Online requests there, as known.
    pub online: u32,
    /// Streams that may go on.
    pub allowed: u32,
    /// Streams held back.
    pub paused: u32,
    /// Streams stopped, to be run again later.
    pub cancelled: u32,
}

/// A decision of the batch owner with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BatchDecision {
    /// Batch streams made way for online work.
    Preempted(Preemption),
    /// Batch streams go on or start.
    Filled {
        /// Engine.
        backend: BackendId,
        /// Online requests there, as known.
        online: u32,
        /// Streams that may run.
        allowed: u32,
        /// Streams that were held back and go on.
        resumed: u32,
        /// Streams started.
        started: u32,
    },
    /// The batch concurrency of an engine was changed.
    LimitChanged {
        /// Engine.
        backend: BackendId,
        /// Streams before.
        from: u32,
        /// Streams after.
        to: u32,
        /// Mean step that was reported.
        step: Duration,
        /// Step that the policy aims at.
        target: Duration,
    },
    /// A lease ended on the owner's own clock and its streams were stopped.
    LeaseRanOut {
        /// Group.
        group: GroupId,
        /// Lease.
        lease: LeaseId,
        /// Streams stopped.
        stopped: u32,
    },
    /// A lease was lost or its job cancelled, and its streams were stopped.
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
