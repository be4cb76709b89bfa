//! Linearizable reads: a round of heartbeats confirms that no later leader had
//! committed anything when the read started.

use molespan_types::mechanism::{Mechanism, enabled};

use super::leadership::ReadRound;
use super::{Replica, RoleState};
use crate::{ReadError, ReadReady};

impl Replica {
    /// Requests a log position at which a read is linearizable. The result is
    /// returned in `Ready::reads`, or in `Ready::failed_reads` if leadership is lost
    /// first. Reads requested before the same `Ready` share a round.
    ///
    /// # Errors
    /// [`ReadError`] if this replica is not the leader or too many reads wait.
    pub fn read_index(&mut self, context: u64) -> Result<(), ReadError> {
        let leader = self.leader;
        let RoleState::Leader(leadership) = &mut self.role else {
            return Err(ReadError::NotLeader { leader });
        };
        if !enabled(Mechanism::ReadIndex) {
            let index = self.log.commit();
            self.output.reads.push(ReadReady { context, index });
            return Ok(());
        }
        if leadership.reads.len() >= self.config.max_pending_reads {
            return Err(ReadError::Busy);
        }
        leadership.reads.waiting.push(context);
        Ok(())
    }

    /// Starts a round for the waiting reads. Waits until the leader has committed an
    /// entry of its term, because before that it may not know the latest commit
    /// index.
    pub(super) fn start_read_round(&mut self) {
        let commit = self.log.commit();
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let reads = &mut leadership.reads;
        if reads.waiting.is_empty() || commit < leadership.term_start {
            return;
        }
        reads.latest_round += 1;
        reads.rounds.push_back(ReadRound {
            number: reads.latest_round,
            index: commit,
            contexts: std::mem::take(&mut reads.waiting),
        });
        self.send_heartbeats();
        self.confirm_reads();
    }

    /// Completes the rounds that a quorum has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let membership = self.log.membership();
        let own_id = self.config.id;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(round) = leadership.reads.rounds.front() {
            let followers = &leadership.followers;
            let confirmed = membership.is_quorum(|id| {
                let progress = followers.get(&id);
                id == own_id || progress.is_some_and(|one| one.confirmed_round() >= round.number)
            });
            if !confirmed {
                return;
            }
            let index = round.index;
            let answers = round.contexts.iter();
            self.output
                .reads
                .extend(answers.map(|&context| ReadReady { context, index }));
            leadership.reads.rounds.pop_front();
        }
    }
}
