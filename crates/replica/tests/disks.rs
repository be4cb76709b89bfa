//! Lost, rolled back and full disks.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, intent, node};
use molespan_replica::{Consistency, Refusal, ReplicaEvent};
use molespan_types::{ConfigVersion, GroupId, NodeId, RunOutcome};

fn version(cluster: &mut Cluster) -> Option<ConfigVersion> {
    let leader = cluster.run_until_leaders();
    cluster.version_at(leader, Consistency::Linearizable)
}

/// Returns the incarnations of all nodes.
fn incarnations(cluster: &Cluster) -> Vec<(NodeId, u32)> {
    let statuses = cluster.statuses();
    statuses
        .iter()
        .map(|status| (status.node, status.incarnation))
        .collect()
}

#[test]
fn second_disk_lost_right_after_a_repair_loses_nothing() {
    for seed in 0..12 {
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.run_until_leaders();
        cluster.confirm_many(40);
        let first = cluster.other_than(leader);
        cluster.lose_disk(first);
        cluster.run_until("the first repair", Cluster::all_nodes_vote);
        let second = if seed % 2 == 0 {
            leader
        } else {
            cluster.other_than(first)
        };
        cluster.lose_disk(second);
        cluster.run_until("the second repair", Cluster::all_nodes_vote);
        assert_eq!(version(&mut cluster), Some(ConfigVersion(40)));
        assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
    }
}

#[test]
fn five_nodes_survive_two_disks_lost_at_once() {
    let mut cluster = Cluster::new(5, 1);
    cluster.run_until_leaders();
    cluster.confirm_many(20);
    cluster.lose_disk(node(2));
    cluster.lose_disk(node(4));
    cluster.run_until("both repairs", Cluster::all_nodes_vote);
    assert_eq!(version(&mut cluster), Some(ConfigVersion(20)));
}

#[test]
fn disk_lost_again_while_it_is_repaired_is_repaired() {
    for seed in 0..8 {
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.run_until_leaders();
        cluster.confirm_many(10);
        let lost = cluster.other_than(leader);
        cluster.lose_disk(lost);
        cluster.run_for(Duration::from_millis(400 * seed));
        cluster.lose_disk(lost);
        cluster.run_until("the repair", Cluster::all_nodes_vote);
        assert_eq!(version(&mut cluster), Some(ConfigVersion(10)));
    }
}

#[test]
fn restart_after_a_repair_ends_no_new_life() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.run_until_leaders();
    cluster.confirm_many(10);
    let lost = cluster.other_than(leader);
    cluster.lose_disk(lost);
    cluster.run_until("the repair", Cluster::all_nodes_vote);
    cluster.run_until_in_sync();
    let before = incarnations(&cluster);
    for other in cluster.nodes() {
        cluster.restart(other);
        cluster.run_until_in_sync();
        cluster.run_for(Duration::from_secs(20));
    }
    assert_eq!(incarnations(&cluster), before);
}

#[test]
fn rolled_back_disk_starts_a_new_incarnation() {
    for seed in 0..8 {
        let mut cluster = Cluster::new(3, seed);
        cluster.run_until_leaders();
        cluster.confirm_many(5);
        let victim = node(1 + (seed % 3) as u32);
        let backup = cluster.disks[&victim].backup();
        for number in 6..=20 {
            cluster.confirm(number, ConfigVersion(number - 1));
        }
        cluster.kill(victim);
        cluster.disks[&victim].roll_back(&backup);
        let before = cluster.events.len();
        cluster.start(victim);
        cluster.run_until("the repair", |cluster| {
            let anew = |event: &ReplicaEvent| matches!(event, ReplicaEvent::NewIncarnation { .. });
            let events = &cluster.events[before..];
            cluster.all_nodes_vote()
                && events
                    .iter()
                    .any(|(node, event)| *node == victim && anew(event))
        });
        assert_eq!(version(&mut cluster), Some(ConfigVersion(20)));
    }
}

