//! Replica processes that are killed, frozen or stopped, or that lose their disks.

mod processes;

use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::{Timer, block_on};
use molespan_state::control::ControlQuery;
use molespan_types::{GroupId, NodeId};
use molespan_wire::{Consistency, Request, Response};
use processes::cluster::Cluster;
use processes::control::{Control, confirmed, version_of};
use processes::daemon::Signal;

fn start() -> (Cluster, Control) {
    let mut cluster = Cluster::with_replicas();
    cluster.start_all();
    let control = Control::of(&cluster);
    (cluster, control)
}

#[test]
fn a_killed_leader_loses_nothing() {
    let (mut cluster, control) = start();
    block_on(async {
        for version in 1..=5 {
            let leader = control.leader().await;
            assert_eq!(control.confirm(version - 1).await, confirmed(version));
            cluster.kill(leader);
            assert_eq!(control.version().await, version);
            cluster.start(leader);
        }
    });
}

#[test]
fn a_lost_disk_is_replaced_before_the_next_loss() {
    let (mut cluster, control) = start();
    block_on(async {
        assert_eq!(control.confirm(0).await, confirmed(1));
        let lost = NodeId(1);
        cluster.kill(lost);
        cluster.lose_disk(lost);
        assert_eq!(control.confirm(1).await, confirmed(2));
        cluster.start(lost);
        cluster.wait_until_replaced(lost).await;
        cluster.kill(NodeId(2));
        assert_eq!(control.version().await, 2);
        assert_eq!(control.confirm(2).await, confirmed(3));
    });
}

#[test]
fn a_frozen_leader_gives_no_stale_answer() {
    let (cluster, control) = start();
    block_on(async {
        assert_eq!(control.confirm(0).await, confirmed(1));
        let frozen = control.leader().await;
        cluster.signal(frozen, Signal::Stop);
        assert_eq!(control.confirm(1).await, confirmed(2));
        // Sent while the leader is frozen, so that it reads the query first when it resumes.
        let query = Request::Query {
            group: GroupId::CONTROL,
            consistency: Consistency::Linearizable,
            query: molespan_state::encode(&ControlQuery::Configuration).into(),
        };
        let asked = cluster.executor.spawn({
            let client = Control::of(&cluster);
            async move { client.ask(frozen, query).await }
        });
        Timer::after(Duration::from_millis(300)).await;
        cluster.signal(frozen, Signal::Continue);
        if let Some(Response::Answered { answer }) = asked.await {
            assert_eq!(version_of(&answer), 2);
        }
        assert_eq!(control.confirm(2).await, confirmed(3));
    });
}

#[test]
fn a_graceful_stop_hands_over_every_leadership() {
    let (mut cluster, control) = start();
    block_on(async {
        assert_eq!(control.confirm(0).await, confirmed(1));
        let leader = control.leader().await;
        let status = cluster.stop(leader).await;
        assert!(status.success(), "{status}");
        let log = cluster.log(leader);
        assert!(log.contains("kept: []"), "{log}");
        assert_eq!(control.confirm(1).await, confirmed(2));
    });
}

#[test]
fn a_folder_in_use_is_refused() {
    let (cluster, _) = start();
    let second = cluster.run_second_process(NodeId(1));
    assert!(!second.status.success());
    let log = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(log.contains("another process uses"), "{log}");
}

#[test]
fn a_damaged_log_stops_the_replica_with_a_clear_error() {
    let (mut cluster, control) = start();
    block_on(async {
        for version in 1..=20 {
            assert_eq!(control.confirm(version - 1).await, confirmed(version));
        }
        let damaged = NodeId(1);
        cluster.kill(damaged);
        flip_a_byte_in_the_middle(&cluster.data_folder(damaged).join("replica/log"));
        let ended = cluster.run_until_exit(damaged);
        assert!(!ended.status.success());
        let log = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(log.contains("cannot start"), "{log}");
        assert!(log.contains("segment"), "{log}");
        assert_eq!(control.confirm(20).await, confirmed(21));
    });
}

/// Damages the only segment of a write-ahead log.
fn flip_a_byte_in_the_middle(log: &Path) {
    let entries = std::fs::read_dir(log).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    let mut segments: Vec<PathBuf> = files
        .filter(|path| path.extension().is_some_and(|kind| kind == "segment"))
        .collect();
    assert_eq!(segments.len(), 1, "{segments:?}");
    let segment = segments.remove(0);
    let mut bytes = std::fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&segment, bytes).unwrap();
}

#[test]
fn replicas_that_die_together_keep_what_was_acknowledged() {
    let (mut cluster, control) = start();
    block_on(async {
        for version in 1..=10 {
            assert_eq!(control.confirm(version - 1).await, confirmed(version));
        }
        for node in cluster.replicas() {
            cluster.kill(node);
        }
        for node in cluster.replicas() {
            cluster.start(node);
        }
        assert_eq!(control.version().await, 10);
        // Repeating an acknowledged confirmation returns the same answer.
        assert_eq!(control.confirm(4).await, confirmed(5));
        assert_eq!(control.confirm(10).await, confirmed(11));
    });
}
