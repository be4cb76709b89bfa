//! Membership changes: validation, the joint membership and its completion.

use super::{Replica, RoleState};
use crate::{EntryKind, Index, Membership, MembershipChange, ProposeError, ReplicaId};

impl Replica {
    /// Starts a membership change on the leader. A change of voters goes through a
    /// joint membership, which the leader completes on its own.
    ///
    /// Returns the index of the first membership entry. The change is complete when
    /// [`Status::membership_index`](crate::Status::membership_index) is committed
    /// and the membership is not joint.
    ///
    /// # Errors
    /// [`ProposeError`] if nothing was appended.
    pub fn change_membership(&mut self, change: MembershipChange) -> Result<Index, ProposeError> {
        let term_start = self.proposing_leader()?.term_start;
        if self.log.commit() < term_start {
            return Err(ProposeError::TermNotCommitted);
        }
        if self.membership_change_is_open() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next = self.next_membership(change)?;
        Ok(self.append(EntryKind::Membership(next)))
    }

    fn membership_change_is_open(&self) -> bool {
        self.log.membership().is_joint() || self.log.membership_index() > self.log.commit()
    }

    /// Returns the membership that results from the change; joint if the voters
    /// differ.
    fn next_membership(&self, change: MembershipChange) -> Result<Membership, ProposeError> {
        let current = self.log.membership();
        let mut next = current.clone();
        match change {
            MembershipChange::AddLearner(replica) => {
                if current.contains(replica) {
                    return Err(ProposeError::AlreadyMember { replica });
                }
                next.learners.insert(replica);
            }
            MembershipChange::RemoveLearner(replica) => {
                if !next.learners.remove(&replica) {
                    return Err(ProposeError::NotALearner { replica });
                }
            }
            MembershipChange::Replace { lost, replacement } => {
                self.check_replacement(replacement)?;
                if !next.voters.remove(&lost) {
                    return Err(ProposeError::NotAVoter { replica: lost });
                }
                next.learners.remove(&replacement);
                next.voters.insert(replacement);
            }
            MembershipChange::Set { voters, learners } => {
                next.voters = voters;
                next.learners = learners;
            }
        }
        if next.voters.is_empty() || !next.voters.is_disjoint(&next.learners) {
            return Err(ProposeError::InvalidMembership);
        }
        if next.voters != current.voters {
            next.outgoing.clone_from(&current.voters);
        }
        Ok(next)
    }

    /// Checks that a replacement has durably stored all committed entries, so that
    /// losing another voter right afterwards loses no data.
    fn check_replacement(&self, replica: ReplicaId) -> Result<(), ProposeError> {
        if !self.log.membership().learners.contains(&replica) {
            return Err(ProposeError::NotALearner { replica });
        }
        let RoleState::Leader(leadership) = &self.role else {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        };
        let caught_up = leadership.followers.get(&replica).is_some_and(|progress| {
            progress.is_replicating() && progress.match_index() >= self.log.commit()
        });
        if caught_up {
            Ok(())
        } else {
            Err(ProposeError::NotCaughtUp { replica })
        }
    }

    /// Continues a membership change once its entry is committed: leaves the joint
    /// membership, or steps down if this replica is no longer a voter.
    pub(super) fn finish_membership_change(&mut self) {
        if self.log.membership_index() > self.log.commit() {
            return;
        }
        let membership = self.log.membership();
        if membership.is_joint() {
            let final_membership = Membership {
                outgoing: std::collections::BTreeSet::new(),
                ..membership.clone()
            };
            self.append(EntryKind::Membership(final_membership));
        } else if !membership.voters.contains(&self.config.id) {
            self.leave_leadership();
        }
    }

    /// Steps down because this replica is no longer a voter, and asks the most
    /// up-to-date voter to take over.
    fn leave_leadership(&mut self) {
        self.send_heartbeats();
        let RoleState::Leader(leadership) = &self.role else {
            return;
        };
        let voters = &self.log.membership().voters;
        let successor = leadership
            .followers
            .iter()
            .filter(|(id, _)| voters.contains(id))
            .max_by_key(|(_, progress)| progress.match_index())
            .map(|(id, _)| *id);
        if let Some(successor) = successor {
            self.send_timeout_now(successor);
        }
        self.become_follower(self.term, None);
    }
}