#[test]
fn rolled_back_disk_is_noticed_by_a_replica_that_never_led() {
    let mut cluster = Cluster::stopped(3, 6, |_| {});
    cluster.job_groups = 0;
    for node in cluster.nodes() {
        cluster.start(node);
    }
    let leader = cluster.run_until_leaders();
    cluster.confirm_many(5);
    cluster.run_until_in_sync();
    let victim = cluster.other_than(leader);
    let mut nodes = cluster.nodes().into_iter();
    let witness = nodes.find(|&node| node != leader && node != victim);
    let witness = witness.unwrap();
    let backup = cluster.disks[&victim].backup();
    // The witness receives messages from the victim but not from the leader.
    cluster.cut_links.insert((leader, witness));
    cluster.cut_links.insert((witness, leader));
    for number in 6..=20 {
        cluster.confirm(number, ConfigVersion(number - 1));
    }
    cluster.run_for(Duration::from_secs(10));
    cluster.kill(victim);
    cluster.disks[&victim].roll_back(&backup);
    cluster.isolate(leader, true);
    cluster.start(victim);
    cluster.run_for(Duration::from_secs(10));
    // Only the leader still has the acknowledged changes.
    cluster.isolate(leader, false);
    cluster.run_until("the repair", Cluster::all_nodes_vote);
    assert_eq!(version(&mut cluster), Some(ConfigVersion(20)));
    assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
}

#[test]
fn corruption_in_the_middle_of_the_log_stops_the_replica() {
    let mut cluster = Cluster::new(3, 2);
    let leader = cluster.run_until_leaders();
    cluster.confirm_many(10);
    let victim = cluster.other_than(leader);
    cluster.kill(victim);
    let disk = cluster.disks[&victim].clone();
    let segment = disk
        .files()
        .into_iter()
        .find(|file| file.ends_with(".segment"));
    assert!(disk.corrupt_byte(&segment.unwrap(), 40));
    cluster.start(victim);
    let messages: Vec<String> = cluster
        .errors
        .iter()
        .map(|(_, error)| error.to_string())
        .collect();
    assert_eq!(messages.len(), 1);
    assert!(
        messages[0].contains("is corrupt at offset"),
        "{}",
        messages[0]
    );
}

#[test]
fn full_disk_refuses_as_not_run_and_recovers() {
    let mut cluster = Cluster::with_settings(1, 4, |settings| settings.log.reserve_bytes = 4 << 10);
    cluster.run_until_leaders();
    cluster.confirm_many(3);
    cluster.disks[&node(1)].set_full(true);
    let mut refused = 0;
    for number in 4..=400 {
        let command = intent(number, ConfigVersion(number - 1));
        let ticket = cluster.propose_to(node(1), GroupId::CONTROL, command);
        cluster.run_for(Duration::from_millis(60));
        match &cluster.answers[&ticket] {
            Ok(_) => assert_eq!(refused, 0, "accepted after a refusal"),
            Err(Refusal::Refused {
                outcome,
                retry_after_ms,
                ..
            }) => {
                assert_eq!(*outcome, RunOutcome::NotRun);
                assert!(*retry_after_ms > 0);
                refused += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(refused > 300, "{refused} refused");
    let full = version(&mut cluster).unwrap();
    cluster.disks[&node(1)].set_full(false);
    cluster.run_for(Duration::from_secs(3));
    let next = ConfigVersion(full.0 + 1);
    cluster.confirm(1_000, full);
    assert_eq!(version(&mut cluster), Some(next));
}

#[test]
fn a_leader_whose_disk_is_full_hands_over_to_one_with_room() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.run_until_leaders();
        cluster.confirm_many(5);
        cluster.disks[&leader].set_full(true);
        // Commands that it still accepts use up its reserved disk space.
        let mut number = 5;
        let ends = cluster.now + Duration::from_secs(20);
        while cluster.leader(GroupId::CONTROL) == Some(leader) && cluster.now < ends {
            let base = ConfigVersion(number);
            let late = |cluster: &Cluster| cluster.now >= ends;
            if cluster.try_confirm(number + 1, base, &late).is_some() {
                number += 1;
            }
        }
        assert_ne!(
            cluster.leader(GroupId::CONTROL),
            Some(leader),
            "seed {seed}"
        );
        cluster.confirm(number + 1, ConfigVersion(number));
        assert_eq!(version(&mut cluster), Some(ConfigVersion(number + 1)));
        cluster.disks[&leader].set_full(false);
        cluster.run_until_in_sync();
    }
}
