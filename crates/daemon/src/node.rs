//! A node: its roles and interfaces, put together from its settings.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::{Executor, Task};
use molespan_replica::ReplicaError;
use molespan_settings::{Peer, Role, Settings};
use molespan_telemetry::{EventBuffer, Metrics, part_logger};
use molespan_types::Incarnation;
use molespan_wire::{ClientLimits, Server, ServerHandle, ServerLimits};
use slog::{Logger, info};

use crate::DaemonError;
use crate::cluster::{Cluster, ClusterLimits, PeerTransport, WireTransport};
use crate::folder_lock::FolderLock;
use crate::gateway::{BoundGateway, DrainReport, Gateway, GatewayContext, GatewayOptions};
use crate::incarnation::begin_life;
use crate::local_transport::LocalTransport;
use crate::peer_handler::PeerHandler;
use crate::replica::{HandOver, ReplicaContext, ReplicaOptions, ReplicaPeer, ReplicaRole};
use crate::status_server::StatusServer;

/// Folder of the replica's files within the data folder.
const REPLICA_FOLDER: &str = "replica";

/// How a planned stop went; a part is missing without its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// What became of the gateway's requests and leases.
    pub gateway: Option<DrainReport>,
    /// What became of the replica's leaderships.
    pub replica: Option<HandOver>,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    logger: Logger,
    internal_address: SocketAddr,
    internal: ServerHandle,
    replica: Option<Arc<ReplicaRole>>,
    http: HttpInterface,
    _serving: Task<()>,
    _lock: FolderLock,
}

/// Who serves the HTTP address.
#[derive(Debug)]
enum HttpInterface {
    /// The gateway role.
    Gateway(RunningGateway),
    /// Only health, readiness and metrics.
    Status(StatusServer),
}

/// A gateway that serves.
#[derive(Debug)]
struct RunningGateway {
    address: SocketAddr,
    /// Closed to begin its planned stop.
    stop: Sender<()>,
    served: Task<DrainReport>,
}

impl Node {
    /// Starts the roles that `settings` name. It listens once this returns.
    ///
    /// # Errors
    /// When the data folder is in use or damaged, or an address cannot be bound.
    pub fn start(
        settings: &Settings,
        executor: &Arc<Executor<'static>>,
        logger: &Logger,
    ) -> Result<Self, DaemonError> {
        let folder = &settings.node.data_folder;
        let lock = FolderLock::take(folder)?;
        let incarnation = begin_life(folder)?;
        let internal = Server::bind(settings.node.internal_address, ServerLimits::default())?;
        let internal_address = internal.local_address();
        let internal_handle = internal.handle();
        let starter = Starter {
            settings,
            executor,
            logger,
            incarnation,
            internal_address,
            metrics: Metrics::default(),
            events: EventBuffer::new(settings.node.id, settings.limits.event_buffer as usize),
        };
        let replica = starter.start_replica()?;
        let (http, gateway) = starter.start_http(replica.as_ref())?;
        let handler = PeerHandler {
            node: settings.node.id,
            incarnation,
            replica: replica.clone(),
            gateway,
        };
        let serving = executor.spawn(internal.serve(executor.clone(), Arc::new(handler)));
        let logger = part_logger(logger, "node");
        info!(logger, "started";
            "node" => settings.node.id.0, "incarnation" => incarnation.0,
            "zone" => %settings.node.zone);
        Ok(Self {
            logger,
            internal_address,
            internal: internal_handle,
            replica,
            http,
            _serving: serving,
            _lock: lock,
        })
    }

    /// Where callers and operators reach it.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        match &self.http {
            HttpInterface::Gateway(gateway) => gateway.address,
            HttpInterface::Status(server) => server.address(),
        }
    }

    /// Where other nodes reach it.
    #[must_use]
    pub fn internal_address(&self) -> SocketAddr {
        self.internal_address
    }

    /// Waits until a role cannot go on. A role that was stopped has no error.
    pub async fn failed(&self) -> Option<ReplicaError> {
        match &self.replica {
            Some(replica) => replica.ended().await,
            None => std::future::pending().await,
        }
    }

    /// Stops as planned: no request is cut off within the bounds of the
    /// settings, and what was left at their end is reported.
    ///
    /// The gateway goes first, since it returns its leases to the groups.
    pub async fn stop(self) -> StopReport {
        info!(self.logger, "stopping");
        let gateway = match self.http {
            HttpInterface::Gateway(gateway) => {
                gateway.stop.close();
                Some(gateway.served.await)
            }
            HttpInterface::Status(server) => {
                server.stop().await;
                None
            }
        };
        let replica = match &self.replica {
            Some(replica) => Some(replica.stop().await),
            None => None,
        };
        self.internal.stop();
        StopReport { gateway, replica }
    }
}

/// What the roles of a node are started with.
struct Starter<'a> {
    settings: &'a Settings,
    executor: &'a Arc<Executor<'static>>,
    logger: &'a Logger,
    incarnation: Incarnation,
    internal_address: SocketAddr,
    metrics: Metrics,
    events: EventBuffer,
}

impl Starter<'_> {
    fn start_replica(&self) -> Result<Option<Arc<ReplicaRole>>, DaemonError> {
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

    /// Starts whoever serves the HTTP address.
    fn start_http(
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
        let metrics = self.metrics.clone();
        let server = StatusServer::start(address, self.executor, replica.cloned(), metrics)?;
        Ok((HttpInterface::Status(server), None))
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
                others: wire,
            }),
            None => Arc::new(wire),
        };
        let replicas = replicas_by_distance(self.settings);
        let nodes = replicas.iter().map(|peer| peer.id).collect();
        Cluster::new(transport, nodes, ClusterLimits::default())
    }
}

/// The replicas, with the own one and those of the own zone first.
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
        tick: timing.tick,
        election_timeout: timing.election_timeout,
        node_heartbeat: timing.heartbeat,
        hand_over_within: timing.drain.hand_over_within,
        segment_bytes: settings.limits.log_segment_bytes,
        ..ReplicaOptions::new(settings.node.id, peers.collect(), folder)
    }
}
