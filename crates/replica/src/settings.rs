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
    /// Every node that holds a replica, this one included. It must be the same
    /// list on each of them.
    pub peers: Vec<NodeId>,
    /// Job groups beside the control group.
    pub job_groups: u32,
    /// Set where the members are not listed in the settings.
    pub discovery: Option<Discovery>,
    /// How long a lease outlives its last renewal on the leader's clock.
    pub lease_length: Duration,
    /// How long the submission of a job may stand still before it is dropped.
    pub submission_timeout: Duration,
    /// How long a claim may stay open on the leader's clock before it is
    /// settled as unknown; longer than a gateway keeps a request going.
    pub claim_timeout: Duration,
    /// A snapshot of a group is taken after as many applied entries.
    pub snapshot_every_entries: u64,
    /// A snapshot of a group is taken after as many bytes of applied commands.
    pub snapshot_every_bytes: u64,
    /// Time between two ticks of consensus.
    pub tick: Duration,
    /// Ticks without a leader before an election; the actual number is drawn
    /// from this up to twice as many.
    pub election_ticks: u32,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// How long the fate of a proposal may stay open before it is reported as
    /// unknown.
    pub proposal_timeout: Duration,
    /// Most proposals of one group whose fate is open.
    pub max_pending_proposals: usize,
    /// Bytes of a snapshot that are sent at once.
    pub chunk_bytes: usize,
    /// Sizes of the write-ahead log.
    pub log: LogSettings,
    /// Seed of everything random. A blank disk draws its identity from it, so
    /// it must be fresh at each start: from the operating system in a daemon,
    /// from the run's generator in a simulation.
    pub seed: u64,
}

/// How a process whose members are not listed finds and keeps them.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// The only group of the process.
    pub group: GroupId,
    /// Nodes to greet first; others are learnt from them.
    pub contacts: BTreeSet<NodeId>,
    /// The first voters, all with [`FIRST_INCARNATION`], where they are known
    /// beforehand and the disks are blank for the very first time. Otherwise
    /// they come by [`crate::Input::Found`] or from another process.
    pub founders: BTreeSet<NodeId>,
    /// Voters that the group is to have.
    pub voters: usize,
    /// A voter that is silent for longer gives its place to a node that waits.
    pub replace_after: Duration,
}

/// Incarnation of the disks of founders that are known beforehand.
pub const FIRST_INCARNATION: u32 = 1;

impl Discovery {
    /// Nobody known yet; a group of three voters.
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
    /// Settings with the defaults for `node` among `peers`.
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
    /// Checks that the settings can work together.
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

    /// Segments of the log beyond which a group that keeps the oldest alive
    /// takes a snapshot before its time.
    pub(crate) fn most_segments(&self) -> usize {
        const SPARE: u64 = 2;
        let bytes = self.snapshot_every_bytes.saturating_mul(2);
        (bytes / self.log.segment_bytes + SPARE) as usize
    }
}
