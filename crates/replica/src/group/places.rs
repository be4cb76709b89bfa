//! Maintenance of the voters if members are discovered: a voter that is lost or
//! retiring is replaced by a waiting node, and a group with too few voters grows.

use std::collections::BTreeSet;

use molespan_consensus::{MembershipChange, ReplicaId};
use molespan_storage::Disk;
use molespan_types::{NodeId, Timestamp};

use super::Group;
use crate::Discovery;
use crate::identity::node_of;
use crate::turn::Turn;

impl<D: Disk> Group<D> {
    /// Takes the next step towards a membership of active voters that are not
    /// retiring. Each step is one membership change; consensus rejects a step
    /// while the previous one is incomplete or the learner has not caught up.
    pub fn maintain_voters(
        &mut self,
        turn: &mut Turn<'_, D>,
        joining: &[ReplicaId],
        retiring: &BTreeSet<NodeId>,
    ) {
        let Some(discovery) = &turn.settings.discovery else {
            return;
        };
        if !self.leads() {
            self.last_responses.clear();
            return;
        }
        self.record_responses(turn.now);
        if let Some(change) = self.next_voter_change(turn.now, discovery, joining, retiring) {
            // Rejected while an earlier step is in progress; retried later.
            let _ = self.replica.change_membership(change);
        }
    }

    fn record_responses(&mut self, now: Timestamp) {
        let status = self.replica.status();
        let members = status.membership.members();
        self.last_responses
            .retain(|member, _| members.contains(member));
        for (member, follower) in &status.followers {
            let last_response = self.last_responses.entry(*member).or_insert(now);
            if follower.recently_active {
                *last_response = now;
            }
        }
    }

    fn next_voter_change(
        &self,
        now: Timestamp,
        discovery: &Discovery,
        joining: &[ReplicaId],
        retiring: &BTreeSet<NodeId>,
    ) -> Option<MembershipChange> {
        let membership = self.replica.membership();
        if membership.is_joint() {
            return None;
        }
        let unresponsive = |member: ReplicaId| {
            let last_response = self.last_responses.get(&member);
            last_response
                .is_some_and(|&last_response| now.since(last_response) >= discovery.replace_after)
        };
        let mut learners = membership.learners.iter().copied();
        if let Some(lost) = learners.find(|&learner| unresponsive(learner)) {
            return Some(MembershipChange::RemoveLearner(lost));
        }
        let own = self.replica.id();
        let voters = &membership.voters;
        let is_retiring = |&&voter: &&ReplicaId| retiring.contains(&node_of(voter));
        let lost = |&&voter: &&ReplicaId| voter != own && unresponsive(voter);
        let to_replace = voters
            .iter()
            .find(lost)
            .or_else(|| voters.iter().find(is_retiring));
        let grows = voters.len() < discovery.voters;
        if to_replace.is_none() && !grows {
            return None;
        }
        let voter_nodes: BTreeSet<NodeId> = voters.iter().map(|&voter| node_of(voter)).collect();
        let is_waiting = |&&one: &&ReplicaId| {
            !voter_nodes.contains(&node_of(one)) && !retiring.contains(&node_of(one))
        };
        let learners = &membership.learners;
        if let Some(&replacement) = learners.iter().find(is_waiting) {
            return match to_replace {
                Some(&lost) => Some(MembershipChange::Replace { lost, replacement }),
                None => self.add_voter(replacement),
            };
        }
        let candidate = joining.iter().find(is_waiting)?;
        Some(MembershipChange::AddLearner(*candidate))
    }

    /// Returns the change that makes a learner an additional voter, once it has all
    /// committed entries.
    fn add_voter(&self, learner: ReplicaId) -> Option<MembershipChange> {
        let status = self.replica.status();
        let follower = status.followers.get(&learner)?;
        if follower.match_index < status.commit {
            return None;
        }
        let mut membership = status.membership;
        membership.learners.remove(&learner);
        membership.voters.insert(learner);
        Some(MembershipChange::Set {
            voters: membership.voters,
            learners: membership.learners,
        })
    }
}
