//! Three replica roles of the daemon in this process, over loopback sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_daemon::replica::{ReplicaContext, ReplicaOptions, ReplicaPeer, ReplicaRole};
use molespan_telemetry::{EventBuffer, Metrics, discard_logger};
use molespan_types::{GroupId, NodeId};
use molespan_wire::{Handler, Request, Response, Server, ServerHandle, ServerLimits};
use tempfile::TempDir;

use crate::scale::ScaleError;

/// Threads that serve all replicas together.
const THREADS: u32 = 2;
/// Beginning of the names of threads that work for replicas: those that serve,
/// and the one of each role.
pub const REPLICA_THREADS: [&str; 2] = ["serve", "replica"];
/// Longest wait for a leader.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Decision events that are kept.
const KEPT_EVENTS: usize = 64;

struct RoleHandler(Arc<ReplicaRole>);

impl Handler for RoleHandler {
    async fn call(&self, request: Request) -> Response {
        self.0.handle_peer(request).await
    }

    fn notify(&self, request: Request) {
        self.0.notify(request);
    }
}

/// Three replica roles.
pub struct Roles {
    roles: Vec<Arc<ReplicaRole>>,
    servers: Vec<ServerHandle>,
    peers: Vec<ReplicaPeer>,
    _folder: TempDir,
}

impl Roles {
    /// Starts three with one job group.
    ///
    /// # Errors
    /// When a socket or the disk refuses.
    pub fn start() -> Result<Self, ScaleError> {
        let executor = named_threads("serve", THREADS);
        let folder = tempfile::tempdir().map_err(ScaleError::unexpected)?;
        let mut bound = Vec::new();
        let mut peers = Vec::new();
        for number in 1..=3 {
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let server = Server::bind(any_port, ServerLimits::default());
            let server = server.map_err(ScaleError::unexpected)?;
            let node = NodeId(number);
            let address = server.local_address();
            peers.push(ReplicaPeer { node, address });
            bound.push(server);
        }
        let mut roles = Vec::new();
        let mut servers = Vec::new();
        for (peer, server) in peers.iter().zip(bound) {
            let data_folder = folder.path().join(peer.node.to_string());
            let mut options = ReplicaOptions::new(peer.node, peers.clone(), data_folder);
            options.job_groups = 1;
            let context = ReplicaContext {
                options,
                executor: executor.clone(),
                logger: discard_logger(),
                metrics: Metrics::default(),
                events: EventBuffer::new(peer.node, KEPT_EVENTS),
            };
            let role = ReplicaRole::start(context).map_err(ScaleError::unexpected)?;
            let role = Arc::new(role);
            servers.push(server.handle());
            let handler = Arc::new(RoleHandler(role.clone()));
            let serving = server.serve(executor.clone(), handler);
            executor.spawn(serving).detach();
            roles.push(role);
        }
        Ok(Self {
            roles,
            servers,
            peers,
            _folder: folder,
        })
    }

    /// Address of the replica that takes the turn `number`.
    #[must_use]
    pub fn address(&self, number: u32) -> SocketAddr {
        self.peers[number as usize % self.peers.len()].address
    }

    /// Address of the replica that leads the control group.
    ///
    /// # Errors
    /// When there is none for long.
    pub async fn leader(&self) -> Result<SocketAddr, ScaleError> {
        let end = Instant::now() + LONGEST_WAIT;
        while Instant::now() < end {
            for (role, peer) in self.roles.iter().zip(&self.peers) {
                if role.leads().contains(&GroupId::CONTROL) {
                    return Ok(peer.address);
                }
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        Err(ScaleError::Timeout { what: "election" })
    }

    /// Bytes that the replicas wrote to connections that were opened to them.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        let counters = self.servers.iter().map(ServerHandle::counters);
        counters.map(|counters| counters.bytes_written).sum()
    }

    /// Stops them.
    pub async fn stop(self) {
        for server in &self.servers {
            server.stop();
        }
        for role in &self.roles {
            role.stop().await;
        }
    }
}

/// An executor that threads of that name run until the process ends.
pub fn named_threads(name: &str, count: u32) -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for number in 0..count {
        let executor = executor.clone();
        let work = move || async_io::block_on(executor.run(std::future::pending::<()>()));
        let builder = thread::Builder::new().name(format!("{name}-{number}"));
        // Without the thread the executor has the others; without any, the
        // experiment ends by its timeout.
        let _thread = builder.spawn(work);
    }
    executor
}
