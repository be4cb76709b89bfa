//! Restarts with a log that still contains the changes that replaced lost disks.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, node};
use molespan_replica::ReplicaEvent;

const SEED: u64 = 11;

fn replace_disk(cluster: &mut Cluster, number: u32) {
    cluster.lose_disk(node(number));
    cluster.run_until("the replacement", Cluster::all_nodes_vote);
    cluster.run_until_in_sync();
}

#[test]
fn replayed_replacements_do_not_condemn_the_present_lives() {
    let mut cluster = Cluster::new(3, SEED);
    cluster.run_until_leaders();
    replace_disk(&mut cluster, 3);
    replace_disk(&mut cluster, 1);
    cluster.events.clear();

    let nodes = cluster.nodes();
    for &node in &nodes {
        cluster.kill(node);
    }
    for &node in &nodes {
        cluster.start(node);
    }
    cluster.run_until_leaders();
    cluster.run_for(Duration::from_secs(15));

    let renewed = cluster.events.iter();
    let renewed = renewed.filter(|(_, event)| matches!(event, ReplicaEvent::NewIncarnation { .. }));
    assert_eq!(renewed.collect::<Vec<_>>(), Vec::<&(_, _)>::new());
    assert!(cluster.all_nodes_vote(), "{:#?}", cluster.statuses());
}
