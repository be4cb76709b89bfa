//! Handling of received messages: which senders and terms are accepted.

use super::{Replica, RoleState};
use crate::{HeartbeatResponse, Message, ReplicaId, VoteResponse};

impl Replica {
    /// Handles a message from another replica of the group.
    ///
    /// Messages may be lost, duplicated, delayed or reordered. Messages from
    /// replicas that are not members never disrupt a group that has a leader.
    pub fn step(&mut self, from: ReplicaId, message: Message) {
        if self.fault.is_some() || from == self.config.id || self.should_ignore(from, &message) {
            return;
        }
        if message.term() < self.term {
            self.reject_outdated(from, &message);
            return;
        }
        if message.term() > self.term && !has_prospective_term(&message) {
            let leader = Some(from).filter(|_| message.is_from_leader());
            self.become_follower(message.term(), leader);
        }
        self.handle(from, message);
    }

    /// Whether the message must be ignored.
    fn should_ignore(&self, from: ReplicaId, message: &Message) -> bool {
        let member = self.log.membership().contains(from);
        // The sender may belong to a membership that this replica has not received
        // yet, so its messages are accepted once the known leader has timed out.
        if !member && self.has_live_leader() && self.leader != Some(from) {
            return true;
        }
        match message {
            Message::PreVoteRequest(_) => self.has_live_leader(),
            Message::VoteRequest(request) => !request.transfer && self.has_live_leader(),
            _ => false,
        }
    }

    /// Whether a leader has sent a message within the minimum election timeout. A
    /// leader that loses contact with a quorum for as long steps down on its own.
    fn has_live_leader(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && self.timer.within_minimum_timeout(),
        }
    }

    /// Rejects a request from an earlier term and reports the current term to its
    /// sender.
    fn reject_outdated(&mut self, from: ReplicaId, message: &Message) {
        let refusal = VoteResponse {
            term: self.term,
            granted: false,
        };
        match message {
            Message::PreVoteRequest(_) => {
                self.send_after_sync(from, Message::PreVoteResponse(refusal));
            }
            Message::VoteRequest(_) => {
                self.send_after_sync(from, Message::VoteResponse(refusal));
            }
            message if message.is_from_leader() => {
                let response = HeartbeatResponse {
                    term: self.term,
                    round: 0,
                };
                self.send_after_sync(from, Message::HeartbeatResponse(response));
            }
            _ => {}
        }
    }

    fn handle(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::PreVoteRequest(request) => self.handle_pre_vote_request(from, &request),
            Message::PreVoteResponse(response) => self.handle_pre_vote_response(from, &response),
            Message::VoteRequest(request) => self.handle_vote_request(from, &request),
            Message::VoteResponse(response) => self.handle_vote_response(from, &response),
            Message::AppendRequest(request) => {
                if self.accept_leader(from) {
                    self.handle_append_request(from, request);
                }
            }
            Message::AppendResponse(response) => {
                self.handle_append_response(from, response.outcome);
            }
            Message::Heartbeat(heartbeat) => {
                if self.accept_leader(from) {
                    self.handle_heartbeat(from, &heartbeat);
                }
            }
            Message::HeartbeatResponse(response) => {
                self.handle_heartbeat_response(from, &response);
            }
            Message::SnapshotNotice(notice) => {
                if self.accept_leader(from) {
                    self.handle_snapshot_notice(from, notice.meta);
                }
            }
            Message::TimeoutNow(_) => self.handle_timeout_now(from),
        }
    }

    /// Accepts the sender as the leader of the current term. Returns false if this
    /// replica leads the term itself.
    fn accept_leader(&mut self, from: ReplicaId) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return false;
        }
        self.role = RoleState::Follower;
        self.leader = Some(from);
        self.timer.record_leader_contact();
        true
    }
}

/// Whether the message carries the term of a possible future election, which the
/// receiver must not adopt.
fn has_prospective_term(message: &Message) -> bool {
    match message {
        Message::PreVoteRequest(_) => true,
        Message::PreVoteResponse(response) => response.granted,
        _ => false,
    }
}
