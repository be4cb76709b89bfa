//! Addresses, transports and replica settings that the nodes of a cluster share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_daemon::DaemonError;
use molespan_daemon::cluster::{Cluster, ClusterLimits, PeerTransport, WireTransport};
use molespan_daemon::replica::{DiscoveryOptions, ReplicaContext, ReplicaOptions, ReplicaRole};
use molespan_replica::Discovery;
use molespan_telemetry::{EventBuffer, Metrics};
use molespan_types::NodeId;
use molespan_wire::ClientLimits;
use slog::Logger;

/// Interval between two ticks of a consensus group. Idle ticks cost CPU time on small
/// machines.
const TICK: Duration = Duration::from_millis(100);
/// Minimum time without a leader before an election. Job submissions should be delayed by
/// no more than a few hundred milliseconds when a store fails; pre-vote prevents
/// unnecessary elections.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two heartbeats of a leader; two out of three may be late without an
/// election.
const LEADER_HEARTBEAT: Duration = TICK;
/// Size of a log segment, in bytes.
pub(crate) const SEGMENT_BYTES: u64 = 4 << 20;

/// Addresses of the nodes. A node is identified by its IP address; nodes of one kind
/// listen for peers on the same port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterAddresses {
    /// Identifier of this node.
    pub own: NodeId,
    /// Peer port of gateways and control nodes.
    pub port: u16,
    /// Peer port of stores, which may share machines with control nodes.
    pub store_port: u16,
    /// Control nodes to contact first; further ones are discovered from them.
    pub seeds: Vec<NodeId>,
}

impl ClusterAddresses {
    /// Returns the address on which this gateway or control node listens for peers.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        SocketAddr::from((self.own.address(), self.port))
    }

    /// Returns the address on which this store listens for peers.
    #[must_use]
    pub fn own_store_address(&self) -> SocketAddr {
        SocketAddr::from((self.own.address(), self.store_port))
    }

    /// Creates a transport to the gateways and control nodes.
    #[must_use]
    pub fn transport(&self, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        Self::transport_to(self.port, executor)
    }

    /// Creates a transport to the stores.
    #[must_use]
    pub fn store_transport(&self, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        Self::transport_to(self.store_port, executor)
    }

    fn transport_to(port: u16, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        let limits = ClientLimits {
            connect_timeout: Duration::from_millis(250),
            silence_limit: Duration::from_millis(1_500),
            max_backoff: Duration::from_millis(250),
            ..ClientLimits::default()
        };
        let seed = rand::random();
        Arc::new(WireTransport::between_addresses(
            executor.clone(),
            port,
            limits,
            seed,
        ))
    }
}

/// Creates a client of the consensus groups on `replicas`; the list can be replaced
/// later.
#[must_use]
pub fn cluster(transport: Arc<dyn PeerTransport>, replicas: Vec<NodeId>) -> Arc<Cluster> {
    let limits = ClusterLimits {
        first_call_timeout: Duration::from_millis(300),
        call_timeout: Duration::from_secs(1),
        deadline: Duration::from_secs(3),
        first_pause: Duration::from_millis(5),
        longest_pause: Duration::from_millis(100),
    };
    Arc::new(Cluster::new(transport, replicas, limits))
}

/// Returns the options of the replica on `node`, which discovers `members` on `port`.
pub(crate) fn replica_options(
    node: NodeId,
    members: Discovery,
    port: u16,
    data_folder: PathBuf,
) -> ReplicaOptions {
    ReplicaOptions {
        discovery: Some(DiscoveryOptions { members, port }),
        segment_bytes: SEGMENT_BYTES,
        tick: TICK,
        election_timeout: ELECTION_TIMEOUT,
        leader_heartbeat: LEADER_HEARTBEAT,
        ..ReplicaOptions::new(node, Vec::new(), data_folder)
    }
}

/// Capacity of the buffer of decision events. Nothing reads them on these nodes yet.
const EVENT_BUFFER_CAPACITY: usize = 256;

/// Starts the replica of a node.
pub(crate) fn start_replica(
    options: ReplicaOptions,
    executor: &Arc<Executor<'static>>,
    logger: &Logger,
) -> Result<Arc<ReplicaRole>, DaemonError> {
    let events = EventBuffer::new(options.node, EVENT_BUFFER_CAPACITY);
    let role = ReplicaRole::start(ReplicaContext {
        options,
        executor: executor.clone(),
        logger: logger.clone(),
        metrics: Metrics::default(),
        events,
    })?;
    Ok(Arc::new(role))
}
