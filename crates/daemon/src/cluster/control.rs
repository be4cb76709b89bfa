//! Typed calls to the control group.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_state::control::{
    Change, Configuration, ConfigurationUpdate, ConfirmIntent, ConfirmReply, ControlAnswer,
    ControlCommand, ControlQuery, ControlReply, IntentNumber, IssueOrder, IssuedOrder, NodeRecord,
    Plan, RegisterNode,
};
use molespan_state::decode;
use molespan_types::{BackendId, ConfigVersion, GroupId, Incarnation, NodeId, RunOutcome};
use molespan_wire::{Request, Response, WatchConfiguration};

use super::calls::unexpected;
use super::{Cluster, ClusterError};

/// Extra time beyond the requested wait before a long poll is treated as lost.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Deadline of a heartbeat, including all attempts.
const HEARTBEAT_DEADLINE: Duration = Duration::from_millis(1_500);

/// Reply to a configuration watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedConfiguration {
    /// Newest version that a quorum had confirmed when the reply was sent.
    pub current: ConfigVersion,
    /// Update from the caller's version to `current`, if `current` is newer.
    pub newer: Option<ConfigurationUpdate>,
}

/// A live gateway as seen by the control leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveNode {
    /// Node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is draining before a graceful stop.
    pub draining: bool,
}

impl Cluster {
    async fn control_command(
        &self,
        command: &ControlCommand,
    ) -> Result<ControlReply, ClusterError> {
        self.propose(GroupId::CONTROL, command).await
    }

    async fn control_query(&self, query: &ControlQuery) -> Result<ControlAnswer, ClusterError> {
        self.query(GroupId::CONTROL, query).await
    }

    /// Confirms a planned intent, which activates its changes.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn confirm_intent(
        &self,
        intent: ConfirmIntent,
    ) -> Result<ConfirmReply, ClusterError> {
        match self.control_command(&intent.into()).await? {
            ControlReply::Confirm(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Registers a node and returns the reply unchanged.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn register_node(&self, node: RegisterNode) -> Result<ControlReply, ClusterError> {
        self.control_command(&node.into()).await
    }

    /// Marks a node as draining before a graceful stop.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn drain_node(
        &self,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Result<ControlReply, ClusterError> {
        self.control_command(&ControlCommand::Drain { node, incarnation })
            .await
    }

    /// Issues a fenced order and returns the reply unchanged.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub async fn issue_order(&self, order: IssueOrder) -> Result<ControlReply, ClusterError> {
        self.control_command(&order.into()).await
    }

    /// Returns the newest configuration that a quorum has confirmed.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn configuration(&self) -> Result<Configuration, ClusterError> {
        match self.control_query(&ControlQuery::Configuration).await? {
            ControlAnswer::Configuration(configuration) => Ok(configuration.unwrap_or_default()),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the changes that an intent would make if it were confirmed now.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn plan(
        &self,
        number: IntentNumber,
        changes: Vec<Change>,
    ) -> Result<Plan, ClusterError> {
        let query = ControlQuery::Plan { number, changes };
        match self.control_query(&query).await? {
            ControlAnswer::Plan(plan) => Ok(plan),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the registered nodes.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn nodes(&self) -> Result<Vec<NodeRecord>, ClusterError> {
        match self.control_query(&ControlQuery::Nodes).await? {
            ControlAnswer::Nodes(nodes) => Ok(nodes),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the latest order of each back end.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn orders(&self) -> Result<BTreeMap<BackendId, IssuedOrder>, ClusterError> {
        match self.control_query(&ControlQuery::Orders).await? {
            ControlAnswer::Orders(orders) => Ok(orders),
            other => Err(unexpected(&other)),
        }
    }

    /// Long-polls one replica for a configuration newer than the caller's.
    ///
    /// # Errors
    /// When this replica did not answer; the caller should try another one.
    pub async fn watch(
        &self,
        replica: NodeId,
        watch: WatchConfiguration,
    ) -> Result<WatchedConfiguration, ClusterError> {
        let timeout = Duration::from_millis(u64::from(watch.wait_ms)) + WATCH_GRACE;
        let call = self.transport.call(replica, Request::Watch(watch), timeout);
        let response = call.await.map_err(|error| ClusterError::Unavailable {
            outcome: error.outcome(),
            reason: error.to_string(),
        })?;
        match response {
            Response::Configuration {
                current,
                configuration,
            } => {
                let newer = configuration.map(|bytes| decode(&bytes)).transpose();
                let newer = newer.map_err(|error| unexpected(&error))?;
                Ok(WatchedConfiguration { current, newer })
            }
            Response::Refused { message, .. } => Err(ClusterError::Unavailable {
                outcome: RunOutcome::NotRun,
                reason: message,
            }),
            other => Err(unexpected(&other)),
        }
    }

    /// Sends a heartbeat to the control leader and returns the live gateways.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn heartbeat(
        &self,
        request: impl Fn() -> Request,
    ) -> Result<Vec<LiveNode>, ClusterError> {
        let response = self.call_leader(GroupId::CONTROL, request, HEARTBEAT_DEADLINE);
        match response.await? {
            Response::LiveNodes { nodes } => Ok(nodes
                .into_iter()
                .map(|(node, incarnation, draining)| LiveNode {
                    node,
                    incarnation,
                    draining,
                })
                .collect()),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the active configuration version of each node, merged over all replicas that
    /// answer.
    pub async fn versions_in_force(&self) -> BTreeMap<NodeId, ConfigVersion> {
        let timeout = self.limits.call_timeout;
        let calls: Vec<_> = self
            .replicas()
            .into_iter()
            .map(|node| self.transport.call(node, Request::VersionsInForce, timeout))
            .collect();
        let mut merged: BTreeMap<NodeId, ConfigVersion> = BTreeMap::new();
        for call in calls {
            let Ok(Response::VersionsInForce { versions }) = call.await else {
                continue;
            };
            for (node, version) in versions {
                let known = merged.entry(node).or_default();
                *known = version.max(*known);
            }
        }
        merged
    }
}
