//! Encoding round trips of messages, and rejection of malformed bytes.

use std::collections::BTreeSet;

use molespan_consensus::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, EntryKind, Heartbeat, HeartbeatResponse,
    Index, Membership, Message, ReplicaId, SnapshotMeta, SnapshotNotice, Term, TimeoutNow,
    VoteRequest, VoteResponse,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn deterministic_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn replicas() -> impl Strategy<Value = BTreeSet<ReplicaId>> {
    proptest::collection::btree_set(any::<u64>().prop_map(ReplicaId), 0..4)
}

fn membership() -> impl Strategy<Value = Membership> {
    (replicas(), replicas(), replicas()).prop_map(|(voters, outgoing, learners)| Membership {
        voters,
        outgoing,
        learners,
    })
}

fn entry() -> impl Strategy<Value = Entry> {
    let kind = prop_oneof![
        Just(EntryKind::Empty),
        proptest::collection::vec(any::<u8>(), 0..40).prop_map(EntryKind::Command),
        membership().prop_map(EntryKind::Membership),
    ];
    (any::<u64>(), any::<u64>(), kind).prop_map(|(term, index, kind)| Entry {
        term: Term(term),
        index: Index(index),
        kind,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<bool>());
    let parts = (
        numbers,
        membership(),
        proptest::collection::vec(entry(), 0..4),
    );
    (0..10_u8, parts).prop_map(|(kind, ((one, two, three, flag), membership, entries))| {
        let term = Term(one);
        let vote_request = VoteRequest {
            term,
            last_index: Index(two),
            last_term: Term(three),
            transfer: flag,
        };
        let vote_response = VoteResponse {
            term,
            granted: flag,
        };
        let outcome = if flag {
            AppendOutcome::Accepted {
                match_index: Index(two),
            }
        } else {
            AppendOutcome::Rejected {
                previous_index: Index(two),
                hint_index: Index(three),
                hint_term: term,
            }
        };
        match kind {
            0 => Message::PreVoteRequest(vote_request),
            1 => Message::PreVoteResponse(vote_response),
            2 => Message::VoteRequest(vote_request),
            3 => Message::VoteResponse(vote_response),
            4 => Message::AppendRequest(AppendRequest {
                term,
                previous_index: Index(two),
                previous_term: Term(three),
                entries,
                commit: Index(two),
            }),
            5 => Message::AppendResponse(AppendResponse { term, outcome }),
            6 => Message::Heartbeat(Heartbeat {
                term,
                commit: Index(two),
                round: three,
            }),
            7 => Message::HeartbeatResponse(HeartbeatResponse { term, round: three }),
            8 => Message::SnapshotNotice(SnapshotNotice {
                term,
                meta: SnapshotMeta {
                    index: Index(two),
                    term: Term(three),
                    membership,
                },
            }),
            _ => Message::TimeoutNow(TimeoutNow { term }),
        }
    })
}

proptest! {
    #![proptest_config(deterministic_config(256))]

    #[test]
    fn message_survives_encoding(message in message()) {
        let bytes = message.encode();
        prop_assert_eq!(Message::decode(&bytes).unwrap(), message);
    }

    #[test]
    fn decoding_of_any_bytes_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = Message::decode(&bytes);
    }

    #[test]
    fn truncated_message_is_refused(message in message(), cut in 0..100_usize) {
        let bytes = message.encode();
        let kept = bytes.len() * cut / 100;
        prop_assert!(Message::decode(&bytes[..kept]).is_err());
    }
}
