//! A node: its roles and interfaces, assembled from its settings.

mod starter;

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::{Executor, Task};
use molespan_replica::ReplicaError;
use molespan_settings::Settings;
use molespan_telemetry::{EventBuffer, Metrics, part_logger};
use molespan_wire::{Server, ServerHandle, ServerLimits};
use slog::{Logger, info};

use crate::DaemonError;
use crate::folder_lock::FolderLock;
use crate::gateway::DrainReport;
use crate::incarnation::start_incarnation;
use crate::peer_handler::PeerHandler;
use crate::replica::{HandOver, ReplicaRole};
use crate::status_server::StatusServer;
use starter::Starter;

/// Result of a graceful stop; `None` for a role that the node does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Aborted requests and leases left by the gateway.
    pub gateway: Option<DrainReport>,
    /// Leaderships handed over or kept by the replica.
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
    _registering: Option<Task<()>>,
    _lock: FolderLock,
}

/// The server of the HTTP address.
#[derive(Debug)]
enum HttpInterface {
    /// The gateway role.
    Gateway(RunningGateway),
    /// Only health, readiness and metrics.
    Status(StatusServer),
}

impl HttpInterface {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Gateway(gateway) => gateway.address,
            Self::Status(server) => server.address(),
        }
    }
}

/// A serving gateway.
#[derive(Debug)]
struct RunningGateway {
    address: SocketAddr,
    /// Closed to begin its graceful stop.
    stop: Sender<()>,
    served: Task<DrainReport>,
}

impl Node {
    /// Starts the roles in `settings`. The node is listening when this returns.
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
        let incarnation = start_incarnation(folder)?;
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
        let registering = starter.register(&http, replica.as_ref());
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
            _registering: registering,
            _lock: lock,
        })
    }

    /// Returns the address for callers and operators.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address for other nodes.
    #[must_use]
    pub fn internal_address(&self) -> SocketAddr {
        self.internal_address
    }

    /// Waits until a role can no longer continue. A role that was stopped has no error.
    pub async fn failed(&self) -> Option<ReplicaError> {
        match &self.replica {
            Some(replica) => replica.ended().await,
            None => std::future::pending().await,
        }
    }

    /// Stops gracefully: requests in flight may finish within the time limits of the
    /// settings, and whatever remains is reported.
    ///
    /// The gateway stops first, because it returns its leases to the groups.
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
