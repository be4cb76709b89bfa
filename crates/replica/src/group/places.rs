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
    pub fn renew_members(
        &mut self,
        turn: &mut Turn<'_, D>,
        joining: &[ReplicaId],
        retiring: &BTreeSet<NodeId>,
    ) {
        let Some(discovery) = &turn.settings.discovery else {
            return;
        };
        if !self.leads() {
            self.heard.clear();
            return;
        }
        self.note_heard(turn.now);
        if let Some(change) = self.next_place(turn.now, discovery, joining, retiring) {
            // Rejected while an earlier step is in progress; retried later.
            let _ = self.replica.change_membership(change);
        }
    }

    fn note_heard(&mut self, now: Timestamp) {
        let status = self.replica.status();
        let members = status.membership.members();
        self.heard.retain(|member, _| members.contains(member));
        for (member, follower) in &status.followers {
            let heard = self.heard.entry(*member).or_insert(now);
            if follower.recently_active {
                *heard = now;
            }
        }
    }

    fn next_place(
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
        let silent = |member: ReplicaId| {
            let heard = self.heard.get(&member);
            heard.is_some_and(|&heard| now.since(heard) >= discovery.replace_after)
        };
        let mut learners = membership.learners.iter().copied();
        if let Some(lost) = learners.find(|&learner| silent(learner)) {
            return Some(MembershipChange::RemoveLearner(lost));
        }
        let own = self.replica.id();
        let voters = &membership.voters;
        let leaving = |&&voter: &&ReplicaId| retiring.contains(&node_of(voter));
        let lost = |&&voter: &&ReplicaId| voter != own && silent(voter);
        let victim = voters
            .iter()
            .find(lost)
            .or_else(|| voters.iter().find(leaving));
        let grows = voters.len() < discovery.voters;
        if victim.is_none() && !grows {
            return None;
        }
        let seated: BTreeSet<NodeId> = voters.iter().map(|&voter| node_of(voter)).collect();
        let waits = |&&one: &&ReplicaId| {
            !seated.contains(&node_of(one)) && !retiring.contains(&node_of(one))
        };
        let learners = &membership.learners;
        if let Some(&replacement) = learners.iter().find(waits) {
            return match victim {
                Some(&lost) => Some(MembershipChange::Replace { lost, replacement }),
                None => self.seat(replacement),
            };
        }
        let candidate = joining.iter().find(waits)?;
        Some(MembershipChange::AddLearner(*candidate))
    }

    /// Returns the change that makes a learner an additional voter, once it has all
    /// committed entries.
    fn seat(&self, learner: ReplicaId) -> Option<MembershipChange> {
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
