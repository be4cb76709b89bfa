//! A replica process's view of itself.

use std::collections::BTreeSet;

use molespan_types::{GroupId, NodeId};

/// A replica process's view of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// This node.
    pub node: NodeId,
    /// Life of its disk.
    pub incarnation: u32,
    /// Starts on this disk.
    pub boot: u64,
    /// Whether it takes part in the groups.
    pub takes_part: bool,
    /// Whether its disk is full.
    pub disk_full: bool,
    /// Bytes in the write-ahead log.
    pub log_bytes: u64,
    /// Syncs of the write-ahead log since the start.
    pub log_syncs: u64,
    /// Its groups.
    pub groups: Vec<GroupStatus>,
    /// Nodes that vote as far as is known, also to a replica that does not take
    /// part.
    pub known_voters: BTreeSet<NodeId>,
}

/// One group as this replica sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Group.
    pub group: GroupId,
    /// Whether this replica leads it.
    pub leads: bool,
    /// Leader, when known.
    pub leader: Option<NodeId>,
    /// Term of consensus.
    pub term: u64,
    /// Last committed entry known here.
    pub commit: u64,
    /// Last entry applied here.
    pub applied: u64,
    /// Last entry in the latest snapshot.
    pub snapshot: u64,
    /// Bytes in the payload log.
    pub payload_bytes: u64,
    /// Nodes that vote, with the life that does; two lives of one node while
    /// one replaces the other.
    pub voters: Vec<(NodeId, u32)>,
    /// Nodes that are catching up.
    pub learners: Vec<(NodeId, u32)>,
}

impl ReplicaStatus {
    /// Groups that this replica leads.
    pub fn leads(&self) -> impl Iterator<Item = GroupId> {
        let led = self.groups.iter().filter(|group| group.leads);
        led.map(|group| group.group)
    }

    /// Groups in which this life votes, and no earlier one of the node does any
    /// more. All of them do once a lost disk is replaced.
    pub fn votes_in(&self) -> impl Iterator<Item = GroupId> {
        let own = (self.node, self.incarnation);
        let votes = move |group: &&GroupStatus| {
            let mut lives = group.voters.iter().filter(|(node, _)| *node == own.0);
            lives.next() == Some(&own) && lives.next().is_none()
        };
        self.groups.iter().filter(votes).map(|group| group.group)
    }
}
