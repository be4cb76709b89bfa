//! A replica that detects an inconsistency stops.

use molespan_consensus::{
    AppendRequest, Config, Entry, EntryKind, Fault, Heartbeat, Index, Membership, Message,
    Persisted, ProposeError, Replica, ReplicaId, Term,
};

const LEADER: ReplicaId = ReplicaId(1);

/// Returns a follower whose log ends at the first entry.
fn follower() -> Replica {
    let voters = [1, 2, 3].map(ReplicaId);
    let persisted = Persisted::bootstrap(Membership::of_voters(voters));
    Replica::new(Config::new(ReplicaId(2)), persisted).unwrap()
}

fn fault(replica: &mut Replica) -> Option<Fault> {
    std::iter::from_fn(|| replica.ready()).find_map(|ready| ready.fault)
}

/// Returns a follower that received a heartbeat committing an entry beyond its
/// log, as after its disk was rolled back.
fn rolled_back() -> Replica {
    let mut replica = follower();
    let heartbeat = Heartbeat {
        term: Term(1),
        commit: Index(7),
        round: 0,
    };
    replica.step(LEADER, Message::Heartbeat(heartbeat));
    replica
}

#[test]
fn rolled_back_disk_is_detected() {
    let expected = Fault::AcknowledgedEntriesLost {
        acknowledged: Index(7),
        last: Index(1),
    };
    assert_eq!(fault(&mut rolled_back()), Some(expected));
}

#[test]
fn conflicting_committed_entry_is_detected() {
    let mut replica = follower();
    let request = AppendRequest {
        term: Term(2),
        previous_index: Index::ZERO,
        previous_term: Term(0),
        entries: vec![Entry {
            term: Term(2),
            index: Index(1),
            kind: EntryKind::Empty,
        }],
        commit: Index::ZERO,
    };
    replica.step(LEADER, Message::AppendRequest(request));
    let expected = Fault::CommittedEntryConflict {
        index: Index(1),
        committed: Term(1),
        told: Term(2),
    };
    assert_eq!(fault(&mut replica), Some(expected));
}

#[test]
fn stopped_replica_is_silent() {
    let mut replica = rolled_back();
    assert!(fault(&mut replica).is_some());
    replica.campaign();
    for _ in 0..100 {
        replica.tick();
    }
    assert_eq!(replica.ready(), None);
    let refused = replica.propose(Vec::new());
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
}
