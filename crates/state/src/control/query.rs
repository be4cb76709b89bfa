//! Reads of the control group.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{BackendId, ConfigVersion, Digest, FencingToken, NodeId};
use serde::{Deserialize, Serialize};

use super::command::{IntentNumber, IssueOrder, NodeRecord};
use super::configuration::{Change, Configuration};
use crate::declared::DeclaredState;

/// A read of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlQuery {
    /// The whole configuration.
    #[n(0)]
    Configuration,
    /// The configuration if it is newer than `after`.
    #[n(1)]
    ConfigurationAfter {
        /// Version that the asker has.
        #[n(0)]
        after: ConfigVersion,
    },
    /// What an intent would do.
    #[n(2)]
    Plan {
        /// Number of the intent.
        #[n(0)]
        number: IntentNumber,
        /// What to change.
        #[n(1)]
        changes: Vec<Change>,
    },
    /// The registered nodes.
    #[n(3)]
    Nodes,
    /// The latest order of each back end.
    #[n(4)]
    Orders,
    /// Everything declared and registered; see [`crate::declared`].
    #[n(5)]
    Declared,
}

/// One line of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlanLine {
    /// What is changed, as `service captions`.
    #[n(0)]
    pub subject: String,
    /// `create`, `update`, `delete` or `keep`.
    #[n(1)]
    pub action: String,
    /// What differs and what follows from it, a sentence each.
    #[n(2)]
    pub effects: Vec<String>,
    /// What the operator should think about before confirming.
    #[n(3)]
    pub warnings: Vec<String>,
}

/// A reason why an intent cannot be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlanProblem {
    /// Position of the change in the intent, from 0.
    #[n(0)]
    pub change: u32,
    /// What is wrong with it.
    #[n(1)]
    pub message: String,
}

/// What an intent would do if it were confirmed now.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the intent.
    #[n(0)]
    pub number: IntentNumber,
    /// Version it was made against; a confirmation must name it.
    #[n(1)]
    pub base_version: ConfigVersion,
    /// Digest of the changes.
    #[n(2)]
    pub digest: Digest,
    /// What would change.
    #[n(3)]
    pub lines: Vec<PlanLine>,
    /// What forbids it; empty when it can be confirmed.
    #[n(4)]
    pub problems: Vec<PlanProblem>,
}

/// Answer to a read of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlAnswer {
    /// To both configuration reads; `None` when there is nothing newer.
    #[n(0)]
    Configuration(#[n(0)] Option<Configuration>),
    /// To [`ControlQuery::Plan`].
    #[n(1)]
    Plan(#[n(0)] Plan),
    /// To [`ControlQuery::Nodes`].
    #[n(2)]
    Nodes(#[n(0)] Vec<NodeRecord>),
    /// To [`ControlQuery::Orders`]: token and order by back end.
    #[n(3)]
    Orders(#[n(0)] BTreeMap<BackendId, IssuedOrder>),
    /// The query's bytes could not be read.
    #[n(4)]
    Malformed,
    /// To [`ControlQuery::Declared`].
    #[n(5)]
    Declared(#[n(0)] Box<DeclaredState>),
}

/// An order and its token.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct IssuedOrder {
    /// Token.
    #[n(0)]
    pub token: FencingToken,
    /// The order.
    #[n(1)]
    pub order: IssueOrder,
}

/// Confirms per node which version is in force; kept by the leader in memory.
pub type VersionsInForce = BTreeMap<NodeId, ConfigVersion>;
