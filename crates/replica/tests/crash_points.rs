//! Power failures at each single change of the disk, with whole replica processes.

mod cluster;

use std::time::Duration;

use cluster::jobs::submit;
use cluster::{Cluster, node};
use molespan_replica::{Consistency, ReplicaSettings};
use molespan_types::{ConfigVersion, GroupId};

/// Number of configuration changes in one run.
const CHANGES: u64 = 14;

fn small_limits(settings: &mut ReplicaSettings) {
    settings.snapshot_every_entries = 5;
    settings.chunk_bytes = 64;
    settings.log.segment_bytes = 600;
    settings.log.reserve_bytes = 128;
}

/// Confirms changes and submits jobs until the power fails. Returns the last
/// acknowledged version and the number of acknowledged jobs.
fn run_workload(cluster: &mut Cluster, stopped: impl Fn(&Cluster) -> bool) -> (ConfigVersion, u32) {
    let mut version = ConfigVersion(0);
    let mut jobs = 0;
    for number in 1..=CHANGES {
        let Some(confirmed) = cluster.try_confirm(number, version, &stopped) else {
            break;
        };
        version = confirmed;
        if !submit(cluster, jobs, &stopped) {
            break;
        }
        jobs += 1;
    }
    (version, jobs)
}

/// Runs a single node whose power fails after `changes` disk changes. Returns
/// whether the power failed during the run.
fn run_single_node(changes: u64, seed: u64) -> bool {
    let mut cluster = Cluster::stopped(1, seed, small_limits);
    cluster.disks[&node(1)].fail_power_after(changes);
    cluster.start(node(1));
    let (version, jobs) = run_workload(&mut cluster, |cluster| cluster.cores.is_empty());
    let failed = cluster.cores.is_empty();
    cluster.errors.clear();
    cluster.restart(node(1));
    assert!(
        cluster.errors.is_empty(),
        "after {changes}: {:?}",
        cluster.errors
    );
    cluster.run_until_leaders();
    let read = cluster.version_at(node(1), Consistency::Linearizable);
    assert!(
        read >= Some(version),
        "after {changes}: {read:?} < {version}"
    );
    for job in 0..jobs {
        cluster::jobs::assert_readable(&mut cluster, node(1), job);
    }
    failed
}

#[test]
fn nothing_acknowledged_is_lost_when_power_fails_at_each_change() {
    let mut changes = 0;
    while run_single_node(changes, changes) {
        changes += 1;
    }
    assert!(changes > 200, "only {changes} changes");
}

#[test]
fn follower_catches_up_when_power_fails_at_each_change_of_a_snapshot_transfer() {
    for point in 0..60 {
        let mut cluster = Cluster::with_settings(3, point, small_limits);
        let leader = cluster.run_until_leaders();
        let lagging = cluster.other_than(leader);
        cluster.kill(lagging);
        run_workload(&mut cluster, |_| false);
        cluster.start(lagging);
        cluster.disks[&lagging].fail_power_after(point * 2);
        cluster.run_for(Duration::from_secs(5));
        cluster.errors.clear();
        cluster.restart(lagging);
        assert!(cluster.errors.is_empty(), "{point}: {:?}", cluster.errors);
        cluster.run_until_in_sync();
        let version = Some(ConfigVersion(CHANGES));
        assert_eq!(cluster.version_at(lagging, Consistency::Local), version);
        for job in 0..CHANGES as u32 {
            cluster::jobs::assert_readable(&mut cluster, lagging, job);
        }
    }
}

#[test]
fn ended_incarnation_is_wiped_when_power_fails_at_each_change() {
    for point in 0..40 {
        let mut cluster = Cluster::with_settings(3, point, small_limits);
        cluster.run_until_leaders();
        let victim = node(2);
        let backup = cluster.disks[&victim].backup();
        cluster.restart(victim);
        cluster.run_until_in_sync();
        cluster.confirm_many(5);
        cluster.kill(victim);
        cluster.disks[&victim].roll_back(&backup);
        cluster.start(victim);
        cluster.disks[&victim].fail_power_after(point);
        cluster.run_for(Duration::from_secs(1));
        cluster.errors.clear();
        cluster.restart(victim);
        assert!(cluster.errors.is_empty(), "{point}: {:?}", cluster.errors);
        cluster.run_until("a new incarnation that votes", Cluster::all_nodes_vote);
        assert!(cluster.leader(GroupId::CONTROL).is_some());
    }
}
