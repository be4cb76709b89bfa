//! Commands on the declared state and their replies.

use std::collections::BTreeSet;

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, ZoneName};

use super::departures::Departure;
use super::document::Document;
use super::model::ServingModel;
use super::request_digest::RequestDigest;
use super::stores::Retirement;
use super::trials::{TrialOutcome, TrialReply};

/// A complete configuration sent by an operator. It has already been validated.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Declaration {
    /// Version number assigned by the operator.
    #[n(0)]
    pub version: u64,
    /// The original document, byte for byte.
    #[n(1)]
    pub document: Document,
    /// Parsed content of the document.
    #[n(2)]
    pub model: ServingModel,
}

/// Registers a store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RegisterStore {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Name used by operators.
    #[n(1)]
    pub name: String,
    /// Zone of the node.
    #[n(2)]
    pub zone: ZoneName,
    /// Incarnation of its disk.
    #[n(3)]
    pub incarnation: u32,
    /// Target number of replicas of the batch group.
    #[n(4)]
    pub replicas: u32,
    /// Whether the group is created with the stores available so far, since the wait for
    /// more has timed out.
    #[n(5)]
    pub wait_timed_out: bool,
}

/// A command on the declared state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DeclaredCommand {
    /// Applies a configuration unless one with an equal or higher version is in force.
    #[n(0)]
    Declare(#[n(0)] Box<Declaration>),
    /// Records that an engine is leaving.
    #[n(1)]
    Depart {
        /// Identifier of its incarnation.
        #[n(0)]
        engine: String,
        /// Progress of its departure.
        #[n(1)]
        departure: Departure,
    },
    /// Registers a store.
    #[n(2)]
    RegisterStore(#[n(0)] RegisterStore),
    /// Requests, for an operator, that a store is emptied.
    #[n(3)]
    Retire {
        /// Name of the store.
        #[n(0)]
        name: String,
        /// Minimum number of stores that must remain.
        #[n(1)]
        replicas: u32,
        /// Stores that the proposer considers alive.
        #[n(2)]
        alive: BTreeSet<NodeId>,
    },
    /// Records that a store holds no data that others need.
    #[n(4)]
    RetirementCompleted {
        /// The emptied store.
        #[n(0)]
        node: NodeId,
    },
    /// Bars a request because engines crash on it.
    #[n(5)]
    Bar {
        /// Request.
        #[n(0)]
        request: RequestDigest,
        /// Current time at the proposer, in milliseconds since 1970.
        #[n(1)]
        since_ms: u64,
        /// Number of engines that crashed on it.
        #[n(2)]
        crashes: u32,
    },
    /// Lifts the bar on a request, for an operator.
    #[n(6)]
    LiftBar {
        /// Request.
        #[n(0)]
        request: RequestDigest,
    },
    /// Asks for a trial of a barred request, or of a part of prompts.
    #[n(7)]
    Try {
        /// Request or part.
        #[n(0)]
        request: RequestDigest,
        /// Current time at the proposer, in milliseconds since 1970.
        #[n(1)]
        now_ms: u64,
        /// Number of trials that its crashes so far leave, or
        /// [`UNLIMITED_TRIALS`](super::UNLIMITED_TRIALS).
        #[n(2)]
        allowed: u32,
        /// Whether engines of the service have not ended lately for other reasons.
        #[n(3)]
        is_calm: bool,
    },
    /// Records how a trial ended.
    #[n(8)]
    TrialEnded {
        /// Request or part.
        #[n(0)]
        request: RequestDigest,
        /// Outcome.
        #[n(1)]
        outcome: TrialOutcome,
    },
}

/// Reply to [`DeclaredCommand::Retire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RetireReply {
    /// No store has that name.
    #[n(0)]
    Unknown,
    /// Too few stores would remain.
    #[n(1)]
    TooFew,
    /// The store is being emptied or is already empty.
    #[n(2)]
    Taken {
        /// Progress of the retirement.
        #[n(0)]
        retirement: Retirement,
    },
}

/// Reply to a [`DeclaredCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DeclaredReply {
    /// The version in force after the command.
    #[n(0)]
    Version {
        /// Version in force.
        #[n(0)]
        version: u64,
    },
    /// The command was applied.
    #[n(1)]
    Noted,
    /// Reply to [`DeclaredCommand::Retire`].
    #[n(2)]
    Retire(#[n(0)] RetireReply),
    /// Reply to [`DeclaredCommand::Try`].
    #[n(3)]
    Trial(#[n(0)] TrialReply),
}
