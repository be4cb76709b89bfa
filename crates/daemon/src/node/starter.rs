//! Start of a node's roles.

use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::{Executor, Task};
use molespan_settings::{Peer, Role, Settings};
use molespan_state::control::{NodeRole, RegisterNode};
use molespan_telemetry::{EventBuffer, Metrics, part_logger};
use molespan_types::Incarnation;
use molespan_wire::ClientLimits;
use slog::Logger;

use super::{HttpInterface, RunningGateway};
use crate::DaemonError;
use crate::cluster::{Cluster, ClusterLimits, PeerTransport, WireTransport};
use crate::gateway::{BoundGateway, Gateway, GatewayContext, GatewayOptions};
use crate::local_transport::LocalTransport;
use crate::registration::register;
use crate::replica::{ReplicaContext, ReplicaOptions, ReplicaPeer, ReplicaRole};
use crate::status_server::{StatusServer, StatusSources};

/// Folder of the replica's files within the data folder.
const REPLICA_FOLDER: &str = "replica";

/// Everything needed to start a node's roles.
pub(super) struct Starter<'a> {
    pub settings: &'a Settings,
    pub executor: &'a Arc<Executor<'static>>,
    pub logger: &'a Logger,
    pub incarnation: Incarnation,
    pub internal_address: SocketAddr,
    pub metrics: Metrics,
    pub events: EventBuffer,
}

impl Starter<'_> {
    /// Starts the replica role, if the node has it.
    pub fn start_replica(&self) -> Result<Option<Arc<ReplicaRole>>, DaemonError> {
        if !self.settings.has_role(Role::Replica) {
            return Ok(None);
        }
        let context = ReplicaContext {
            options: replica_options(self.settings),
            executor: self.executor.clone(),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
        };
        Ok(Some(Arc::new(ReplicaRole::start(context)?)))
    }

    /// Starts the server of the HTTP address.
    pub fn start_http(
        &self,
        replica: Option<&Arc<ReplicaRole>>,
    ) -> Result<(HttpInterface, Option<Gateway>), DaemonError> {
        if self.settings.has_role(Role::Gateway) {
            let bound = self.bind_gateway(replica)?;
            let gateway = bound.gateway();
            let running = self.run_gateway(bound);
            return Ok((HttpInterface::Gateway(running), Some(gateway)));
        }
        let address = self.settings.node.http_address;
        let sources = StatusSources {
            replica: replica.cloned(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
        };
        let server = StatusServer::start(address, self.executor, sources)?;
        Ok((HttpInterface::Status(server), None))
    }

    /// Registers a node without the gateway role; a gateway registers itself.
    pub fn register(
        &self,
        http: &HttpInterface,
        replica: Option<&Arc<ReplicaRole>>,
    ) -> Option<Task<()>> {
        if matches!(http, HttpInterface::Gateway(_)) {
            return None;
        }
        let node = &self.settings.node;
        let announcement = RegisterNode {
            node: node.id,
            incarnation: self.incarnation,
            name: node.name.clone(),
            zone: node.zone.clone(),
            internal_address: self.internal_address.to_string(),
            http_address: http.address().to_string(),
            roles: vec![NodeRole::Replica],
        };
        let cluster = Arc::new(self.cluster(replica));
        let logger = part_logger(self.logger, "node");
        let registering = register(cluster, announcement, logger);
        Some(self.executor.spawn(registering))
    }

    fn bind_gateway(
        &self,
        replica: Option<&Arc<ReplicaRole>>,
    ) -> Result<BoundGateway, DaemonError> {
        let options = GatewayOptions::from_settings(self.settings, self.incarnation);
        let mut options = options.ok_or(DaemonError::NoPlatformList)?;
        options.internal_address = self.internal_address;
        let context = GatewayContext {
            options,
            executor: self.executor.clone(),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            cluster: Arc::new(self.cluster(replica)),
            events: self.events.clone(),
        };
        Ok(Gateway::bind(context)?)
    }

    fn run_gateway(&self, bound: BoundGateway) -> RunningGateway {
        let (stop, stopping) = async_channel::bounded::<()>(1);
        let address = bound.address();
        let serving = bound.serve(async move {
            let _closed = stopping.recv().await;
        });
        RunningGateway {
            address,
            stop,
            served: self.executor.spawn(serving),
        }
    }

    fn cluster(&self, replica: Option<&Arc<ReplicaRole>>) -> Cluster {
        let peers = self.settings.peers.iter();
        let addresses = peers.map(|peer| (peer.id, peer.internal_address));
        let limits = ClientLimits {
            connect_timeout: self.settings.timing.connect_timeout,
            ..ClientLimits::default()
        };
        let wire = WireTransport::new(self.executor.clone(), addresses, limits, rand::random());
        let transport: Arc<dyn PeerTransport> = match replica {
            Some(replica) => Arc::new(LocalTransport {
                own: self.settings.node.id,
                replica: replica.clone(),
                others: Arc::new(wire),
            }),
            None => Arc::new(wire),
        };
        let replicas = replicas_by_distance(self.settings);
        let nodes = replicas.iter().map(|peer| peer.id).collect();
        Cluster::new(transport, nodes, ClusterLimits::default())
    }
}

/// Returns the replicas in order of preference: the own one, then those of the own zone.
fn replicas_by_distance(settings: &Settings) -> Vec<Peer> {
    let mut replicas = settings.replicas();
    let own = &settings.node;
    replicas.sort_by_key(|peer| (peer.id != own.id, peer.zone != own.zone, peer.id));
    replicas
}

fn replica_options(settings: &Settings) -> ReplicaOptions {
    let peers = settings.replicas().into_iter().map(|peer| ReplicaPeer {
        node: peer.id,
        address: peer.internal_address,
    });
    let folder = settings.node.data_folder.join(REPLICA_FOLDER);
    let timing = &settings.timing;
    ReplicaOptions {
        job_groups: settings.cluster.job_groups,
        lease: timing.lease,
        claim_timeout: timing.claim_timeout,
        tick: timing.tick,
        election_timeout: timing.election_timeout,
        node_heartbeat: timing.heartbeat,
        hand_over_within: timing.drain.hand_over_within,
        segment_bytes: settings.limits.log_segment_bytes,
        ..ReplicaOptions::new(settings.node.id, peers.collect(), folder)
    }
}
