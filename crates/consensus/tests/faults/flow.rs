//! Limits on in-flight appends, uncommitted bytes and pending reads.

use molespan_consensus::{FollowerState, Message, ProposeError, ReplicaId};

use crate::cluster::Cluster;

const WINDOW: usize = 3;

fn cluster_with_low_limits(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::with_config(3, seed, |config| {
        config.max_in_flight_appends = WINDOW;
        config.max_append_bytes = 1;
        config.max_uncommitted_bytes = 600;
        config.max_pending_reads = 8;
    });
    let leader = cluster.elect();
    cluster.run(20);
    (cluster, leader)
}

fn isolate(cluster: &mut Cluster, leader: ReplicaId) {
    for other in cluster.running() {
        if other != leader {
            cluster.network.cut(leader, other);
        }
    }
}

#[test]
fn unresponsive_followers_are_sent_no_more_than_the_window() {
    let (mut cluster, leader) = cluster_with_low_limits(1);
    let replica = cluster.node(leader).replica();
    for _ in 0..10 {
        replica.propose(vec![1]).unwrap();
    }
    let ready = replica.ready().unwrap();
    let appends = ready
        .messages
        .iter()
        .filter(|outgoing| matches!(outgoing.message, Message::AppendRequest(_)));
    assert_eq!(appends.count(), 2 * WINDOW);
}

#[test]
fn proposals_are_refused_when_uncommitted_bytes_pile_up() {
    let (mut cluster, leader) = cluster_with_low_limits(2);
    isolate(&mut cluster, leader);
    let replica = cluster.node(leader).replica();
    let mut results = (0..100).map(|_| replica.propose(vec![0; 50]));
    let refusal = results.find(Result::is_err);
    assert_eq!(refusal, Some(Err(ProposeError::Busy)));
    cluster.network.heal();
    cluster.run(100);
    let leader = cluster.elect();
    assert!(cluster.propose(leader), "proposals are accepted again");
}

#[test]
fn command_above_the_limit_passes_when_it_is_alone() {
    let (mut cluster, leader) = cluster_with_low_limits(3);
    let replica = cluster.node(leader).replica();
    assert!(replica.propose(vec![0; 5_000]).is_ok());
    assert_eq!(replica.propose(Vec::new()), Err(ProposeError::Busy));
    cluster.expect_recovery();
}

#[test]
fn replication_goes_on_when_a_whole_window_is_lost() {
    let (mut cluster, leader) = cluster_with_low_limits(4);
    isolate(&mut cluster, leader);
    for _ in 0..6 {
        cluster.propose(leader);
    }
    cluster.run(1);
    cluster.network.heal();
    cluster.expect_recovery();
}

#[test]
fn follower_that_cannot_be_reached_is_probed() {
    let (mut cluster, leader) = cluster_with_low_limits(5);
    let other = cluster.running().into_iter().find(|id| *id != leader);
    let other = other.unwrap();
    let replica = cluster.node(leader).replica();
    replica.report_unreachable(other);
    let state = replica.status().followers[&other].state;
    assert_eq!(state, FollowerState::Probe);
    cluster.expect_recovery();
}

#[test]
fn reads_are_refused_when_too_many_wait() {
    let (mut cluster, leader) = cluster_with_low_limits(6);
    isolate(&mut cluster, leader);
    let accepted = (0..20).filter(|_| cluster.read(leader)).count();
    assert_eq!(accepted, 8);
}
