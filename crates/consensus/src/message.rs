//! Messages between the replicas of a group.

use minicbor::{Decode, Encode};

use crate::{ConsensusError, Entry, Index, SnapshotMeta, Term};

/// A request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct VoteRequest {
    /// The candidate's term; for a pre-vote, the term of the election it would
    /// start.
    #[n(0)]
    pub term: Term,
    /// Index of the candidate's last entry.
    #[n(1)]
    pub last_index: Index,
    /// Term of that entry.
    #[n(2)]
    pub last_term: Term,
    /// Whether the leader requested the election, so that voters grant it without
    /// waiting for the leader to time out.
    #[n(3)]
    pub transfer: bool,
}

/// The response to a vote or pre-vote request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct VoteResponse {
    /// The term of the request if granted, otherwise the voter's term.
    #[n(0)]
    pub term: Term,
    /// Whether the vote is granted.
    #[n(1)]
    pub granted: bool,
}

/// Entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppendRequest {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// Index of the entry that precedes `entries`.
    #[n(1)]
    pub previous_index: Index,
    /// Term of that entry.
    #[n(2)]
    pub previous_term: Term,
    /// The entries; empty for a probe.
    #[n(3)]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[n(4)]
    pub commit: Index,
}

/// The result of an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AppendOutcome {
    /// The follower has durably stored the leader's log up to `match_index`.
    #[n(0)]
    Accepted {
        /// Index of the last matching entry.
        #[n(0)]
        match_index: Index,
    },
    /// The entry that precedes the sent entries is missing or differs.
    #[n(1)]
    Rejected {
        /// `previous_index` of the request.
        #[n(0)]
        previous_index: Index,
        /// Index of the follower's last entry that may match.
        #[n(1)]
        hint_index: Index,
        /// Term of that entry.
        #[n(2)]
        hint_term: Term,
    },
}

/// The response to an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppendResponse {
    /// The follower's term.
    #[n(0)]
    pub term: Term,
    /// The result of the request.
    #[n(1)]
    pub outcome: AppendOutcome,
}

/// A heartbeat of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Heartbeat {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// The commit index, capped at the last entry that the follower acknowledged.
    #[n(1)]
    pub commit: Index,
    /// The latest read-confirmation round.
    #[n(2)]
    pub round: u64,
}

/// The response to a heartbeat, and to any request of a deposed leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HeartbeatResponse {
    /// The follower's term.
    #[n(0)]
    pub term: Term,
    /// The read-confirmation round of the heartbeat; 0 for a deposed leader.
    #[n(1)]
    pub round: u64,
}

/// Notifies a follower that it has to fetch a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotNotice {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// The snapshot.
    #[n(1)]
    pub meta: SnapshotMeta,
}

/// Asks a follower to start an election immediately.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct TimeoutNow {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
}

/// A message from one replica of a group to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Asks whether the receiver would grant a vote.
    #[n(0)]
    PreVoteRequest(#[n(0)] VoteRequest),
    /// Response to a pre-vote request.
    #[n(1)]
    PreVoteResponse(#[n(0)] VoteResponse),
    /// Requests a vote.
    #[n(2)]
    VoteRequest(#[n(0)] VoteRequest),
    /// Response to a vote request.
    #[n(3)]
    VoteResponse(#[n(0)] VoteResponse),
    /// Entries from the leader.
    #[n(4)]
    AppendRequest(#[n(0)] AppendRequest),
    /// Response to an append request, or a report that a snapshot was installed.
    #[n(5)]
    AppendResponse(#[n(0)] AppendResponse),
    /// Heartbeat of the leader.
    #[n(6)]
    Heartbeat(#[n(0)] Heartbeat),
    /// Response to a heartbeat.
    #[n(7)]
    HeartbeatResponse(#[n(0)] HeartbeatResponse),
    /// Notification that the receiver has to fetch a snapshot.
    #[n(8)]
    SnapshotNotice(#[n(0)] SnapshotNotice),
    /// Request to start an election immediately.
    #[n(9)]
    TimeoutNow(#[n(0)] TimeoutNow),
}

impl Message {
    /// Returns the term of the message.
    #[must_use]
    pub fn term(&self) -> Term {
        match self {
            Message::PreVoteRequest(request) | Message::VoteRequest(request) => request.term,
            Message::PreVoteResponse(response) | Message::VoteResponse(response) => response.term,
            Message::AppendRequest(request) => request.term,
            Message::AppendResponse(response) => response.term,
            Message::Heartbeat(heartbeat) => heartbeat.term,
            Message::HeartbeatResponse(response) => response.term,
            Message::SnapshotNotice(notice) => notice.term,
            Message::TimeoutNow(request) => request.term,
        }
    }

    /// Whether only the leader of a term sends this kind of message.
    #[must_use]
    pub fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Message::AppendRequest(_)
                | Message::Heartbeat(_)
                | Message::SnapshotNotice(_)
                | Message::TimeoutNow(_)
        )
    }

    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let Ok(()) = minicbor::encode(self, &mut bytes) else {
            unreachable!("writing to a vector cannot fail")
        };
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// [`ConsensusError::Decode`] if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ConsensusError> {
        minicbor::decode(bytes).map_err(|error| ConsensusError::Decode {
            reason: error.to_string(),
        })
    }
}
