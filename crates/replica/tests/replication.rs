//! Clusters of replica processes: founding, committing, restarting.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, intent, node};
use molespan_replica::{Consistency, Refusal, ReplicaEvent};
use molespan_state::control::ConfirmReply;
use molespan_types::{ConfigVersion, GroupId};

#[test]
fn three_blank_nodes_found_once_and_commit() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.run_until_leaders();
        cluster.confirm_many(20);
        cluster.run_until_in_sync();
        for number in 1..=3 {
            let version = cluster.version_at(node(number), Consistency::Local);
            assert_eq!(version, Some(ConfigVersion(20)));
        }
        let founded = |event: &ReplicaEvent| matches!(event, ReplicaEvent::Founded { .. });
        let founders = cluster.events.iter().filter(|(_, event)| founded(event));
        assert_eq!(founders.count(), 3);
    }
}

#[test]
fn one_node_alone_works() {
    let mut cluster = Cluster::new(1, 1);
    cluster.run_until_leaders();
    cluster.confirm_many(5);
    cluster.restart(node(1));
    cluster.run_until_leaders();
    let version = cluster.version_at(node(1), Consistency::Linearizable);
    assert_eq!(version, Some(ConfigVersion(5)));
}

#[test]
fn nothing_is_founded_while_a_first_voter_is_missing() {
    let mut cluster = Cluster::new(3, 1);
    cluster.cores.remove(&node(3));
    cluster.run_for(Duration::from_secs(20));
    assert_eq!(cluster.leader(GroupId::CONTROL), None);
    cluster.start(node(3));
    cluster.run_until_leaders();
}

#[test]
fn followers_name_the_leader() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.run_until_leaders();
    cluster.run_for(Duration::from_secs(1));
    let follower = cluster.nodes().into_iter().find(|&node| node != leader);
    let command = intent(1, ConfigVersion(0));
    let ticket = cluster.propose_to(follower.unwrap(), GroupId::CONTROL, command);
    let leader = Some(leader);
    assert_eq!(cluster.answers[&ticket], Err(Refusal::NotLeader { leader }));
}

#[test]
fn acknowledged_changes_outlive_a_crash_of_all_nodes() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.run_until_leaders();
        cluster.confirm_many(30);
        for node in cluster.nodes() {
            cluster.kill(node);
        }
        for node in cluster.nodes() {
            cluster.start(node);
        }
        assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
        let leader = cluster.run_until_leaders();
        let version = cluster.version_at(leader, Consistency::Linearizable);
        assert_eq!(version, Some(ConfigVersion(30)));
    }
}

#[test]
fn a_leader_that_is_cut_off_answers_no_linearizable_read() {
    let mut cluster = Cluster::new(3, 5);
    let old = cluster.run_until_leaders();
    cluster.confirm_many(3);
    cluster.isolate(old, true);
    cluster.run_until("another leader", |cluster| {
        let leader = |core: &molespan_replica::ReplicaCore<_>| {
            core.status().leads().any(|group| group == GroupId::CONTROL)
        };
        let mut others = cluster.cores.iter().filter(|(node, _)| **node != old);
        others.any(|(_, core)| leader(core))
    });
    assert_eq!(cluster.version_at(old, Consistency::Linearizable), None);
    cluster.isolate(old, false);
    cluster.run_until_in_sync();
}

#[test]
fn cluster_makes_progress_on_a_lossy_network() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(3, seed);
        cluster.loss = 0.1;
        cluster.run_until_leaders();
        for number in 1..=40 {
            let reply = cluster.confirm(number, ConfigVersion(number - 1));
            let version = ConfigVersion(number);
            assert_eq!(reply, ConfirmReply::Confirmed { version });
        }
        cluster.loss = 0.0;
        cluster.run_until_in_sync();
    }
}

#[test]
fn thousand_changes_then_restarts_one_by_one() {
    let mut cluster =
        Cluster::with_settings(3, 9, |settings| settings.snapshot_every_entries = 150);
    cluster.run_until_leaders();
    cluster.confirm_many(1_000);
    for node in cluster.nodes() {
        cluster.restart(node);
        cluster.run_until_in_sync();
    }
    assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
    let version = ConfigVersion(1_000);
    // A resent old confirmation still gets the original answer.
    let reply = cluster.confirm(1_000, ConfigVersion(999));
    assert_eq!(reply, ConfirmReply::Confirmed { version });
    for node in cluster.nodes() {
        assert_eq!(cluster.version_at(node, Consistency::Local), Some(version));
    }
}
