//! The replica role over real sockets and files.

mod replicas;

use std::time::Duration;

use async_io::{Timer, block_on};
use futures_lite::future;
use molespan_daemon::incarnation::start_incarnation;
use molespan_state::control::{ConfigurationUpdate, ConfirmReply};
use molespan_types::{ConfigVersion, Incarnation, NodeId};
use molespan_wire::{Request, Response};
use replicas::{LIMIT, Replicas, eventually, heartbeat, watch};

fn confirmed(version: u64) -> ConfirmReply {
    ConfirmReply::Confirmed {
        version: ConfigVersion(version),
    }
}

#[test]
fn writes_and_reads_come_through_every_replica() {
    let replicas = Replicas::start();
    block_on(async {
        for (version, node) in (1..).zip(replicas.nodes()) {
            assert_eq!(
                replicas.confirm(node, version - 1).await,
                confirmed(version)
            );
            for reader in replicas.nodes() {
                assert_eq!(replicas.read_version(reader).await, version);
            }
        }
    });
}

#[test]
fn a_stopped_leader_hands_over_and_comes_back() {
    let mut replicas = Replicas::start();
    block_on(async {
        let first = NodeId(1);
        assert_eq!(replicas.confirm(first, 0).await, confirmed(1));
        let leader = replicas.control_leader().await;
        let led = replicas.role(leader).leads();
        let hand_over = replicas.stop(leader).await;
        assert_eq!(hand_over.handed_over, led);
        assert_eq!(hand_over.kept, []);
        let other = replicas.nodes()[0];
        assert_eq!(replicas.confirm(other, 1).await, confirmed(2));
        replicas.restart(leader).await;
        eventually("the replica takes part again", || async {
            let status = replicas.role(leader).status().await?;
            let caught_up = status.groups.first()?.applied > 0;
            (status.takes_part && caught_up).then_some(())
        })
        .await;
        assert_eq!(replicas.confirm(leader, 2).await, confirmed(3));
        assert_eq!(replicas.read_version(leader).await, 3);
    });
}

#[test]
fn a_replacement_is_ready_once_another_loss_can_be_tolerated() {
    let mut replicas = Replicas::start();
    block_on(async {
        let (lost, next) = (NodeId(2), NodeId(3));
        assert_eq!(replicas.confirm(NodeId(1), 0).await, confirmed(1));
        replicas.stop(lost).await;
        replicas.lose_disk(lost);
        replicas.restart(lost).await;
        eventually("the replacement is ready", || async {
            replicas.role(lost).is_ready().await.then_some(())
        })
        .await;
        let status = replicas.role(lost).status().await.expect("it runs");
        let own_incarnation = (status.node, status.incarnation);
        for group in &status.groups {
            let incarnations = group.voters.iter().filter(|(node, _)| *node == lost);
            assert_eq!(
                incarnations.collect::<Vec<_>>(),
                [&own_incarnation],
                "group {}",
                group.group
            );
        }
        replicas.stop(next).await;
        assert_eq!(replicas.confirm(NodeId(1), 1).await, confirmed(2));
    });
}

#[test]
fn a_watch_gets_a_new_configuration() {
    let replicas = Replicas::start();
    block_on(async {
        let first = NodeId(1);
        replicas.confirm(first, 0).await;
        let mut held = None;
        for (version, node) in (1..).zip(replicas.nodes()) {
            let (response, _) = futures_lite::future::zip(
                replicas.ask(node, watch(9, version, LIMIT)),
                replicas.confirm(first, version),
            )
            .await;
            let Some(Response::Configuration {
                current,
                configuration: Some(bytes),
            }) = response
            else {
                panic!("{response:?}");
            };
            let update: ConfigurationUpdate = molespan_state::decode(&bytes).unwrap();
            let configuration = update.apply_to(held.as_ref()).unwrap();
            assert_eq!(current, ConfigVersion(version + 1));
            assert_eq!(configuration.version, current);
            held = Some(configuration);
        }
    });
}

#[test]
fn a_watch_without_news_confirms_the_version() {
    let replicas = Replicas::start();
    block_on(async {
        replicas.confirm(NodeId(1), 0).await;
        let node = NodeId(2);
        let response = eventually("a quorum confirms", || async {
            let wait = Duration::from_millis(600);
            let response = replicas.ask(node, watch(9, 1, wait)).await?;
            matches!(response, Response::Configuration { .. }).then_some(response)
        });
        let expected = Response::Configuration {
            current: ConfigVersion(1),
            configuration: None,
        };
        assert_eq!(response.await, expected);
        let versions = replicas.ask(node, Request::VersionsInForce).await;
        let expected = Response::VersionsInForce {
            versions: vec![(NodeId(9), ConfigVersion(1))],
        };
        assert_eq!(versions, Some(expected));
    });
}

#[test]
fn a_watch_without_a_quorum_is_refused() {
    let mut replicas = Replicas::start();
    block_on(async {
        replicas.confirm(NodeId(1), 0).await;
        replicas.stop(NodeId(1)).await;
        replicas.stop(NodeId(2)).await;
        eventually("the last replica confirms nothing", || async {
            let wait = Duration::from_millis(300);
            let response = replicas.ask(NodeId(3), watch(9, 1, wait)).await?;
            matches!(response, Response::Refused { .. }).then_some(())
        })
        .await;
    });
}

#[test]
fn only_the_control_leader_answers_heartbeats() {
    let replicas = Replicas::start();
    block_on(async {
        let all = [(11, "a"), (12, "a"), (21, "b")];
        let nodes = eventually("the leader knows every node", || async {
            let leader = replicas.control_leader().await;
            let mut answer = None;
            for (node, zone) in all {
                answer = replicas.ask(leader, heartbeat(node, zone)).await;
            }
            match answer? {
                Response::LiveNodes { nodes } if nodes.len() == all.len() => Some(nodes),
                _ => None,
            }
        })
        .await;
        let expected = all.map(|(node, _)| (NodeId(node), Incarnation(1), false));
        assert_eq!(nodes, expected);
        let leader = replicas.control_leader().await;
        for node in replicas.nodes() {
            if node != leader {
                let answer = replicas.ask(node, heartbeat(11, "a")).await;
                assert!(
                    matches!(answer, Some(Response::NotLeader { .. })),
                    "{answer:?}"
                );
            }
        }
    });
}

#[test]
fn every_incarnation_is_higher_than_the_last() {
    let folder = tempfile::tempdir().unwrap();
    let first = start_incarnation(folder.path()).unwrap();
    let second = start_incarnation(folder.path()).unwrap();
    assert!(second > first);
}

/// Guards against a stopped store that polled for changes in a busy loop, on the thread
/// that was to end its process.
#[test]
fn an_ended_replica_reports_no_changes() {
    let replicas = Replicas::start();
    block_on(async {
        let role = replicas.role(NodeId(1));
        role.stop().await;
        let mut told = 0;
        let changes = async {
            while told < 100 {
                role.changed().await;
                told += 1;
            }
        };
        let late = async {
            Timer::after(Duration::from_millis(200)).await;
        };
        future::or(changes, late).await;
        assert!(told <= 1, "{told} changes behind its end");
    });
}
