//! Linearizable reads while leadership is uncertain.

use molespan_consensus::ReplicaId;

use crate::cluster::Cluster;

fn isolate(cluster: &mut Cluster, id: ReplicaId) {
    for other in cluster.running() {
        if other != id {
            cluster.network.cut(id, other);
        }
    }
}

#[test]
fn cut_leader_answers_no_read() {
    let mut cluster = Cluster::new(3, 1);
    let old = cluster.elect();
    cluster.run(10);
    isolate(&mut cluster, old);
    assert!(cluster.read(old));
    cluster.wait("another leader", |cluster| {
        cluster.leader().is_some_and(|id| id != old)
    });
    let new = cluster.leader().unwrap();
    assert!(cluster.propose(new));
    cluster.run(30);
    let running = cluster.node(old).running.as_ref().unwrap();
    assert_eq!((running.answered_reads, running.failed_reads), (0, 1));
    assert!(
        !cluster.read(old),
        "a replica that stepped down accepted a read"
    );
}

#[test]
fn late_answers_of_an_earlier_round_confirm_no_later_read() {
    let mut cluster = Cluster::new(3, 2);
    let leader = cluster.elect();
    cluster.run(10);
    // Responses to this round are in flight when the leader is cut off.
    cluster.network.fault_rates.max_delay = 6;
    assert!(cluster.read(leader));
    cluster.run(2);
    for other in cluster.running() {
        if other != leader {
            cluster.network.cut_one_way(leader, other);
        }
    }
    let answered = |cluster: &mut Cluster| {
        let running = cluster.node(leader).running.as_ref().unwrap();
        running.answered_reads
    };
    assert!(cluster.read(leader));
    cluster.run(60);
    assert!(answered(&mut cluster) <= 1, "a read relied on an old round");
}

#[test]
fn read_is_answered_when_the_first_heartbeats_are_lost() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.elect();
    cluster.run(10);
    isolate(&mut cluster, leader);
    assert!(cluster.read(leader));
    cluster.run(2);
    cluster.network.heal();
    cluster.wait("answer", |cluster| {
        let running = cluster.nodes[&leader].running.as_ref().unwrap();
        running.answered_reads == 1
    });
}

#[test]
fn new_leader_answers_no_read_before_its_first_commit() {
    let mut cluster = Cluster::new(3, 4);
    cluster.sync_ticks = 8;
    for _ in 0..4 {
        let leader = cluster.elect();
        assert!(cluster.propose(leader));
        // The cluster checks each answered index against the last committed one.
        assert!(cluster.read(leader));
        cluster.run(5);
        cluster.crash(leader);
        cluster.run(60);
        cluster.restart(leader);
    }
    cluster.expect_recovery();
}
