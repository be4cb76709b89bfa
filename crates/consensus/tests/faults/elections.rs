//! Pre-votes, the quorum check, and leadership transfers.

use molespan_consensus::{ProposeError, ReplicaId, Role};

use crate::cluster::Cluster;

const REPLICAS: u64 = 3;

/// Returns the two replicas other than `leader`.
fn followers(leader: ReplicaId) -> [ReplicaId; 2] {
    let ids: Vec<ReplicaId> = (1..=REPLICAS)
        .map(ReplicaId)
        .filter(|id| *id != leader)
        .collect();
    [ids[0], ids[1]]
}

#[test]
fn returning_replica_does_not_raise_the_term() {
    let mut cluster = Cluster::new(3, 1);
    let leader = cluster.elect();
    let term = cluster.node(leader).replica().term();
    let [isolated, other] = followers(leader);
    cluster.network.cut(isolated, leader);
    cluster.network.cut(isolated, other);
    cluster.run(200);
    assert_eq!(cluster.node(isolated).replica().role(), Role::PreCandidate);
    cluster.network.heal();
    cluster.run(100);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(isolated).replica().term(), term);
}

#[test]
fn replica_that_misses_only_the_leader_does_not_disturb_it() {
    let mut cluster = Cluster::new(3, 2);
    let leader = cluster.elect();
    let term = cluster.node(leader).replica().term();
    let [isolated, _] = followers(leader);
    cluster.network.cut(isolated, leader);
    cluster.run(300);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).replica().term(), term);
}

#[test]
fn leader_steps_down_when_nothing_reaches_it() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.elect();
    for follower in followers(leader) {
        cluster.network.cut_one_way(follower, leader);
    }
    // Two quorum checks.
    cluster.run(20);
    assert_eq!(cluster.node(leader).replica().role(), Role::Follower);
    cluster.wait("another leader", |cluster| {
        cluster.leader().is_some_and(|id| id != leader)
    });
}

#[test]
fn stuck_candidate_of_a_later_term_rejoins() {
    let mut cluster = Cluster::new(3, 4);
    let leader = cluster.elect();
    let [target, other] = followers(leader);
    // The target starts an election in a later term, but its messages are lost.
    let transfer = cluster.node(leader).replica().transfer_leadership(target);
    assert_eq!(transfer, Ok(()));
    cluster.process_ready(leader);
    cluster.network.cut_one_way(target, leader);
    cluster.network.cut_one_way(target, other);
    cluster.run(5);
    let later = cluster.node(target).replica().term();
    assert!(later > cluster.node(leader).replica().term());
    cluster.run(100);
    cluster.network.heal();
    cluster.expect_recovery();
    assert!(cluster.node(target).replica().term() >= later);
}

#[test]
fn transfer_is_aborted_when_its_target_does_not_respond() {
    let mut cluster = Cluster::new(3, 5);
    let leader = cluster.elect();
    let [target, _] = followers(leader);
    cluster.crash(target);
    // The target lacks this entry, so it cannot take over immediately.
    assert!(cluster.propose(leader));
    let replica = cluster.node(leader).replica();
    assert_eq!(replica.transfer_leadership(target), Ok(()));
    let refused = replica.propose(Vec::new());
    assert_eq!(refused, Err(ProposeError::TransferInProgress));
    cluster.run(12);
    assert!(cluster.propose(leader));
}

#[test]
fn transfer_moves_the_leader_without_a_timeout() {
    let mut cluster = Cluster::new(3, 6);
    let leader = cluster.elect();
    cluster.run(20);
    let [target, _] = followers(leader);
    let transfer = cluster.node(leader).replica().transfer_leadership(target);
    assert_eq!(transfer, Ok(()));
    cluster.process_ready(leader);
    cluster.run(3);
    assert_eq!(cluster.leader(), Some(target));
}
