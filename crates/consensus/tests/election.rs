//! A group elects one leader, and commits.

use std::collections::BTreeMap;

use molespan_consensus::{
    Config, EntryKind, Membership, Outgoing, Persisted, Replica, ReplicaId, Role,
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
