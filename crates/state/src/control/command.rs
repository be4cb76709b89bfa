//! Commands of the control group and their replies.

use derive_more::{Display, From};
use minicbor::{Decode, Encode};
use molespan_types::{
    BackendId, ConfigVersion, Digest, FencingToken, Incarnation, NodeId, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::configuration::Change;
use crate::declared::{DeclaredCommand, DeclaredReply};

/// Number that an operator assigns to an intent. All operators share one number space: if
/// two pick the same number, the first confirmed intent wins.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[cbor(transparent)]
#[serde(transparent)]
pub struct IntentNumber(#[n(0)] pub u64);

/// Applies a planned intent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ConfirmIntent {
    /// Number of the intent.
    #[n(0)]
    pub number: IntentNumber,
    /// Operator who confirms the intent.
    #[n(1)]
    pub operator: String,
    /// Configuration version that the plan was computed for.
    #[n(2)]
    pub base_version: ConfigVersion,
    /// Changes to apply.
    #[n(3)]
    pub changes: Vec<Change>,
}

/// Role of a node.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Accepts requests from callers.
    #[n(0)]
    Gateway,
    /// Stores replicated state.
    #[n(1)]
    Replica,
}

/// Registers one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RegisterNode {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Incarnation of the node; one lower than the registered incarnation is rejected.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Human-readable name.
    #[n(2)]
    pub name: String,
    /// Zone of the node.
    #[n(3)]
    pub zone: ZoneName,
    /// Address of the internal interface.
    #[n(4)]
    pub internal_address: String,
    /// Address of the HTTP interface.
    #[n(5)]
    pub http_address: String,
    /// Roles of the node.
    #[n(6)]
    pub roles: Vec<NodeRole>,
}

/// A registered node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Latest registration of the node.
    #[n(0)]
    pub registration: RegisterNode,
    /// Whether the node is draining for a planned stop.
    #[n(1)]
    pub draining: bool,
}

/// Issues a fenced order to a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct IssueOrder {
    /// Back end that must execute the order.
    #[n(0)]
    pub backend: BackendId,
    /// Incarnation of the back end that the order is meant for.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Action of the order, as JSON of `engine_api::OrderAction`.
    #[n(2)]
    pub action: String,
    /// Highest token of this back end known to the issuer. If it differs from the current
    /// token, a concurrent issuer was first and the order is rejected.
    #[n(3)]
    pub expected_token: FencingToken,
}

/// A command of the control group.
#[derive(Clone, Debug, PartialEq, Eq, From, Encode, Decode)]
pub enum ControlCommand {
    /// Applies a planned intent.
    #[n(0)]
    Confirm(#[n(0)] ConfirmIntent),
    /// Registers a node.
    #[n(1)]
    Register(#[n(0)] RegisterNode),
    /// Marks a node as draining for a planned stop.
    #[n(2)]
    #[from(skip)]
    Drain {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Incarnation of the node.
        #[n(1)]
        incarnation: Incarnation,
    },
    /// Removes a node that stopped or is lost.
    #[n(3)]
    #[from(skip)]
    Remove {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Incarnation of the node.
        #[n(1)]
        incarnation: Incarnation,
    },
    /// Issues a fenced order.
    #[n(4)]
    Issue(#[n(0)] IssueOrder),
    /// Changes the declared state; see [`crate::declared`].
    #[n(5)]
    Declared(#[n(0)] DeclaredCommand),
}

/// Reply to a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ConfirmReply {
    /// The intent is in force, from this confirmation or an earlier attempt of it.
    #[n(0)]
    Confirmed {
        /// Version that the confirmation produced.
        #[n(0)]
        version: ConfigVersion,
    },
    /// Another intent with this number was confirmed first.
    #[n(1)]
    NumberTaken {
        /// Operator who confirmed that intent.
        #[n(0)]
        winner: String,
        /// Version that the confirmation produced.
        #[n(1)]
        version: ConfigVersion,
        /// Digest of the intent that was confirmed.
        #[n(2)]
        digest: Digest,
    },
    /// The configuration changed since the plan was computed.
    #[n(2)]
    BaseMoved {
        /// Version in force.
        #[n(0)]
        current: ConfigVersion,
    },
    /// The changes are invalid for the configuration.
    #[n(3)]
    Invalid {
        /// Every problem found.
        #[n(0)]
        problems: Vec<super::query::PlanProblem>,
    },
    /// The number is below the range of retained confirmations. Nothing was applied by this
    /// command; the result of an earlier attempt is no longer known.
    #[n(4)]
    TooOld {
        /// Lowest number that is still accepted.
        #[n(0)]
        floor: IntentNumber,
    },
}

/// Reply to a command of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlReply {
    /// Reply to [`ControlCommand::Confirm`].
    #[n(0)]
    Confirm(#[n(0)] ConfirmReply),
    /// The node was registered, marked as draining or removed.
    #[n(1)]
    NodeAccepted,
    /// A later incarnation of the node is registered.
    #[n(2)]
    NodeStale {
        /// Latest known incarnation of the node.
        #[n(0)]
        registered: Incarnation,
    },
    /// The order may be sent with this token.
    #[n(3)]
    OrderIssued {
        /// Token.
        #[n(0)]
        token: FencingToken,
    },
    /// A concurrent issuer was first to issue an order to this back end.
    #[n(4)]
    OrderConflict {
        /// Highest token issued to the back end.
        #[n(0)]
        current: FencingToken,
    },
    /// The command could not be decoded; nothing changed.
    #[n(5)]
    Malformed,
    /// This incarnation of the node is not registered; nothing changed.
    #[n(6)]
    NodeUnknown,
    /// Reply to [`ControlCommand::Declared`].
    #[n(7)]
    Declared(#[n(0)] DeclaredReply),
}
