//! A node: its roles and interfaces, put together from its settings.

use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::{Executor, Task};
use molespan_replica::ReplicaError;
use molespan_settings::{Role, Settings};
use molespan_telemetry::{EventBuffer, Metrics, part_logger};
use molespan_wire::{Server, ServerHandle, ServerLimits};
use slog::{Logger, info};

use crate::DaemonError;
use crate::folder_lock::FolderLock;
use crate::incarnation::begin_life;
use crate::peer_handler::PeerHandler;
use crate::replica::{HandOver, ReplicaContext, ReplicaOptions, ReplicaPeer, ReplicaRole};
use crate::status_server::StatusServer;

/// Folder of the replica's files within the data folder.
const REPLICA_FOLDER: &str = "replica";

/// How a planned stop went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// What became of the leaderships; `None` without the replica role.
    pub replica: Option<HandOver>,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    logger: Logger,
    http_address: SocketAddr,
    internal_address: SocketAddr,
    internal: ServerHandle,
    replica: Option<Arc<ReplicaRole>>,
    status: StatusServer,
    _serving: Task<()>,
    _lock: FolderLock,
}

/// What the roles of a node share.
struct Common<'a> {
    settings: &'a Settings,
    executor: &'a Arc<Executor<'static>>,
    logger: &'a Logger,
    metrics: Metrics,
    events: EventBuffer,
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
        let common = Common {
            settings,
            executor,
            logger,
            metrics: Metrics::default(),
            events: EventBuffer::new(settings.node.id, settings.limits.event_buffer as usize),
        };
        let replica = common.start_replica()?;
        let handler = PeerHandler {
            node: settings.node.id,
            incarnation,
            replica: replica.clone(),
        };
        let status = StatusServer::start(
            settings.node.http_address,
            executor,
            replica.clone(),
            common.metrics.clone(),
        )?;
        let serving = executor.spawn(internal.serve(executor.clone(), Arc::new(handler)));
        let node = Self {
            logger: part_logger(logger, "node"),
            http_address: status.address(),
            internal_address,
            internal: internal_handle,
            replica,
            status,
            _serving: serving,
            _lock: lock,
        };
        info!(node.logger, "started";
            "node" => settings.node.id.0, "incarnation" => incarnation.0,
            "zone" => %settings.node.zone);
        Ok(node)
    }

    /// Where callers and operators reach it.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
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
    pub async fn stop(self) -> StopReport {
        info!(self.logger, "stopping");
        let hand_over = match &self.replica {
            Some(replica) => Some(replica.stop().await),
            None => None,
        };
        self.status.stop().await;
        self.internal.stop();
        StopReport { replica: hand_over }
    }
}

impl Common<'_> {
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
