//! Elections: pre-vote, vote, becoming a leader and stepping down.

use std::collections::BTreeSet;

use super::leadership::Leadership;
use super::{Replica, RoleState};
use crate::{EntryKind, Index, Message, ReplicaId, Term, VoteRequest, VoteResponse};

impl Replica {
    /// Starts an election now, as if the election timeout had elapsed. Has no
    /// effect on a leader, on a replica that is not a voter, or on one that has
    /// stopped because of a fault.
    pub fn campaign(&mut self) {
        self.timer.restart();
        let leads = matches!(self.role, RoleState::Leader(_));
        if leads || !self.is_voter() || self.fault.is_some() {
            return;
        }
        if self.config.pre_vote {
            self.start_pre_vote();
        } else {
            self.start_election(false);
        }
    }

    /// Checks whether an election could succeed, without increasing the term.
    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.role = RoleState::PreCandidate {
            granted: BTreeSet::new(),
        };
        let request = self.vote_request(self.term.next(), false);
        for voter in self.other_voters() {
            self.send(voter, Message::PreVoteRequest(request.clone()));
        }
        self.count_pre_vote(self.config.id);
    }

    /// Starts a new term and requests votes.
    pub(super) fn start_election(&mut self, transfer: bool) {
        self.timer.restart();
        self.term = self.term.next();
        self.vote = Some(self.config.id);
        self.leader = None;
        // The candidate's own vote counts only once it is synced; see `persisted`.
        self.role = RoleState::Candidate {
            granted: BTreeSet::new(),
        };
        let request = self.vote_request(self.term, transfer);
        for voter in self.other_voters() {
            self.send_after_sync(voter, Message::VoteRequest(request.clone()));
        }
    }

    fn vote_request(&self, term: Term, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn other_voters(&self) -> BTreeSet<ReplicaId> {
        let mut voters = self.log.membership().all_voters();
        voters.remove(&self.config.id);
        voters
    }

    pub(super) fn handle_pre_vote_request(&mut self, from: ReplicaId, request: &VoteRequest) {
        let granted = request.term > self.term
            && self
                .log
                .is_up_to_date(request.last_index, request.last_term);
        let response = VoteResponse {
            term: if granted { request.term } else { self.term },
            granted,
        };
        // The response is no commitment, but it reveals a term, which must be synced first.
        self.send_after_sync(from, Message::PreVoteResponse(response));
    }

    pub(super) fn handle_pre_vote_response(&mut self, from: ReplicaId, response: &VoteResponse) {
        if response.granted && response.term == self.term.next() {
            self.count_pre_vote(from);
        }
    }

    fn count_pre_vote(&mut self, from: ReplicaId) {
        let membership = self.log.membership();
        let RoleState::PreCandidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        if membership.is_quorum(|id| granted.contains(&id)) {
            self.start_election(false);
        }
    }

    pub(super) fn handle_vote_request(&mut self, from: ReplicaId, request: &VoteRequest) {
        let may_vote = match self.vote {
            Some(candidate) => candidate == from,
            None => self.leader.is_none(),
        };
        let granted = may_vote
            && self
                .log
                .is_up_to_date(request.last_index, request.last_term);
        if granted {
            self.vote = Some(from);
            self.timer.restart();
        }
        let response = VoteResponse {
            term: self.term,
            granted,
        };
        self.send_after_sync(from, Message::VoteResponse(response));
    }

    pub(super) fn handle_vote_response(&mut self, from: ReplicaId, response: &VoteResponse) {
        if response.granted {
            self.count_vote(from);
        }
    }

    pub(super) fn count_vote(&mut self, from: ReplicaId) {
        let membership = self.log.membership();
        let RoleState::Candidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        // The candidate's own vote is required even if the others form a quorum,
        // because a leader's messages require that its term is synced.
        let own_synced = granted.contains(&self.config.id);
        if own_synced && membership.is_quorum(|id| granted.contains(&id)) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let first_uncommitted = self.log.commit().next();
        let last_index = self.log.last_index();
        let uncommitted_bytes = self.log.bytes_between(first_uncommitted, last_index);
        let term_start = last_index.next();
        self.leader = Some(self.config.id);
        self.role = RoleState::Leader(Box::new(Leadership::new(term_start, uncommitted_bytes)));
        self.track_members(term_start);
        // Entries of earlier terms can only be committed together with one of this term.
        self.append(EntryKind::Empty);
        self.send_heartbeats();
    }

    /// Updates the tracked followers to the membership in force.
    pub(super) fn track_members(&mut self, next_index: Index) {
        let membership = self.log.membership();
        if let RoleState::Leader(leadership) = &mut self.role {
            leadership.track_members(self.config.id, membership, next_index);
        }
    }

    /// Becomes a follower of `leader` in `term`; `None` if the leader is unknown.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leadership) = previous {
            self.output
                .failed_reads
                .extend(leadership.reads.into_contexts());
        }
        self.leader = leader;
        self.timer.restart();
    }
}
