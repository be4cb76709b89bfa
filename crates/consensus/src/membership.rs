//! Members of a group and the quorums they form.

use std::collections::BTreeSet;

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};

use crate::{Index, ReplicaId};

/// The members of a group.
///
/// While `outgoing` is not empty the membership is joint: every decision needs
/// a majority of both `voters` and `outgoing`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Membership {
    /// Voting replicas.
    #[n(0)]
    pub voters: BTreeSet<ReplicaId>,
    /// Voters of the previous membership; empty unless the membership is joint.
    #[n(1)]
    pub outgoing: BTreeSet<ReplicaId>,
    /// Replicas that receive the log without voting.
    #[n(2)]
    pub learners: BTreeSet<ReplicaId>,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner(ReplicaId),
    /// Removes a learner.
    RemoveLearner(ReplicaId),
    /// Replaces a voter by a learner that has caught up, in one joint step.
    Replace {
        /// The voter to remove.
        lost: ReplicaId,
        /// The learner to promote.
        replacement: ReplicaId,
    },
    /// Any other change, in one joint step. New voters need not have caught up,
    /// but commits wait for them.
    Set {
        /// Voters after the change.
        voters: BTreeSet<ReplicaId>,
        /// Learners after the change.
        learners: BTreeSet<ReplicaId>,
    },
}

impl Membership {
    /// Returns a membership of voters without learners.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Whether the membership is joint, so that two sets of voters have to agree.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `id` is a voter in either set.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }

    /// Whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// Returns the voters of both sets.
    #[must_use]
    pub fn all_voters(&self) -> BTreeSet<ReplicaId> {
        self.voters.union(&self.outgoing).copied().collect()
    }

    /// Returns all voters and learners.
    #[must_use]
    pub fn members(&self) -> BTreeSet<ReplicaId> {
        let mut members = self.all_voters();
        members.extend(&self.learners);
        members
    }

    /// Whether the replicas for which `agrees` returns true form a quorum: a
    /// majority of the voters and, while joint, of the outgoing voters as well.
    pub fn is_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        let majority_of = |voters: &BTreeSet<ReplicaId>| {
            let count = voters.iter().filter(|id| agrees(**id)).count();
            count >= majority(voters.len())
        };
        let incoming_agree = !self.voters.is_empty() && majority_of(&self.voters);
        incoming_agree && (self.outgoing.is_empty() || majority_of(&self.outgoing))
    }

    /// Returns the highest index stored by a quorum, where `stored` returns the
    /// last index stored on a replica.
    pub fn stored_by_quorum(&self, stored: impl Fn(ReplicaId) -> Index) -> Index {
        let incoming = stored_by_majority(&self.voters, &stored);
        if self.outgoing.is_empty() {
            return incoming;
        }
        incoming.min(stored_by_majority(&self.outgoing, &stored))
    }
}

/// Returns the smallest number that is more than half of `count`.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns how many of `count` replicas must store an entry to commit it. One
/// fewer than a majority, but at least one, if [`Mechanism::QuorumCommit`] is
/// disabled.
fn commit_majority(count: usize) -> usize {
    if enabled(Mechanism::QuorumCommit) {
        majority(count)
    } else {
        majority(count).saturating_sub(1).max(1)
    }
}

/// Returns the highest index stored by a majority of `voters`.
fn stored_by_majority(voters: &BTreeSet<ReplicaId>, stored: &impl Fn(ReplicaId) -> Index) -> Index {
    let mut indexes: Vec<Index> = voters.iter().map(|id| stored(*id)).collect();
    indexes.sort_unstable_by(|left, right| right.cmp(left));
    indexes
        .get(commit_majority(voters.len()) - 1)
        .copied()
        .unwrap_or(Index::ZERO)
}
