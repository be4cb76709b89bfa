//! Detection of outdated disks under reordered messages and full disks.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, intent, node};
use molespan_replica::{Consistency, Input, ReplicaEvent};
use molespan_types::{ConfigVersion, GroupId, NodeId};

const SEED: u64 = 5;

fn new_incarnations(cluster: &Cluster) -> usize {
    let events = cluster.events.iter();
    let renewed = events.filter(|(_, event)| matches!(event, ReplicaEvent::NewIncarnation { .. }));
    renewed.count()
}

/// Transfers leadership of the control group to `to`.
fn lead(cluster: &mut Cluster, to: NodeId) {
    cluster.run_until("leadership", |cluster| {
        cluster.leader(GroupId::CONTROL).is_some()
    });
    let leader = cluster.leader(GroupId::CONTROL).expect("there is one");
    let ticket = cluster.ticket();
    let group = GroupId::CONTROL;
    cluster.input(leader, Input::TransferLeadership { ticket, group, to });
    cluster.run_until("the transfer", |cluster| {
        cluster.leader(GroupId::CONTROL) == Some(to)
    });
}

#[test]
fn hello_overtaken_by_messages_of_its_session_does_not_mark_a_disk_as_outdated() {
    let mut cluster = Cluster::new(3, SEED);
    cluster.run_until_leaders();
    cluster.run_until("all voters", Cluster::all_nodes_vote);
    cluster.withheld_for = Some(node(1));
    // Without the withheld messages to node 1, the other two lead all groups.
    cluster.run_for(Duration::from_secs(3));
    cluster.restart(node(3));
    cluster.run_for(Duration::from_secs(1));
    lead(&mut cluster, node(3));
    for number in 1..=20 {
        let command = intent(number, ConfigVersion(number - 1));
        cluster.commit(GroupId::CONTROL, &command);
    }
    cluster.events.clear();
    cluster.deliver_reversed();
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(new_incarnations(&cluster), 0, "{:#?}", cluster.events);
    cluster.run_until_in_sync();
}

#[test]
fn hello_of_a_restarted_node_does_not_stop_one_with_a_full_disk() {
    let mut cluster = Cluster::new(3, SEED);
    cluster.run_until_leaders();
    cluster.run_until("all voters", Cluster::all_nodes_vote);
    cluster.disks[&node(1)].set_full(true);
    cluster.restart(node(3));
    cluster.run_for(Duration::from_secs(3));
    assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
    cluster.disks[&node(1)].set_full(false);
    cluster.run_until_in_sync();
}

#[test]
fn rollback_is_detected_by_a_node_that_started_after_the_lost_writes() {
    let mut cluster = Cluster::new(3, SEED);
    cluster.run_until_leaders();
    cluster.run_until("all voters", Cluster::all_nodes_vote);
    let backup = cluster.disks[&node(2)].backup();
    cluster.kill(node(1));
    for number in 1..=20 {
        let command = intent(number, ConfigVersion(number - 1));
        cluster.commit(GroupId::CONTROL, &command);
    }
    cluster.isolate(node(3), true);
    // Long enough for node 2 to step down, so that it only answers hellos.
    cluster.run_for(Duration::from_secs(2));
    cluster.start(node(1));
    cluster.run_for(Duration::from_millis(20));
    cluster.kill(node(2));
    cluster.disks[&node(2)].roll_back(&backup);
    cluster.events.clear();
    cluster.start(node(2));
    cluster.run_for(Duration::from_secs(3));
    assert_eq!(new_incarnations(&cluster), 1, "{:#?}", cluster.events);
    cluster.isolate(node(3), false);
    cluster.run_until("all voters", Cluster::all_nodes_vote);
    let version = cluster.version_at(node(3), Consistency::Local);
    assert_eq!(version, Some(ConfigVersion(20)));
}
