//! Times that matter when replicas fail, taken from real processes:
//! `cargo bench -p molespan-daemon --bench replica_times`.

#[path = "../tests/processes/mod.rs"]
mod processes;

use std::time::{Duration, Instant};

use async_io::block_on;
use molespan_types::NodeId;
use processes::cluster::Cluster;
use processes::control::{Control, confirmed};

/// Runs of the fail-over.
const FAIL_OVERS: u64 = 10;
/// Changes before a restart and a replacement.
const CHANGES: u64 = 1_000;

fn main() {
    block_on(async {
        fail_over().await;
        restart_and_replacement().await;
    });
}

/// From the leader's kill to the next acknowledged write.
async fn fail_over() {
    let mut cluster = Cluster::of_replicas();
    cluster.start_all();
    let control = Control::of(&cluster);
    assert_eq!(control.confirm(0).await, confirmed(1));
    let mut times = Vec::new();
    for version in 2..2 + FAIL_OVERS {
        let leader = control.leader().await;
        cluster.kill(leader);
        let killed = Instant::now();
        assert_eq!(control.confirm(version - 1).await, confirmed(version));
        times.push(killed.elapsed());
        cluster.start(leader);
        cluster.wait_until_ready(leader).await;
    }
    report("leader killed to first acknowledged write", times);
}

/// Restarting a replica, and replacing one whose disk was lost, after many
/// configuration changes.
async fn restart_and_replacement() {
    let mut cluster = Cluster::of_replicas();
    cluster.start_all();
    let control = Control::of(&cluster);
    let begun = Instant::now();
    for version in 1..=CHANGES {
        assert_eq!(control.confirm(version - 1).await, confirmed(version));
    }
    let each = begun.elapsed() / CHANGES as u32;
    println!(
        "{CHANGES} changes one after the other: {} a change",
        show(each)
    );
    let mut restarts = Vec::new();
    let mut replacements = Vec::new();
    for node in cluster.replicas() {
        cluster.kill(node);
        let begun = Instant::now();
        cluster.start(node);
        cluster.wait_until_ready(node).await;
        restarts.push(begun.elapsed());
    }
    report("restart to ready after the changes", restarts);
    for node in [NodeId(1), NodeId(2), NodeId(3)] {
        cluster.kill(node);
        cluster.lose_disk(node);
        let begun = Instant::now();
        cluster.start(node);
        cluster.wait_until_replaced(node).await;
        replacements.push(begun.elapsed());
        assert_eq!(control.version().await, CHANGES);
    }
    report("blank disk started to vote in every group", replacements);
}

fn report(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let shown: Vec<String> = times.iter().copied().map(show).collect();
    let median = times[times.len() / 2];
    println!("{what}: median {}, all {}", show(median), shown.join(" "));
}

fn show(time: Duration) -> String {
    format!("{:.1}ms", time.as_secs_f64() * 1_000.0)
}
