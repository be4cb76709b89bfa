//! Elections, and commits of a new leader.

use std::collections::BTreeMap;

use molespan_consensus::{
    AppendOutcome, AppendResponse, Config, Entry, EntryKind, Index, Membership, Message, Outgoing,
    Persisted, Replica, ReplicaId, Role, Term, VoteResponse,
};

#[test]
fn three_replicas_elect_a_leader_and_commit() {
    let ids = [1, 2, 3].map(ReplicaId);
    let start = Persisted::bootstrap(Membership::of_voters(ids));
    let mut replicas: BTreeMap<ReplicaId, Replica> = ids
        .iter()
        .map(|id| (*id, Replica::new(Config::new(*id), start.clone()).unwrap()))
        .collect();
    let mut commands: BTreeMap<ReplicaId, Vec<Vec<u8>>> = BTreeMap::new();
    let mut proposed = false;
    for _ in 0..100 {
        for replica in replicas.values_mut() {
            replica.tick();
            if replica.role() == Role::Leader && !proposed {
                replica.propose(b"first".to_vec()).unwrap();
                proposed = true;
            }
        }
        loop {
            let mut sent: Vec<(ReplicaId, Outgoing)> = Vec::new();
            for (id, replica) in &mut replicas {
                while let Some(ready) = replica.ready() {
                    replica.persisted();
                    let messages = ready.messages.into_iter().chain(ready.messages_after_sync);
                    sent.extend(messages.map(|message| (*id, message)));
                    for entry in ready.committed {
                        if let EntryKind::Command(command) = entry.kind {
                            commands.entry(*id).or_default().push(command);
                        }
                    }
                }
            }
            if sent.is_empty() {
                break;
            }
            for (from, outgoing) in sent {
                let to = replicas.get_mut(&outgoing.to).unwrap();
                to.step(from, outgoing.message);
            }
        }
    }
    let leaders = replicas
        .values()
        .filter(|replica| replica.role() == Role::Leader);
    assert_eq!(leaders.count(), 1);
    for id in ids {
        assert_eq!(commands[&id], vec![b"first".to_vec()]);
    }
}

/// Returns a leader elected by the vote of replica 2, with an uncommitted entry
/// of an earlier term.
fn leader_with_uncommitted_entry_of_earlier_term() -> Replica {
    let mut persisted = Persisted::bootstrap(Membership::of_voters([1, 2, 3].map(ReplicaId)));
    persisted.hard_state.term = Term(2);
    persisted.entries.push(Entry {
        term: Term(2),
        index: Index(2),
        kind: EntryKind::Command(b"old".to_vec()),
    });
    let config = Config {
        pre_vote: false,
        ..Config::new(ReplicaId(1))
    };
    let mut replica = Replica::new(config, persisted).unwrap();
    replica.campaign();
    process_ready(&mut replica);
    let vote = VoteResponse {
        term: Term(3),
        granted: true,
    };
    replica.step(ReplicaId(2), Message::VoteResponse(vote));
    process_ready(&mut replica);
    replica
}

fn process_ready(replica: &mut Replica) {
    while replica.ready().is_some() {
        replica.persisted();
    }
}

fn accept(replica: &mut Replica, match_index: Index) {
    let response = AppendResponse {
        term: Term(3),
        outcome: AppendOutcome::Accepted { match_index },
    };
    replica.step(ReplicaId(2), Message::AppendResponse(response));
}

#[test]
fn entry_of_an_earlier_term_is_committed_only_along_with_one_of_the_leaders_own() {
    let mut replica = leader_with_uncommitted_entry_of_earlier_term();
    assert_eq!(replica.role(), Role::Leader);
    accept(&mut replica, Index(2));
    assert_eq!(replica.status().commit, Index(1));
    accept(&mut replica, Index(3));
    assert_eq!(replica.status().commit, Index(3));
}

/// Returns the number of ticks until a newly started group has a leader, if all
/// members tick simultaneously and messages are delivered immediately.
fn ticks_to_the_first_leader(seed: u64) -> u32 {
    let ids = [1, 2, 3].map(ReplicaId);
    let start = Persisted::bootstrap(Membership::of_voters(ids));
    let mut replicas: BTreeMap<ReplicaId, Replica> = BTreeMap::new();
    for id in ids {
        let config = Config {
            seed: seed * 31 + id.0,
            ..Config::new(id)
        };
        replicas.insert(id, Replica::new(config, start.clone()).unwrap());
    }
    for ticks in 1..1_000 {
        replicas.values_mut().for_each(Replica::tick);
        deliver_all(&mut replicas);
        let mut all = replicas.values();
        if all.any(|replica| replica.role() == Role::Leader) {
            return ticks;
        }
    }
    panic!("no leader with seed {seed}");
}

/// Delivers messages until none is in flight.
fn deliver_all(replicas: &mut BTreeMap<ReplicaId, Replica>) {
    loop {
        let mut sent: Vec<(ReplicaId, Outgoing)> = Vec::new();
        for (id, replica) in replicas.iter_mut() {
            while let Some(ready) = replica.ready() {
                replica.persisted();
                let messages = ready.messages.into_iter().chain(ready.messages_after_sync);
                sent.extend(messages.map(|message| (*id, message)));
            }
        }
        if sent.is_empty() {
            return;
        }
        for (from, outgoing) in sent {
            let to = replicas.get_mut(&outgoing.to).unwrap();
            to.step(from, outgoing.message);
        }
    }
}

#[test]
fn replicas_that_never_heard_a_leader_do_not_wait_for_one() {
    let election_ticks = Config::new(ReplicaId(1)).election_ticks;
    let ticks_to_leader: Vec<u32> = (0..200).map(ticks_to_the_first_leader).collect();
    let soon = ticks_to_leader
        .iter()
        .filter(|&&ticks| ticks <= election_ticks);
    // Two candidates that start on the same tick may split the vote once.
    assert!(soon.count() >= 180, "{ticks_to_leader:?}");
    assert!(
        ticks_to_leader
            .iter()
            .all(|&ticks| ticks <= 3 * election_ticks)
    );
}

#[test]
fn restarted_replica_does_not_disrupt_a_leader() {
    let ids = [1, 2, 3].map(ReplicaId);
    let start = Persisted::bootstrap(Membership::of_voters(ids));
    let replica = |id| Replica::new(Config::new(id), start.clone()).unwrap();
    let mut replicas: BTreeMap<ReplicaId, Replica> =
        ids.iter().map(|&id| (id, replica(id))).collect();
    replicas.get_mut(&ReplicaId(1)).unwrap().campaign();
    deliver_all(&mut replicas);
    let term = replicas[&ReplicaId(1)].term();
    assert_eq!(replicas[&ReplicaId(1)].role(), Role::Leader);
    // Replica 3 restarts from its initial state, which loses no committed data, and
    // at first receives no message from the leader.
    replicas.insert(ReplicaId(3), replica(ReplicaId(3)));
    for _ in 0..20 {
        replicas.get_mut(&ReplicaId(3)).unwrap().tick();
        deliver_all(&mut replicas);
    }
    assert_eq!(replicas[&ReplicaId(1)].role(), Role::Leader);
    assert_eq!(replicas[&ReplicaId(1)].term(), term);
}
