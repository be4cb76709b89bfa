//! Settings of a replica process.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_storage::LogSettings;
use molespan_types::{GroupId, NodeId};

use crate::ReplicaError;

/// Settings of one replica process.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This node.
    pub node: NodeId,
    /// All nodes that hold a replica, including this one. The list must be
    /// identical on all of them.
    pub peers: Vec<NodeId>,
    /// Number of job groups, in addition to the control group.
    pub job_groups: u32,
    /// Set if members are discovered instead of listed in `peers`.
    pub discovery: Option<Discovery>,
    /// How long a lease stays valid after its last renewal, on the leader's clock.
    pub lease_length: Duration,
    /// How long a job submission may make no progress before it is dropped.
    pub submission_timeout: Duration,
    /// How long a claim may stay open, on the leader's clock, before it is
    /// settled as unknown. Must be longer than a gateway keeps a request in flight.
    pub claim_timeout: Duration,
    /// Number of applied entries after which a snapshot of a group is taken.
    pub snapshot_every_entries: u64,
    /// Bytes of applied entries after which a snapshot of a group is taken.
    pub snapshot_every_bytes: u64,
    /// Interval between two consensus ticks.
    pub tick: Duration,
    /// Minimum election timeout, in ticks. The actual timeout is drawn at random
    /// between this value and twice as much.
    pub election_ticks: u32,
    /// Interval between two heartbeats of a leader, in ticks.
    pub heartbeat_ticks: u32,
    /// How long a proposal may stay undecided before its outcome is reported as
    /// unknown.
    pub proposal_timeout: Duration,
    /// Maximum undecided proposals per group.
    pub max_pending_proposals: usize,
    /// Maximum bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Size settings of the write-ahead log.
    pub log: LogSettings,
    /// Seed for all random numbers. A blank disk draws its incarnation from it, so
    /// it must be different at each start: from the operating system in a daemon,
    /// from the generator of the run in a simulation.
    pub seed: u64,
}

/// How a process whose members are not listed discovers and maintains them.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// The single group of the process.
    pub group: GroupId,
    /// Nodes to send the first hellos to; further nodes are learned from them.
    pub contacts: BTreeSet<NodeId>,
    /// The founders, all with [`FIRST_INCARNATION`], if they are known in advance
    /// and their disks have never been used. Otherwise they are provided by
    /// [`crate::Input::Found`] or by another process.
    pub founders: BTreeSet<NodeId>,
    /// Desired number of voters.
    pub voters: usize,
    /// A voter that does not respond for this long is replaced by a waiting node.
    pub replace_after: Duration,
}

/// Disk incarnation of founders that are known in advance.
pub const FIRST_INCARNATION: u32 = 1;

impl Discovery {
    /// Returns the defaults: three voters, and neither contacts nor founders.
    #[must_use]
    pub fn new(group: GroupId) -> Self {
        Self {
            group,
            contacts: BTreeSet::new(),
            founders: BTreeSet::new(),
            voters: 3,
            replace_after: Duration::from_millis(2_500),
        }
    }
}

impl ReplicaSettings {
    /// Returns the default settings for `node` in a cluster of `peers`.
    #[must_use]
    pub fn new(node: NodeId, peers: Vec<NodeId>, seed: u64) -> Self {
        Self {
            node,
            peers,
            job_groups: 4,
            discovery: None,
            lease_length: Duration::from_secs(10),
            submission_timeout: Duration::from_secs(60 * 60),
            claim_timeout: Duration::from_secs(10 * 60),
            snapshot_every_entries: 20_000,
            snapshot_every_bytes: 64 << 20,
            tick: Duration::from_millis(50),
            election_ticks: 10,
            heartbeat_ticks: 2,
            proposal_timeout: Duration::from_secs(5),
            max_pending_proposals: 10_000,
            chunk_bytes: 256 << 10,
            log: LogSettings::default(),
            seed,
        }
    }
}

impl ReplicaSettings {
    /// Checks that the settings are valid.
    pub(crate) fn check(&self) -> Result<(), ReplicaError> {
        let rules = [
            (
                self.peers.contains(&self.node),
                "peers must name the node itself",
            ),
            (
                self.peers.iter().collect::<BTreeSet<_>>().len() == self.peers.len(),
                "peers names a node twice",
            ),
            (!self.tick.is_zero(), "tick must not be zero"),
            (self.chunk_bytes > 0, "chunk_bytes must not be zero"),
            (
                self.snapshot_every_entries > 0,
                "snapshot_every_entries must not be zero",
            ),
            (
                self.snapshot_every_bytes > 0,
                "snapshot_every_bytes must not be zero",
            ),
            (
                self.log.segment_bytes > 0,
                "log.segment_bytes must not be zero",
            ),
        ];
        let broken = rules.iter().filter(|(holds, _)| !holds);
        let problems: Vec<String> = broken.map(|(_, problem)| (*problem).to_owned()).collect();
        match problems.is_empty() {
            true => Ok(()),
            false => Err(ReplicaError::Settings { problems }),
        }
    }

    /// Returns the number of log segments beyond which the group that retains the
    /// oldest segment takes a snapshot early.
    pub(crate) fn max_segments(&self) -> usize {
        const SPARE_SEGMENTS: u64 = 2;
        let bytes = self.snapshot_every_bytes.saturating_mul(2);
        (bytes / self.log.segment_bytes + SPARE_SEGMENTS) as usize
    }
}
