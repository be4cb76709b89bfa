//! Replacement of lost replicas by new incarnations of their nodes.

use std::time::Duration;

use molespan_consensus::{Membership, MembershipChange, ReplicaId};
use molespan_storage::Disk;
use molespan_types::NodeId;

use super::Group;
use super::proposals::refusal_of;
use crate::Ticket;
use crate::identity::{node_of, replica_id};
use crate::turn::{Turn, not_run};

/// Retry delay suggested while a replacement is pending, in milliseconds.
const RETRY_MS: u32 = 500;

/// Interval between attempts of a leader with a full disk to transfer leadership.
const FULL_DISK_TRANSFER_INTERVAL: Duration = Duration::from_secs(1);

impl<D: Disk> Group<D> {
    /// Advances the replacement by each new incarnation in `joining` by one step: it
    /// first becomes a learner and, once it has durably caught up, the voter in place
    /// of the node's previous incarnation. Consensus rejects steps that come too
    /// early.
    pub fn replace_lost(&mut self, joining: &[ReplicaId]) {
        if !self.leads() {
            return;
        }
        for &replacement in joining {
            if let Some(change) = self.next_change(replacement) {
                let _ = self.replica.change_membership(change);
            }
        }
    }

    fn next_change(&self, replacement: ReplicaId) -> Option<MembershipChange> {
        let membership = self.replica.membership();
        if membership.is_joint() || membership.voters.contains(&replacement) {
            return None;
        }
        let lost = voter_of(membership, node_of(replacement))?;
        if lost == self.replica.id() || self.is_active(lost) {
            return None;
        }
        if membership.learners.contains(&replacement) {
            return Some(MembershipChange::Replace { lost, replacement });
        }
        let mut learners = membership.learners.iter().copied();
        let other_incarnation = learners.find(|&learner| node_of(learner) == node_of(replacement));
        Some(match other_incarnation {
            Some(learner) => MembershipChange::RemoveLearner(learner),
            None => MembershipChange::AddLearner(replacement),
        })
    }

    /// Whether a voter has responded recently. In that case two processes claim to be
    /// the same node, and neither is replaced.
    fn is_active(&self, replica: ReplicaId) -> bool {
        let status = self.replica.status();
        let follower = status.followers.get(&replica);
        follower.is_some_and(|follower| follower.recently_active)
    }

    /// Attempts the next step of a node's replacement for an operator, and replies
    /// with the result.
    pub fn report_replacement(
        &mut self,
        turn: &mut Turn<'_, D>,
        ticket: Ticket,
        lost: NodeId,
        joining: &[ReplicaId],
    ) {
        let result = if !self.leads() {
            let leader = self.leader();
            Err(crate::Refusal::NotLeader { leader })
        } else if let Some(&replacement) = joining.iter().find(|&&one| node_of(one) == lost) {
            match self.next_change(replacement) {
                Some(change) => match self.replica.change_membership(change) {
                    Ok(_) => Ok(Vec::new()),
                    Err(error) => Err(refusal_of(&error)),
                },
                None => Ok(Vec::new()),
            }
        } else {
            let message = "no new incarnation of that node was heard of";
            Err(not_run(message, RETRY_MS))
        };
        turn.reply(ticket, result);
    }

    /// Transfers leadership if this disk is full: a leader without disk space rejects
    /// all proposals, while another voter may have space.
    pub fn transfer_leadership_when_full(&mut self, turn: &Turn<'_, D>) {
        if !self.leads() || !turn.log.is_reserve_spent() || turn.now < self.next_full_disk_transfer
        {
            return;
        }
        self.next_full_disk_transfer = turn.now + FULL_DISK_TRANSFER_INTERVAL;
        let status = self.replica.status();
        let voters = &status.membership.voters;
        let present = status
            .followers
            .iter()
            .filter(|(id, follower)| voters.contains(id) && follower.recently_active);
        let target = present.max_by_key(|(_, follower)| follower.match_index);
        if let Some((&target, _)) = target {
            // Rejected while an earlier transfer is in progress; retried later.
            let _ = self.replica.transfer_leadership(target);
        }
    }

    /// Transfers leadership to the node `to`.
    pub fn transfer_leadership(&mut self, turn: &mut Turn<'_, D>, ticket: Ticket, to: NodeId) {
        let voter = voter_of(self.replica.membership(), to);
        let target = voter.unwrap_or(replica_id(to, 0));
        let result = match self.replica.transfer_leadership(target) {
            Ok(()) => Ok(Vec::new()),
            Err(error) => Err(refusal_of(&error)),
        };
        turn.reply(ticket, result);
    }
}

/// Returns the voter of `node`.
fn voter_of(membership: &Membership, node: NodeId) -> Option<ReplicaId> {
    let mut voters = membership.voters.iter().copied();
    voters.find(|&voter| node_of(voter) == node)
}
