//! Commands of the control group and their replies.

use derive_more::{Display, From};
use minicbor::{Decode, Encode};
use molespan_types::{
    BackendId, ConfigVersion, Digest, FencingToken, Incarnation, NodeId, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::configuration::Change;
use crate::declared::{DeclaredCommand, DeclaredReply};

/// Number that an operator gives an intent. It is shared by all operators: two
/// that pick the same number race, and the first one confirmed wins.
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

/// Puts a planned intent in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ConfirmIntent {
    /// Number of the intent.
    #[n(0)]
    pub number: IntentNumber,
    /// Who confirms.
    #[n(1)]
    pub operator: String,
    /// Version that the plan was made against.
    #[n(2)]
    pub base_version: ConfigVersion,
    /// What to change.
    #[n(3)]
    pub changes: Vec<Change>,
}

/// What a node does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Takes requests of callers.
    #[n(0)]
    Gateway,
    /// Holds replicated state.
    #[n(1)]
    Replica,
}

/// Announces one life of a node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RegisterNode {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Life of it; a lower one than the registered is refused.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Name for people.
    #[n(2)]
    pub name: String,
    /// Where it stands.
    #[n(3)]
    pub zone: ZoneName,
    /// Address of its internal interface.
    #[n(4)]
    pub internal_address: String,
    /// Address of its HTTP interface.
    #[n(5)]
    pub http_address: String,
    /// Roles.
    #[n(6)]
    pub roles: Vec<NodeRole>,
}

/// A registered node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its latest announcement.
    #[n(0)]
    pub registration: RegisterNode,
    /// Whether it is stopping as planned.
    #[n(1)]
    pub draining: bool,
}

/// Issues a fenced order to a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct IssueOrder {
    /// Back end that shall carry it out.
    #[n(0)]
    pub backend: BackendId,
    /// Life of it that the decision was made about.
    #[n(1)]
    pub incarnation: Incarnation,
    /// The order's action as JSON of `engine_api::OrderAction`.
    #[n(2)]
    pub action: String,
    /// Highest token of this back end that the issuer knew; another one means
    /// that a rival issued first, and the order is refused.
    #[n(3)]
    pub expected_token: FencingToken,
}

/// A command of the control group.
#[derive(Clone, Debug, PartialEq, Eq, From, Encode, Decode)]
pub enum ControlCommand {
    /// Puts a planned intent in force.
    #[n(0)]
    Confirm(#[n(0)] ConfirmIntent),
    /// Announces a node.
    #[n(1)]
    Register(#[n(0)] RegisterNode),
    /// Marks a node as stopping as planned.
    #[n(2)]
    #[from(skip)]
    Drain {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Life of it.
        #[n(1)]
        incarnation: Incarnation,
    },
    /// Removes a node that stopped or was lost.
    #[n(3)]
    #[from(skip)]
    Remove {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Life of it.
        #[n(1)]
        incarnation: Incarnation,
    },
    /// Issues a fenced order.
    #[n(4)]
    Issue(#[n(0)] IssueOrder),
    /// Something about the declared state; see [`crate::declared`].
    #[n(5)]
    Declared(#[n(0)] DeclaredCommand),
}

/// Reply to a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ConfirmReply {
    /// In force, now or since an earlier sending of the same confirmation.
    #[n(0)]
    Confirmed {
        /// Version that it produced.
        #[n(0)]
        version: ConfigVersion,
    },
    /// Another intent took this number first.
    #[n(1)]
    NumberTaken {
        /// Who confirmed it.
        #[n(0)]
        winner: String,
        /// Version that it produced.
        #[n(1)]
        version: ConfigVersion,
        /// Digest of the intent that won.
        #[n(2)]
        digest: Digest,
    },
    /// The configuration moved on since the plan was made.
    #[n(2)]
    BaseMoved {
        /// Version in force.
        #[n(0)]
        current: ConfigVersion,
    },
    /// The changes do not fit the configuration.
    #[n(3)]
    Invalid {
        /// Every problem found.
        #[n(0)]
        problems: Vec<super::query::PlanProblem>,
    },
    /// The number lies below those that are still remembered. Nothing was run
    /// now; what became of an earlier sending is no longer known.
    #[n(4)]
    TooOld {
        /// The lowest number that is still taken.
        #[n(0)]
        floor: IntentNumber,
    },
}

/// Reply to a command of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlReply {
    /// To [`ControlCommand::Confirm`].
    #[n(0)]
    Confirm(#[n(0)] ConfirmReply),
    /// The node is registered, marked or removed.
    #[n(1)]
    NodeAccepted,
    /// A later life of the node is registered.
    #[n(2)]
    NodeStale {
        /// That life.
        #[n(0)]
        registered: Incarnation,
    },
    /// The order may be sent under this token.
    #[n(3)]
    OrderIssued {
        /// Token.
        #[n(0)]
        token: FencingToken,
    },
    /// A rival issued an order to this back end first.
    #[n(4)]
    OrderConflict {
        /// Highest token issued to it.
        #[n(0)]
        current: FencingToken,
    },
    /// The command's bytes could not be read; nothing changed.
    #[n(5)]
    Malformed,
    /// No such life of the node is registered; nothing changed.
    #[n(6)]
    NodeUnknown,
    /// To [`ControlCommand::Declared`].
    #[n(7)]
    Declared(#[n(0)] DeclaredReply),
}
