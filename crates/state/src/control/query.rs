//! Read queries of the control group.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{BackendId, ConfigVersion, Digest, FencingToken, NodeId};
use serde::{Deserialize, Serialize};

use super::command::{IntentNumber, IssueOrder, NodeRecord};
use super::configuration::{Change, Configuration};
use crate::declared::DeclaredState;

/// A read query of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlQuery {
    /// The whole configuration.
    #[n(0)]
    Configuration,
    /// The configuration if it is newer than `after`.
    #[n(1)]
    ConfigurationAfter {
        /// Version that the requester has.
        #[n(0)]
        after: ConfigVersion,
    },
    /// The plan of an intent.
    #[n(2)]
    Plan {
        /// Number of the intent.
        #[n(0)]
        number: IntentNumber,
        /// Changes to plan.
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
    /// The version of the declared configuration in force.
    #[n(6)]
    DeclaredVersion,
}

/// One line of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlanLine {
    /// Changed object, for example `service captions`.
    #[n(0)]
    pub subject: String,
    /// `create`, `update`, `delete` or `keep`.
    #[n(1)]
    pub action: String,
    /// Differences and their consequences, one sentence each.
    #[n(2)]
    pub effects: Vec<String>,
    /// Warnings for the operator to consider before confirming.
    #[n(3)]
    pub warnings: Vec<String>,
}

/// A reason why an intent cannot be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlanProblem {
    /// Position of the change in the intent, from 0.
    #[n(0)]
    pub change: u32,
    /// Description of the problem.
    #[n(1)]
    pub message: String,
}

/// What an intent would do if it were confirmed now.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the intent.
    #[n(0)]
    pub number: IntentNumber,
    /// Version that the plan was computed for; a confirmation must state it.
    #[n(1)]
    pub base_version: ConfigVersion,
    /// Digest of the changes.
    #[n(2)]
    pub digest: Digest,
    /// Effects of each change.
    #[n(3)]
    pub lines: Vec<PlanLine>,
    /// Reasons why the intent cannot be confirmed; empty if it can.
    #[n(4)]
    pub problems: Vec<PlanProblem>,
}

/// Answer to a [`ControlQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlAnswer {
    /// Answer to both configuration queries; `None` if there is no newer configuration.
    #[n(0)]
    Configuration(#[n(0)] Option<Configuration>),
    /// Answer to [`ControlQuery::Plan`].
    #[n(1)]
    Plan(#[n(0)] Plan),
    /// Answer to [`ControlQuery::Nodes`].
    #[n(2)]
    Nodes(#[n(0)] Vec<NodeRecord>),
    /// Answer to [`ControlQuery::Orders`]: token and order by back end.
    #[n(3)]
    Orders(#[n(0)] BTreeMap<BackendId, IssuedOrder>),
    /// The query could not be decoded.
    #[n(4)]
    Malformed,
    /// Answer to [`ControlQuery::Declared`].
    #[n(5)]
    Declared(#[n(0)] Box<DeclaredState>),
    /// Answer to [`ControlQuery::DeclaredVersion`]; 0 before the first declaration.
    #[n(6)]
    DeclaredVersion(#[n(0)] u64),
}

/// An order and its token.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct IssuedOrder {
    /// Fencing token of the order.
    #[n(0)]
    pub token: FencingToken,
    /// The order.
    #[n(1)]
    pub order: IssueOrder,
}

/// Configuration version in force at each node; kept in memory by the leader.
pub type VersionsInForce = BTreeMap<NodeId, ConfigVersion>;
