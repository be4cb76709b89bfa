//! Status of a replica process.

use std::collections::BTreeSet;

use molespan_types::{GroupId, NodeId};

/// Status of a replica process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// This node.
    pub node: NodeId,
    /// Incarnation of its disk.
    pub incarnation: u32,
    /// Number of starts on this disk.
    pub boot: u64,
    /// Whether it participates in the groups.
    pub takes_part: bool,
    /// Whether its disk is full.
    pub disk_full: bool,
    /// Bytes in the write-ahead log.
    pub log_bytes: u64,
    /// Number of syncs of the write-ahead log since the start.
    pub log_syncs: u64,
    /// Status of its groups.
    pub groups: Vec<GroupStatus>,
    /// Known voters. Also set on a replica that does not participate yet.
    pub known_voters: BTreeSet<NodeId>,
}

/// Status of one group on this replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Group.
    pub group: GroupId,
    /// Whether this replica leads it.
    pub leads: bool,
    /// Leader, if known.
    pub leader: Option<NodeId>,
    /// Consensus term.
    pub term: u64,
    /// Last entry known to be committed.
    pub commit: u64,
    /// Last entry applied on this replica.
    pub applied: u64,
    /// Last entry in the latest snapshot.
    pub snapshot: u64,
    /// Bytes in the payload log.
    pub payload_bytes: u64,
    /// Voters by node and incarnation. A node is listed with two incarnations
    /// while one replaces the other.
    pub voters: Vec<(NodeId, u32)>,
    /// Learners by node and incarnation, which are catching up.
    pub learners: Vec<(NodeId, u32)>,
}

impl ReplicaStatus {
    /// Returns the groups that this replica leads.
    pub fn leads(&self) -> impl Iterator<Item = GroupId> {
        let led = self.groups.iter().filter(|group| group.leads);
        led.map(|group| group.group)
    }

    /// Returns the groups in which this incarnation votes and no other incarnation
    /// of this node does. These are all groups once a lost disk has been replaced.
    pub fn votes_in(&self) -> impl Iterator<Item = GroupId> {
        let own = (self.node, self.incarnation);
        let votes = move |group: &&GroupStatus| {
            let mut own_voters = group.voters.iter().filter(|(node, _)| *node == own.0);
            own_voters.next() == Some(&own) && own_voters.next().is_none()
        };
        self.groups.iter().filter(votes).map(|group| group.group)
    }
}
