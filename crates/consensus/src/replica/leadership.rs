//! State that only a leader keeps.

use std::collections::{BTreeMap, VecDeque};

use super::progress::Progress;
use crate::{Index, Membership, ReplicaId};

/// State of a leader, dropped when it steps down.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Leadership {
    /// Followers and learners; never this replica itself.
    pub(crate) followers: BTreeMap<ReplicaId, Progress>,
    /// The first entry of the leader's term.
    pub(crate) term_start: Index,
    pub(crate) ticks_since_heartbeat: u32,
    pub(crate) ticks_since_quorum_check: u32,
    pub(crate) reads: ReadQueue,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) uncommitted_bytes: usize,
}

/// Reads that wait for confirmation.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct ReadQueue {
    /// Reads not yet assigned to a round.
    pub(crate) waiting: Vec<u64>,
    /// Rounds not yet confirmed by a quorum, oldest first.
    pub(crate) rounds: VecDeque<ReadRound>,
    /// Number of the latest round.
    pub(crate) latest_round: u64,
}

/// Reads confirmed together by one round of heartbeats.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ReadRound {
    pub(crate) number: u64,
    /// The commit index when the round started.
    pub(crate) index: Index,
    pub(crate) contexts: Vec<u64>,
}

/// A leadership transfer in progress.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Transfer {
    pub(crate) to: ReplicaId,
    pub(crate) ticks: u32,
}

impl Leadership {
    pub(crate) fn new(term_start: Index, uncommitted_bytes: usize) -> Self {
        Self {
            followers: BTreeMap::new(),
            term_start,
            ticks_since_heartbeat: 0,
            ticks_since_quorum_check: 0,
            reads: ReadQueue::default(),
            transfer: None,
            uncommitted_bytes,
        }
    }

    /// Starts tracking new members and removes those that left.
    pub(crate) fn track_members(
        &mut self,
        own_id: ReplicaId,
        membership: &Membership,
        next_index: Index,
    ) {
        self.followers.retain(|id, _| membership.contains(*id));
        for id in membership.members() {
            if id != own_id {
                self.followers
                    .entry(id)
                    .or_insert_with(|| Progress::new(next_index));
            }
        }
    }
}

impl ReadQueue {
    pub(crate) fn len(&self) -> usize {
        let in_rounds: usize = self.rounds.iter().map(|round| round.contexts.len()).sum();
        self.waiting.len() + in_rounds
    }

    /// Returns the contexts of all reads, in the order of their arrival.
    pub(crate) fn into_contexts(self) -> impl Iterator<Item = u64> {
        self.rounds
            .into_iter()
            .flat_map(|round| round.contexts)
            .chain(self.waiting)
    }
}
