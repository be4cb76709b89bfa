//! Replication: appends and heartbeats on leader and follower, and the commit
//! index.

use super::log::Appended;
use super::{Replica, RoleState};
use crate::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, EntryKind, Fault, Heartbeat,
    HeartbeatResponse, Index, Message, ReplicaId, SnapshotNotice,
};

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.ticks_since_heartbeat += 1;
        leadership.ticks_since_quorum_check += 1;
        let heartbeat_due = leadership.ticks_since_heartbeat >= self.config.heartbeat_ticks;
        let check_due = leadership.ticks_since_quorum_check >= self.config.election_ticks;
        self.tick_transfer();
        if check_due && !self.check_quorum() {
            self.become_follower(self.term, None);
            return;
        }
        if heartbeat_due {
            self.send_heartbeats();
        }
    }

    /// Whether a quorum has responded since the last check.
    fn check_quorum(&mut self) -> bool {
        let RoleState::Leader(leadership) = &mut self.role else {
            return false;
        };
        leadership.ticks_since_quorum_check = 0;
        let mut active = vec![self.config.id];
        for (id, progress) in &mut leadership.followers {
            if progress.take_activity() {
                active.push(*id);
            }
        }
        self.log.membership().is_quorum(|id| active.contains(&id))
    }

    pub(super) fn send_heartbeats(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.ticks_since_heartbeat = 0;
        let heartbeats: Vec<(ReplicaId, Heartbeat)> = leadership
            .followers
            .iter()
            .map(|(id, progress)| {
                let heartbeat = Heartbeat {
                    term: self.term,
                    // Never beyond the last entry the follower is known to store.
                    commit: self.log.commit().min(progress.match_index()),
                    round: leadership.reads.latest_round,
                };
                (*id, heartbeat)
            })
            .collect();
        for (to, heartbeat) in heartbeats {
            self.send(to, Message::Heartbeat(heartbeat));
        }
    }

    /// Appends an entry to the leader's log.
    pub(super) fn append(&mut self, kind: EntryKind) -> Index {
        let new_membership = matches!(kind, EntryKind::Membership(_));
        let index = self.log.append_new(self.term, kind);
        let bytes = self.log.bytes_between(index, index);
        if let RoleState::Leader(leadership) = &mut self.role {
            leadership.uncommitted_bytes += bytes;
        }
        if new_membership {
            self.track_members(index);
        }
        index
    }

    /// Sends missing entries to every follower, within its in-flight limit.
    pub(super) fn send_appends(&mut self) {
        let RoleState::Leader(leadership) = &self.role else {
            return;
        };
        let followers: Vec<ReplicaId> = leadership.followers.keys().copied().collect();
        for follower in followers {
            while self.send_append(follower) {}
        }
    }

    /// Sends one request if the follower needs one and has a free in-flight slot.
    /// Returns whether a request was sent.
    fn send_append(&mut self, to: ReplicaId) -> bool {
        let RoleState::Leader(leadership) = &mut self.role else {
            return false;
        };
        let Some(progress) = leadership.followers.get_mut(&to) else {
            return false;
        };
        let last_index = self.log.last_index();
        if !progress.should_send_append(last_index, self.config.max_in_flight_appends) {
            return false;
        }
        let next_index = progress.next_index();
        let previous_index = next_index.previous();
        let message = if let Some(previous_term) = self.log.term(previous_index) {
            let max_bytes = self.config.max_append_bytes;
            let entries = self.log.slice(next_index, last_index, max_bytes);
            progress.record_sent(entries.last().map(|entry| entry.index));
            Message::AppendRequest(AppendRequest {
                term: self.term,
                previous_index,
                previous_term,
                entries,
                commit: self.log.commit(),
            })
        } else {
            progress.record_snapshot_offer();
            Message::SnapshotNotice(SnapshotNotice {
                term: self.term,
                meta: self.log.snapshot().clone(),
            })
        };
        self.send(to, message);
        true
    }

    pub(super) fn handle_append_request(&mut self, from: ReplicaId, request: AppendRequest) {
        if !is_contiguous(request.previous_index, &request.entries) {
            return;
        }
        let AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit,
            ..
        } = request;
        let appended = self
            .log
            .append_from_leader(previous_index, previous_term, entries);
        let outcome = match appended {
            Ok(Appended::MatchedUpTo(match_index)) => {
                self.log.commit_to(commit.min(match_index));
                AppendOutcome::Accepted { match_index }
            }
            Ok(Appended::Mismatch) => {
                let (hint_index, hint_term) = self
                    .log
                    .last_with_term_at_most(previous_index, previous_term);
                AppendOutcome::Rejected {
                    previous_index,
                    hint_index,
                    hint_term,
                }
            }
            Err(fault) => {
                self.fail(fault);
                return;
            }
        };
        self.send_append_response(from, outcome);
    }

    pub(super) fn send_append_response(&mut self, to: ReplicaId, outcome: AppendOutcome) {
        let response = AppendResponse {
            term: self.term,
            outcome,
        };
        self.send_after_sync(to, Message::AppendResponse(response));
    }

    pub(super) fn handle_append_response(&mut self, from: ReplicaId, outcome: AppendOutcome) {
        let last_index = self.log.last_index();
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get_mut(&from) else {
            return;
        };
        progress.record_activity();
        match outcome {
            AppendOutcome::Accepted { match_index } if match_index <= last_index => {
                let reachable = self.log.term(match_index).is_some();
                progress.record_accepted(match_index, reachable);
                self.advance_commit();
                self.continue_transfer(from);
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected {
                previous_index,
                hint_index,
                hint_term,
            } => {
                let (agreement, _) = self.log.last_with_term_at_most(hint_index, hint_term);
                progress.record_rejected(previous_index, agreement);
            }
        }
    }

    pub(super) fn handle_heartbeat(&mut self, from: ReplicaId, heartbeat: &Heartbeat) {
        let last = self.log.last_index();
        if heartbeat.commit > last {
            self.fail(Fault::AcknowledgedEntriesLost {
                acknowledged: heartbeat.commit,
                last,
            });
            return;
        }
        self.log.commit_to(heartbeat.commit);
        // Needs no sync: the response depends on no entry, and a replica that loses
        // the term in a crash has not yet voted in a later one.
        let response = HeartbeatResponse {
            term: self.term,
            round: heartbeat.round,
        };
        self.send(from, Message::HeartbeatResponse(response));
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        from: ReplicaId,
        response: &HeartbeatResponse,
    ) {
        let last_index = self.log.last_index();
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get_mut(&from) else {
            return;
        };
        progress.record_activity();
        progress.confirm_round(response.round);
        progress.record_heartbeat_response(
            last_index,
            self.config.max_in_flight_appends,
            self.config.snapshot_retry_heartbeats,
        );
        self.confirm_reads();
    }

    /// Commits the entries that a quorum has stored, if the last of them is of the
    /// leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let followers = &leadership.followers;
        let own_id = self.config.id;
        let own_persisted = self.log.persisted();
        let stored = self.log.membership().stored_by_quorum(|id| {
            if id == own_id {
                return own_persisted;
            }
            followers
                .get(&id)
                .map_or(Index::ZERO, |progress| progress.match_index())
        });
        let commit = self.log.commit();
        if stored <= commit || self.log.term(stored) != Some(self.term) {
            return;
        }
        let bytes = self.log.bytes_between(commit.next(), stored);
        leadership.uncommitted_bytes = leadership.uncommitted_bytes.saturating_sub(bytes);
        self.log.commit_to(stored);
        self.finish_membership_change();
    }

    /// Reports that messages to `peer` cannot be delivered.
    pub fn report_unreachable(&mut self, peer: ReplicaId) {
        if let RoleState::Leader(leadership) = &mut self.role
            && let Some(progress) = leadership.followers.get_mut(&peer)
        {
            progress.record_unreachable();
        }
    }
}

/// Whether the entries are contiguous and start right after `previous_index`.
fn is_contiguous(previous_index: Index, entries: &[Entry]) -> bool {
    let mut expected = previous_index;
    entries.iter().all(|entry| {
        expected = expected.next();
        entry.index == expected
    })
}
