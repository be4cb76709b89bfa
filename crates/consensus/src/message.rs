//! Messages between the replicas of a group.

use minicbor::{Decode, Encode};

use crate::{ConsensusError, Entry, Index, SnapshotMeta, Term};

/// A request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct VoteRequest {
    /// The candidate's term; for a pre-vote, the term it would stand in.
    #[n(0)]
    pub term: Term,
    /// The candidate's last entry.
    #[n(1)]
    pub last_index: Index,
    /// Term of that entry.
    #[n(2)]
    pub last_term: Term,
    /// Whether the leader asked for the election, so that voters need not wait
    /// for it to fall silent.
    #[n(3)]
    pub transfer: bool,
}

/// The answer to a vote or pre-vote request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct VoteResponse {
    /// The term of the request if granted, else the voter's term.
    #[n(0)]
    pub term: Term,
    /// Whether the vote is given.
    #[n(1)]
    pub granted: bool,
}

/// Entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppendRequest {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// The entry before the first one sent.
    #[n(1)]
    pub previous_index: Index,
    /// Term of that entry.
    #[n(2)]
    pub previous_term: Term,
    /// The entries; none for a mere probe.
    #[n(3)]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[n(4)]
    pub commit: Index,
}

/// What became of an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AppendOutcome {
    /// The follower's log agrees with the leader's up to here, durably.
    #[n(0)]
    Accepted {
        /// The last entry that agrees.
        #[n(0)]
        match_index: Index,
    },
    /// The entry before those sent is missing or differs.
    #[n(1)]
    Rejected {
        /// `previous_index` of the request.
        #[n(0)]
        previous_index: Index,
        /// The last entry of the follower that may agree.
        #[n(1)]
        hint_index: Index,
        /// Term of that entry.
        #[n(2)]
        hint_term: Term,
    },
}

/// The answer to an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppendResponse {
    /// The follower's term.
    #[n(0)]
    pub term: Term,
    /// What became of the request.
    #[n(1)]
    pub outcome: AppendOutcome,
}

/// A sign of life of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Heartbeat {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// The commit index, as far as the follower has acknowledged the log.
    #[n(1)]
    pub commit: Index,
    /// The latest round of read confirmation.
    #[n(2)]
    pub round: u64,
}

/// The answer to a heartbeat, and to any request of a deposed leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HeartbeatResponse {
    /// The follower's term.
    #[n(0)]
    pub term: Term,
    /// The round of the heartbeat.
    #[n(1)]
    pub round: u64,
}

/// Tells a follower that it has to fetch a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotNotice {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
    /// The snapshot.
    #[n(1)]
    pub meta: SnapshotMeta,
}

/// Asks a follower to stand for election at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct TimeoutNow {
    /// The leader's term.
    #[n(0)]
    pub term: Term,
}

/// A message from one replica of a group to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Would you vote for me?
    #[n(0)]
    PreVoteRequest(#[n(0)] VoteRequest),
    /// Answer to a pre-vote request.
    #[n(1)]
    PreVoteResponse(#[n(0)] VoteResponse),
    /// Vote for me.
    #[n(2)]
    VoteRequest(#[n(0)] VoteRequest),
    /// Answer to a vote request.
    #[n(3)]
    VoteResponse(#[n(0)] VoteResponse),
    /// Entries from the leader.
    #[n(4)]
    AppendRequest(#[n(0)] AppendRequest),
    /// Answer to an append request, or news of an installed snapshot.
    #[n(5)]
    AppendResponse(#[n(0)] AppendResponse),
    /// Sign of life of the leader.
    #[n(6)]
    Heartbeat(#[n(0)] Heartbeat),
    /// Answer to a heartbeat.
    #[n(7)]
    HeartbeatResponse(#[n(0)] HeartbeatResponse),
    /// Fetch a snapshot.
    #[n(8)]
    SnapshotNotice(#[n(0)] SnapshotNotice),
    /// Stand for election at once.
    #[n(9)]
    TimeoutNow(#[n(0)] TimeoutNow),
}

impl Message {
    /// The term that the message bears.
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

    /// Whether only the leader of the term sends such a message.
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

    /// The message as bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let Ok(()) = minicbor::encode(self, &mut bytes) else {
            unreachable!("writing to a vector cannot fail")
        };
        bytes
    }

    /// Reads a message back.
    ///
    /// # Errors
    /// [`ConsensusError::Decode`] if the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ConsensusError> {
        minicbor::decode(bytes).map_err(|error| ConsensusError::Decode {
            reason: error.to_string(),
        })
    }
}
