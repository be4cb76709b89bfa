//! Submissions abandoned by their clients.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::jobs::{begin_only, phase, submit};
use molespan_state::job::JobPhase;
use molespan_types::GroupId;

#[test]
fn stalled_submission_is_dropped_even_after_a_leader_change() {
    let mut cluster = Cluster::with_settings(3, 5, |settings| {
        settings.submission_timeout = Duration::from_secs(20);
    });
    cluster.run_until_leaders();
    begin_only(&mut cluster, 1);
    assert!(submit(&mut cluster, 2, |_| false));
    cluster.run_for(Duration::from_secs(15));
    let leader = cluster.leader(GroupId(1)).unwrap();
    cluster.restart(leader);
    // The new leader has not observed the submission for the submission timeout yet.
    cluster.run_for(Duration::from_secs(10));
    let node = cluster.other_than(leader);
    assert_eq!(phase(&mut cluster, node, 1), Some(JobPhase::Submitting));
    cluster.run_for(Duration::from_secs(20));
    for node in cluster.nodes() {
        assert_eq!(phase(&mut cluster, node, 1), None);
        assert_eq!(phase(&mut cluster, node, 2), Some(JobPhase::Completed));
    }
    assert!(submit(&mut cluster, 1, |_| false), "the key is free again");
}
