//! Followers that lag so far that they need a snapshot.

use molespan_consensus::{FollowerState, ReplicaId};

use crate::cluster::Cluster;
use crate::network::Weather;

/// Returns a group with one stopped follower that lags behind the leader's log,
/// with the leader and that follower.
fn with_a_follower_behind(seed: u64) -> (Cluster, ReplicaId, ReplicaId) {
    let mut cluster = Cluster::with_config(3, seed, |config| {
        config.trailing_entries = 2;
        config.snapshot_retry_heartbeats = 3;
    });
    cluster.compact_every = 10;
    let leader = cluster.elect();
    cluster.run(10);
    let behind = cluster.running().into_iter().find(|id| *id != leader);
    let behind = behind.unwrap();
    cluster.crash(behind);
    for _ in 0..60 {
        cluster.propose(leader);
        cluster.run(1);
    }
    (cluster, leader, behind)
}

#[test]
fn follower_behind_the_log_catches_up_when_parts_are_lost() {
    let (mut cluster, _, behind) = with_a_follower_behind(1);
    cluster.network.weather = Weather {
        loss: 20,
        repetition: 20,
        max_delay: 3,
    };
    cluster.restart(behind);
    cluster.wait("a follower that has caught up", |cluster| {
        cluster.applied(behind) == cluster.checker.last()
    });
    cluster.settle();
}

#[test]
fn fetch_starts_again_when_the_receiver_restarts() {
    let (mut cluster, _, behind) = with_a_follower_behind(2);
    cluster.network.weather.max_delay = 2;
    cluster.restart(behind);
    cluster.wait("a fetch under way", |cluster| {
        let running = cluster.nodes[&behind].running.as_ref().unwrap();
        running
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.commands.len() > 5)
    });
    cluster.crash(behind);
    cluster.restart(behind);
    cluster.settle();
}

#[test]
fn fetch_moves_on_when_the_leader_takes_a_newer_snapshot() {
    let (mut cluster, leader, behind) = with_a_follower_behind(3);
    cluster.network.weather.max_delay = 2;
    cluster.restart(behind);
    for _ in 0..200 {
        cluster.propose(leader);
        cluster.run(2);
    }
    cluster.settle();
}

#[test]
fn leader_offers_the_snapshot_again_when_the_offer_is_lost() {
    let (mut cluster, leader, behind) = with_a_follower_behind(4);
    cluster.restart(behind);
    cluster.wait("an offer", |cluster| {
        let running = cluster.nodes[&leader].running.as_ref().unwrap();
        let followers = running.replica.status().followers;
        followers[&behind].state == FollowerState::Snapshot
    });
    cluster.node(behind).running.as_mut().unwrap().fetch = None;
    cluster.settle();
}
