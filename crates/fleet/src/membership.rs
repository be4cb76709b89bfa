//! How the nodes of a cluster address one another.

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

/// Time between two ticks of a group. Idle ticks cost processor time on small
/// machines.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time without a leader before an election. Jobs are to be kept
/// within some hundred milliseconds also when a store is lost; an election that
/// was not needed is prevented by the pre-vote.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two heartbeats of a leader: two of three may be late.
const LEADER_HEARTBEAT: Duration = TICK;
/// Bytes of a segment of the log.
pub(crate) const SEGMENT_BYTES: u64 = 4 << 20;

/// Where the nodes are: each is named by its address, and those of one kind
/// listen on one port for the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterAddresses {
    /// This node.
    pub own: NodeId,
    /// Port of gateways and control nodes.
    pub port: u16,
    /// Port of stores, which may share machines with control nodes.
    pub store_port: u16,
    /// Control nodes to begin with; others are learnt from them.
    pub seeds: Vec<NodeId>,
}

impl ClusterAddresses {
    /// Where this gateway or control node listens for others.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        SocketAddr::from((self.own.address(), self.port))
    }

    /// Where this store listens for others.
    #[must_use]
    pub fn own_store_address(&self) -> SocketAddr {
        SocketAddr::from((self.own.address(), self.store_port))
    }

    /// A transport to every gateway and control node.
    #[must_use]
    pub fn transport(&self, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        Self::transport_to(self.port, executor)
    }

    /// A transport to every store.
    #[must_use]
    pub fn store_transport(&self, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        Self::transport_to(self.store_port, executor)
    }

    fn transport_to(port: u16, executor: &Arc<Executor<'static>>) -> Arc<WireTransport> {
        let limits = ClientLimits {
            connect_timeout: Duration::from_millis(250),
            silence_limit: Duration::from_millis(1_500),
            longest_pause: Duration::from_millis(250),
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

/// A client of the groups on `replicas`, which may change.
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

/// Options of the replica of a node at `node`, which looks for `members` on
/// `port`.
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

/// Decision events kept; nobody watches them on these nodes yet.
const EVENTS: usize = 256;

/// Starts the replica of a node.
pub(crate) fn start_replica(
    options: ReplicaOptions,
    executor: &Arc<Executor<'static>>,
    logger: &Logger,
) -> Result<Arc<ReplicaRole>, DaemonError> {
    let events = EventBuffer::new(options.node, EVENTS);
    let role = ReplicaRole::start(ReplicaContext {
        options,
        executor: executor.clone(),
        logger: logger.clone(),
        metrics: Metrics::default(),
        events,
    })?;
    Ok(Arc::new(role))
}
