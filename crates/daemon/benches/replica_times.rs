//! Measures recovery times of replicas with real processes:
//! `cargo bench -p molespan-daemon --bench replica_times`.

#[path = "../tests/processes/mod.rs"]
mod processes;

use std::time::{Duration, Instant};

use async_io::block_on;
use molespan_types::NodeId;
use processes::client::get;
use processes::cluster::Cluster;
use processes::control::{Control, confirmed};
use processes::daemon::Signal;
use processes::fleet::RunningFleet;
use processes::wait_for;
use serde_json::json;

/// Runs of the fail-over measurement.
const FAIL_OVERS: u64 = 10;
/// Changes whose propagation to the gateways is measured.
const CONFIGURATIONS: u64 = 20;
/// Changes made before a restart and a replacement.
const CHANGES: u64 = 1_000;

fn main() {
    block_on(async {
        fail_over().await;
        graceful_stop().await;
        restart_and_replacement().await;
    });
    configuration_in_force();
}

/// Measures the time from killing the leader to the next acknowledged write.
async fn fail_over() {
    let mut cluster = Cluster::with_replicas();
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

/// Measures the time from a graceful stop of the leader to the next acknowledged write.
async fn graceful_stop() {
    let mut cluster = Cluster::with_replicas();
    cluster.start_all();
    let control = Control::of(&cluster);
    assert_eq!(control.confirm(0).await, confirmed(1));
    let mut times = Vec::new();
    for version in 2..2 + FAIL_OVERS {
        let leader = control.leader().await;
        let stopped = Instant::now();
        cluster.signal(leader, Signal::Terminate);
        // Waits for the first write that another leader accepts.
        while control.leader().await == leader {
            assert_eq!(control.confirm(version - 1).await, confirmed(version));
        }
        assert_eq!(control.confirm(version - 1).await, confirmed(version));
        times.push(stopped.elapsed());
        cluster.stop(leader).await;
        cluster.start(leader);
        cluster.wait_until_ready(leader).await;
    }
    report(
        "planned stop of the leader to the first write at the next",
        times,
    );
}

/// Measures the time from a change's confirmation until it is active at every gateway.
fn configuration_in_force() {
    let fleet = RunningFleet::start();
    let gateways = fleet.cluster.gateways();
    let mut times = Vec::new();
    for number in 2..2 + CONFIGURATIONS {
        let policy = json!({"tail_protection": number % 100});
        fleet.confirm(
            gateways[0],
            number,
            &json!([{"change": "put_policy", "policy": policy}]),
        );
        let begun = Instant::now();
        for &gateway in &gateways {
            wait_for("the version in force", || {
                let ready = get(fleet.address(gateway), "/ready").json_value();
                ready["version"].as_u64() >= Some(number)
            });
        }
        times.push(begun.elapsed());
    }
    report("change confirmed to in force at all gateways", times);
}

/// Measures the restart of a replica, and the replacement of one whose disk was lost,
/// after many configuration changes.
async fn restart_and_replacement() {
    let mut cluster = Cluster::with_replicas();
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
