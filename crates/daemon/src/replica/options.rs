//! Options of the replica role.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_replica::{Discovery, ReplicaSettings};
use molespan_storage::LogSettings;
use molespan_telemetry::{EventBuffer, Metrics};
use molespan_types::NodeId;
use slog::Logger;

/// Discovery of members that are not listed. Their IDs encode their addresses.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// The members to discover.
    pub members: Discovery,
    /// Internal port of all members.
    pub port: u16,
}

/// A node that holds a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPeer {
    /// Node.
    pub node: NodeId,
    /// Its internal address.
    pub address: SocketAddr,
}

/// Options of a replica role.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// This node.
    pub node: NodeId,
    /// Every node that holds a replica, this one included.
    pub peers: Vec<ReplicaPeer>,
    /// Folder of the replica's files; nothing else may write there.
    pub data_folder: PathBuf,
    /// Set when members are discovered instead of listed.
    pub discovery: Option<DiscoveryOptions>,
    /// Number of job groups, in addition to the control group.
    pub job_groups: u32,
    /// Lifetime of a lease after its last renewal.
    pub lease: Duration,
    /// How long a claim may stay open before it is settled as unknown.
    pub claim_timeout: Duration,
    /// Interval between ticks of consensus.
    pub tick: Duration,
    /// Minimum time without a leader before an election.
    pub election_timeout: Duration,
    /// Interval between heartbeats of a group's leader.
    pub leader_heartbeat: Duration,
    /// Interval between a node's heartbeats to the control leader.
    pub node_heartbeat: Duration,
    /// Time limit for handing over the leaderships at a stop.
    pub hand_over_within: Duration,
    /// Size in bytes at which a log segment is closed.
    pub segment_bytes: u64,
    /// A group's snapshot is taken after this many bytes of applied commands. Commands
    /// since the last snapshot are kept in memory and replayed at a start.
    pub snapshot_every_bytes: u64,
}

impl ReplicaOptions {
    /// Creates options with defaults for `node` among `peers`.
    #[must_use]
    pub fn new(node: NodeId, peers: Vec<ReplicaPeer>, data_folder: PathBuf) -> Self {
        Self {
            node,
            peers,
            data_folder,
            discovery: None,
            job_groups: 4,
            lease: Duration::from_secs(10),
            claim_timeout: Duration::from_secs(10 * 60),
            tick: Duration::from_millis(50),
            election_timeout: Duration::from_millis(500),
            leader_heartbeat: Duration::from_millis(100),
            node_heartbeat: Duration::from_secs(1),
            hand_over_within: Duration::from_secs(3),
            segment_bytes: LogSettings::default().segment_bytes,
            snapshot_every_bytes: 64 << 20,
        }
    }

    /// Returns the number of whole ticks in `time`.
    fn ticks(&self, time: Duration) -> u32 {
        let ticks = time.as_micros() / self.tick.as_micros().max(1);
        u32::try_from(ticks).unwrap_or(u32::MAX)
    }

    /// Returns the settings of the replica's core.
    pub(super) fn core_settings(&self, seed: u64) -> ReplicaSettings {
        let nodes = match &self.discovery {
            Some(_) => vec![self.node],
            None => self.peers.iter().map(|peer| peer.node).collect(),
        };
        ReplicaSettings {
            discovery: self.discovery.as_ref().map(|found| found.members.clone()),
            job_groups: self.job_groups,
            lease_length: self.lease,
            claim_timeout: self.claim_timeout,
            snapshot_every_bytes: self.snapshot_every_bytes,
            tick: self.tick,
            election_ticks: self.ticks(self.election_timeout).max(3),
            heartbeat_ticks: self.ticks(self.leader_heartbeat).max(1),
            log: LogSettings {
                segment_bytes: self.segment_bytes,
                ..LogSettings::default()
            },
            ..ReplicaSettings::new(self.node, nodes, seed)
        }
    }
}

/// Dependencies of a replica role.
#[derive(Clone, Debug)]
pub struct ReplicaContext {
    /// Options.
    pub options: ReplicaOptions,
    /// Executor of its tasks.
    pub executor: Arc<Executor<'static>>,
    /// Parent of its logger.
    pub logger: Logger,
    /// Registry of its metrics.
    pub metrics: Metrics,
    /// Buffer of the events shown to operators.
    pub events: EventBuffer,
}
