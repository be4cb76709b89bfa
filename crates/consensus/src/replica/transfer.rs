//! Leadership transfer to a chosen voter.

use super::leadership::Transfer;
use super::{Replica, RoleState};
use crate::{Message, ProposeError, ReplicaId, TimeoutNow};

impl Replica {
    /// Transfers leadership to `to` as soon as it has the whole log. Proposals are
    /// rejected meanwhile, for at most `election_ticks` ticks.
    ///
    /// # Errors
    /// [`ProposeError`] if this replica is not the leader, another transfer is in
    /// progress, or `to` is not another voter.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), ProposeError> {
        let target_votes = self.log.membership().voters.contains(&to);
        let own_id = self.config.id;
        let leadership = self.proposing_leader()?;
        if !target_votes || to == own_id {
            return Err(ProposeError::NotAVoter { replica: to });
        }
        leadership.transfer = Some(Transfer { to, ticks: 0 });
        self.continue_transfer(to);
        Ok(())
    }

    /// Asks the target to start an election once it has the whole log.
    pub(super) fn continue_transfer(&mut self, follower: ReplicaId) {
        let RoleState::Leader(leadership) = &self.role else {
            return;
        };
        let is_target = leadership
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.to == follower);
        let has_whole_log = leadership
            .followers
            .get(&follower)
            .is_some_and(|progress| progress.match_index() == self.log.last_index());
        if is_target && has_whole_log {
            self.send_timeout_now(follower);
        }
    }

    pub(super) fn send_timeout_now(&mut self, to: ReplicaId) {
        let request = TimeoutNow { term: self.term };
        self.send(to, Message::TimeoutNow(request));
    }

    /// Aborts a transfer after `election_ticks` ticks.
    pub(super) fn tick_transfer(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        transfer.ticks += 1;
        if transfer.ticks >= self.config.election_ticks {
            leadership.transfer = None;
        }
    }

    pub(super) fn handle_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.is_voter() {
            self.start_election(true);
        }
    }
}
