//! Members of a group and the quorums they form.

use std::collections::BTreeSet;

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};

use crate::{Index, ReplicaId};

/// The members of a group.
///
/// While `outgoing` is not empty the membership is joint: every decision needs
/// a majority of `voters` and a majority of `outgoing`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Membership {
    /// Replicas that vote.
    #[n(0)]
    pub voters: BTreeSet<ReplicaId>,
    /// The voters of the membership that is being left; empty unless joint.
    #[n(1)]
    pub outgoing: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    #[n(2)]
    pub learners: BTreeSet<ReplicaId>,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without a vote.
    AddLearner(ReplicaId),
    /// Removes a learner.
    RemoveLearner(ReplicaId),
    /// Puts a learner that has caught up in the place of a voter, in one joint
    /// step.
    Replace {
        /// The voter that goes.
        lost: ReplicaId,
        /// The learner that takes its place.
        replacement: ReplicaId,
    },
    /// Any other change, in one joint step. New voters need not have caught
    /// up; commits wait for them.
    Set {
        /// Voters after the change.
        voters: BTreeSet<ReplicaId>,
        /// Learners after the change.
        learners: BTreeSet<ReplicaId>,
    },
}

impl Membership {
    /// A membership of voters only.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Whether two sets of voters have to agree.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `id` votes, in either set.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }

    /// Whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// The voters of both sets.
    #[must_use]
    pub fn all_voters(&self) -> BTreeSet<ReplicaId> {
        self.voters.union(&self.outgoing).copied().collect()
    }

    /// Voters and learners.
    #[must_use]
    pub fn members(&self) -> BTreeSet<ReplicaId> {
        let mut members = self.all_voters();
        members.extend(&self.learners);
        members
    }

    /// Whether the replicas for which `agrees` holds are a quorum: a majority
    /// of the voters and, while joint, of the outgoing voters too.
    pub fn is_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        let majority_of = |voters: &BTreeSet<ReplicaId>| {
            let count = voters.iter().filter(|id| agrees(**id)).count();
            count >= majority(voters.len())
        };
        let incoming_agree = !self.voters.is_empty() && majority_of(&self.voters);
        incoming_agree && (self.outgoing.is_empty() || majority_of(&self.outgoing))
    }

    /// The highest index that a quorum has stored, where `stored` gives the
    /// last index stored on a replica.
    pub fn stored_by_quorum(&self, stored: impl Fn(ReplicaId) -> Index) -> Index {
        let incoming = stored_by_majority(&self.voters, &stored);
        if self.outgoing.is_empty() {
            return incoming;
        }
        incoming.min(stored_by_majority(&self.outgoing, &stored))
    }
}

/// The smallest number of replicas that is more than half of `count`.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The number of replicas of `count` that must store an entry to commit it.
fn commit_majority(count: usize) -> usize {
    if enabled(Mechanism::QuorumCommit) {
        majority(count)
    } else {
        majority(count).saturating_sub(1).max(1)
    }
}

/// The highest index that a majority of `voters` has stored.
fn stored_by_majority(voters: &BTreeSet<ReplicaId>, stored: &impl Fn(ReplicaId) -> Index) -> Index {
    let mut indexes: Vec<Index> = voters.iter().map(|id| stored(*id)).collect();
    indexes.sort_unstable_by(|left, right| right.cmp(left));
    indexes
        .get(commit_majority(voters.len()) - 1)
        .copied()
        .unwrap_or(Index::ZERO)
}
