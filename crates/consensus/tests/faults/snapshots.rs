//! Followers that lag so far that they need a snapshot.

use molespan_consensus::{FollowerState, ReplicaId};

use crate::cluster::Cluster;
use crate::network::FaultRates;

/// Returns a group with one stopped follower that lags behind the leader's log,
/// with the leader and that follower.
fn with_lagging_follower(seed: u64) -> (Cluster, ReplicaId, ReplicaId) {
    let mut cluster = Cluster::with_config(3, seed, |config| {
        config.trailing_entries = 2;
        config.snapshot_retry_heartbeats = 3;
    });
    cluster.compact_every = 10;
    let leader = cluster.elect();
    cluster.run(10);
    let lagging = cluster.running().into_iter().find(|id| *id != leader);
    let lagging = lagging.unwrap();
    cluster.crash(lagging);
    for _ in 0..60 {
        cluster.propose(leader);
        cluster.run(1);
    }
    (cluster, leader, lagging)
}

#[test]
fn follower_behind_the_log_catches_up_when_parts_are_lost() {
    let (mut cluster, _, lagging) = with_lagging_follower(1);
    cluster.network.fault_rates = FaultRates {
        loss: 20,
        repetition: 20,
        max_delay: 3,
    };
    cluster.restart(lagging);
    cluster.wait("a follower that has caught up", |cluster| {
        cluster.applied(lagging) == cluster.checker.last()
    });
    cluster.expect_recovery();
}

#[test]
fn fetch_starts_again_when_the_receiver_restarts() {
    let (mut cluster, _, lagging) = with_lagging_follower(2);
    cluster.network.fault_rates.max_delay = 2;
    cluster.restart(lagging);
    cluster.wait("a fetch under way", |cluster| {
        let running = cluster.nodes[&lagging].running.as_ref().unwrap();
        running
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.commands.len() > 5)
    });
    cluster.crash(lagging);
    cluster.restart(lagging);
    cluster.expect_recovery();
}

#[test]
fn fetch_moves_on_when_the_leader_takes_a_newer_snapshot() {
    let (mut cluster, leader, lagging) = with_lagging_follower(3);
    cluster.network.fault_rates.max_delay = 2;
    cluster.restart(lagging);
    for _ in 0..200 {
        cluster.propose(leader);
        cluster.run(2);
    }
    cluster.expect_recovery();
}

#[test]
fn leader_offers_the_snapshot_again_when_the_offer_is_lost() {
    let (mut cluster, leader, lagging) = with_lagging_follower(4);
    cluster.restart(lagging);
    cluster.wait("an offer", |cluster| {
        let running = cluster.nodes[&leader].running.as_ref().unwrap();
        let followers = running.replica.status().followers;
        followers[&lagging].state == FollowerState::Snapshot
    });
    cluster.node(lagging).running.as_mut().unwrap().fetch = None;
    cluster.expect_recovery();
}
