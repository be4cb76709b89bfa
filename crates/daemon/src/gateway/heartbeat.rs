//! Heartbeats to the control leader, which report this gateway as live and return the
//! other live gateways. Batch work ownership is derived from the answers.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_engine_api::MachineKind;
use molespan_membership::{GatewayRecord, OwnershipChange};
use molespan_state::control::{ControlReply, NodeRole, RegisterNode};
use molespan_telemetry::EventKind;
use molespan_types::{BackendId, NodeId, Timestamp, ZoneName};
use molespan_wire::Request;
use slog::{info, warn};

use super::state::GatewayState;
use crate::cluster::{ClusterError, LiveNode};

/// Delay after a failed registration.
const REGISTER_PAUSE: Duration = Duration::from_millis(200);
/// Interval between checks for tenures that begin or expire.
const OWNERSHIP_TICK: Duration = Duration::from_millis(100);

impl GatewayState {
    /// Registers this incarnation of the node, retrying until the control group accepts it.
    pub(super) async fn register(self: Arc<Self>) {
        loop {
            let node = RegisterNode {
                node: self.options.node,
                incarnation: self.options.incarnation,
                name: self.options.name.clone(),
                zone: self.options.zone.clone(),
                internal_address: self.options.internal_address.to_string(),
                http_address: self.options.http_address.to_string(),
                roles: self.options.roles.clone(),
            };
            match self.cluster.register_node(node).await {
                Ok(ControlReply::NodeAccepted) => {
                    info!(self.logger, "node registered");
                    return;
                }
                Ok(ControlReply::NodeStale { registered }) => {
                    warn!(self.logger, "a later incarnation of this node is registered";
                        "registered" => registered.0);
                    return;
                }
                Ok(_) | Err(_) => {
                    Timer::after(REGISTER_PAUSE).await;
                }
            }
        }
    }

    /// Sends heartbeats until the gateway stops.
    pub(super) async fn send_heartbeats(self: Arc<Self>) {
        loop {
            let sent = self.clock.now();
            if self.heartbeat(sent).await.is_ok() {
                self.refresh_ownership();
            }
            Timer::after(self.options.heartbeat).await;
        }
    }

    /// Sends one heartbeat and processes the answer.
    pub(super) async fn heartbeat(&self, sent: Timestamp) -> Result<(), ClusterError> {
        let owned: Vec<BackendId> = self.ownership().owned().collect();
        let request = || Request::Heartbeat {
            node: self.options.node,
            incarnation: self.options.incarnation,
            zone: self.options.zone.clone(),
            draining: self.is_draining(),
            owned: owned.clone(),
        };
        let nodes = self.cluster.heartbeat(request).await?;
        self.fetch_zones(&nodes).await;
        self.handle_live_nodes(sent, &nodes);
        Ok(())
    }

    /// Fetches the zones and addresses of unknown nodes.
    async fn fetch_zones(&self, nodes: &[LiveNode]) {
        let unknown = {
            let zones = self.zones();
            nodes.iter().any(|live| !zones.contains_key(&live.node))
        };
        if !unknown {
            return;
        }
        let Ok(records) = self.cluster.nodes().await else {
            return;
        };
        let transport = self.cluster.transport();
        let mut zones = self.zones();
        for record in records {
            let node = record.registration;
            if node.node != self.options.node {
                transport.update_address(node.node, &node.internal_address);
            }
            if node.roles.contains(&NodeRole::Gateway) {
                zones.insert(node.node, node.zone);
            }
        }
    }

    fn handle_live_nodes(&self, sent: Timestamp, nodes: &[LiveNode]) {
        let now = self.clock.now();
        let records = {
            let zones = self.zones();
            let known = nodes.iter().filter_map(|live| {
                let zone = zones.get(&live.node)?.clone();
                Some(GatewayRecord {
                    node: live.node,
                    incarnation: live.incarnation,
                    zone,
                    draining: live.draining,
                })
            });
            known.collect()
        };
        let changed = self.gateways().update(now, records);
        self.ownership().heartbeat_answered(sent);
        if changed {
            let nodes: Vec<String> = self
                .gateways()
                .nodes()
                .map(|node| node.to_string())
                .collect();
            self.events.record(
                EventKind::Membership,
                "gateways",
                "the set of live gateways changed",
                [("gateways", nodes.join(" ").into())],
            );
            self.mark_candidates_stale();
        }
    }

    /// Begins and expires tenures until the gateway stops.
    pub(super) async fn tick_ownership(self: Arc<Self>) {
        loop {
            Timer::after(OWNERSHIP_TICK).await;
            let now = self.clock.now();
            self.gateways().expire(now);
            let changes = self.ownership().tick(now);
            self.apply_ownership_changes(changes);
        }
    }

    /// Recomputes tenures from the live gateways and the engines.
    pub(super) fn refresh_ownership(&self) {
        if self.is_draining() {
            return;
        }
        let engines: Vec<(BackendId, ZoneName)> = {
            let directory = self.directory();
            let engines = directory.backends();
            engines
                .filter(|backend| backend.kind == MachineKind::Engine)
                .map(|backend| (backend.id, backend.zone.clone()))
                .collect()
        };
        let now = self.clock.now();
        let gateways = self.gateways().clone();
        let pairs = engines.iter().map(|(backend, zone)| (*backend, zone));
        let changes = self.ownership().refresh(now, &gateways, pairs);
        self.apply_ownership_changes(changes);
    }

    /// Releases every tenure, for a graceful stop.
    pub(super) fn release_ownership(&self) {
        let changes = self.ownership().release_all();
        self.apply_ownership_changes(changes);
    }

    fn apply_ownership_changes(&self, changes: Vec<OwnershipChange>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            let (backend, reason, next) = match change {
                OwnershipChange::Acquired(backend) => (*backend, "acquired", None),
                OwnershipChange::Released { backend, next } => (*backend, "released", *next),
            };
            self.events.record(
                EventKind::Lease,
                format!("batch work of engine {backend}"),
                reason,
                [("next", next.map_or(0, |NodeId(node)| node).into())],
            );
        }
        if let Some(configuration) = self.configuration.in_force() {
            self.refresh_owned_engines(&configuration);
        }
    }
}
