//! Taking in a message: whom to listen to, and which term counts.

use super::{Replica, RoleState};
use crate::{HeartbeatResponse, Message, ReplicaId, VoteResponse};

impl Replica {
    /// Takes in a message of another replica of the group.
    ///
    /// Messages may be lost, doubled, late or out of order. Those of replicas
    /// that are not members never disturb a group that has a leader.
    pub fn step(&mut self, from: ReplicaId, message: Message) {
        if self.fault.is_some() || from == self.config.id || self.ignores(from, &message) {
            return;
        }
        if message.term() < self.term {
            self.answer_outdated(from, &message);
            return;
        }
        if message.term() > self.term && !is_prospective(&message) {
            let leader = Some(from).filter(|_| message.is_from_leader());
            self.become_follower(message.term(), leader);
        }
        self.handle(from, message);
    }

    /// Whether the message must not have any effect.
    fn ignores(&self, from: ReplicaId, message: &Message) -> bool {
        let member = self.log.membership().contains(from);
        // The sender may belong to a membership that has not arrived here yet,
        // so it is heard once the known leader has fallen silent.
        if !member && self.has_live_leader() && self.leader != Some(from) {
            return true;
        }
        match message {
            Message::PreVoteRequest(_) => self.has_live_leader(),
            Message::VoteRequest(request) => !request.transfer && self.has_live_leader(),
            _ => false,
        }
    }

    /// Whether a leader was heard within the shortest election timeout. A
    /// leader itself steps down when it has lost its quorum for as long.
    fn has_live_leader(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && self.timer.within_minimum(),
        }
    }

    /// Tells the sender of an outdated request about the current term.
    fn answer_outdated(&mut self, from: ReplicaId, message: &Message) {
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
                if self.follow(from) {
                    self.handle_append_request(from, request);
                }
            }
            Message::AppendResponse(response) => {
                self.handle_append_response(from, response.outcome);
            }
            Message::Heartbeat(heartbeat) => {
                if self.follow(from) {
                    self.handle_heartbeat(from, &heartbeat);
                }
            }
            Message::HeartbeatResponse(response) => {
                self.handle_heartbeat_response(from, &response);
            }
            Message::SnapshotNotice(notice) => {
                if self.follow(from) {
                    self.handle_snapshot_notice(from, notice.meta);
                }
            }
            Message::TimeoutNow(_) => self.handle_timeout_now(from),
        }
    }

    /// Takes the sender for the leader of the term, which it is unless this
    /// replica leads the term itself.
    fn follow(&mut self, from: ReplicaId) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return false;
        }
        self.role = RoleState::Follower;
        self.leader = Some(from);
        self.timer.leader_heard();
        true
    }
}

/// Whether the term of the message is one that nobody is in yet.
fn is_prospective(message: &Message) -> bool {
    match message {
        Message::PreVoteRequest(_) => true,
        Message::PreVoteResponse(response) => response.granted,
        _ => false,
    }
}
