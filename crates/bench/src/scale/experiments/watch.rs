//! Hollow gateways that watch the configuration of real replica roles and send
//! them heartbeats, over loopback sockets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_state::control::{Change, ConfirmReply, ControlReply};
use molespan_state::{decode, encode};
use molespan_types::{ConfigVersion, GroupId};
use molespan_wire::{Client, ClientLimits, Request, Response};

use super::configuration::{command, initial_changes, limits_change};
use super::{REPEATS, micros};
use crate::scale::clock::named_time;
use crate::scale::hollow::{HollowNode, REPLICA_THREADS, ReplicaAddresses, Roles, named_threads};
use crate::scale::{Recorder, ScaleError};

/// Threads that run the hollow gateways.
const NODE_THREADS: u32 = 2;
/// Beginning of their names.
const NODE_THREAD: &str = "hollow";
/// Changes in each measurement.
const CHANGES: u32 = 8;
/// How long nodes are watched while nothing changes.
const WATCHED_FOR: Duration = Duration::from_millis(1_500);
/// Longest wait for anything.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Time between two looks at the versions in force.
const LOOK_AGAIN: Duration = Duration::from_millis(1);

/// Hollow gateways before three replicas.
struct Fleet {
    executor: Arc<Executor<'static>>,
    roles: Roles,
    leader: Client,
    addresses: ReplicaAddresses,
    nodes: Vec<Arc<HollowNode>>,
    version: u64,
}

/// What was used in some time.
struct Used {
    replicas: Duration,
    nodes: Duration,
    bytes_to_nodes: u64,
    elapsed: Duration,
}

/// By the number of gateways: what a change costs, and what a second without
/// changes costs.
pub(super) fn watch(recorder: &mut Recorder) -> Result<(), ScaleError> {
    async_io::block_on(async {
        let mut fleet = Fleet::start().await?;
        fleet.confirm(initial_changes()).await?;
        for nodes in [100_u32, 200, 400, 800] {
            fleet.grow(nodes).await?;
            for _ in 0..REPEATS {
                let (slowest, change) = fleet.measure_changes().await?;
                let idle = fleet.measure_idle().await?;
                note(recorder, nodes, slowest, &change, &idle);
            }
        }
        fleet.roles.stop().await;
        Ok(())
    })
}

fn note(recorder: &mut Recorder, nodes: u32, slowest: Duration, change: &Used, idle: &Used) {
    let changes = f64::from(CHANGES);
    let seconds = idle.elapsed.as_secs_f64();
    let measures = [
        ("change_replicas_us", micros(change.replicas) / changes),
        ("change_nodes_us", micros(change.nodes) / changes),
        (
            "change_bytes_to_nodes",
            change.bytes_to_nodes as f64 / changes,
        ),
        ("change_in_force_ms", slowest.as_secs_f64() * 1e3),
        ("idle_replicas_us_per_s", micros(idle.replicas) / seconds),
        ("idle_nodes_us_per_s", micros(idle.nodes) / seconds),
        (
            "idle_bytes_to_nodes_per_s",
            idle.bytes_to_nodes as f64 / seconds,
        ),
    ];
    recorder.note("nodes", f64::from(nodes), &measures);
}

impl Fleet {
    async fn start() -> Result<Self, ScaleError> {
        let roles = Roles::start()?;
        let leader_address = roles.leader().await?;
        let executor = named_threads(NODE_THREAD, NODE_THREADS);
        let limits = ClientLimits::default();
        let leader = Client::new(&executor, leader_address, limits, 0);
        let addresses = ReplicaAddresses {
            watched: leader_address,
            leader: leader_address,
        };
        Ok(Self {
            executor,
            roles,
            leader,
            addresses,
            nodes: Vec::new(),
            version: 0,
        })
    }

    /// Starts nodes up to that many and waits until all are up to date.
    async fn grow(&mut self, nodes: u32) -> Result<(), ScaleError> {
        for number in self.nodes.len() as u32..nodes {
            let addresses = ReplicaAddresses {
                watched: self.roles.address(number),
                ..self.addresses
            };
            let node = HollowNode::start(&self.executor, number, addresses);
            self.nodes.push(node);
        }
        self.await_version().await?;
        // One round of heartbeats and watches is the warm-up.
        Timer::after(WATCHED_FOR / 2).await;
        Ok(())
    }

    async fn await_version(&self) -> Result<(), ScaleError> {
        let wanted = ConfigVersion(self.version);
        let end = Instant::now() + LONGEST_WAIT;
        while self.nodes.iter().any(|node| node.version() < wanted) {
            if Instant::now() > end {
                return Err(ScaleError::Timeout {
                    what: "configuration in force",
                });
            }
            Timer::after(LOOK_AGAIN).await;
        }
        Ok(())
    }

    async fn confirm(&mut self, changes: Vec<Change>) -> Result<(), ScaleError> {
        let command = encode(&command(self.version, changes));
        let end = Instant::now() + LONGEST_WAIT;
        while Instant::now() < end {
            let request = Request::Propose {
                group: GroupId::CONTROL,
                command: command.clone().into(),
            };
            let answer = self.leader.call(request, LONGEST_WAIT).await;
            if let Ok(Response::Proposed { reply }) = answer {
                return match decode(&reply) {
                    Ok(ControlReply::Confirm(ConfirmReply::Confirmed { version })) => {
                        self.version = version.0;
                        Ok(())
                    }
                    other => Err(ScaleError::unexpected(other)),
                };
            }
            Timer::after(LOOK_AGAIN).await;
        }
        Err(ScaleError::Timeout {
            what: "confirmation",
        })
    }

    /// Confirms changes, each in force everywhere before the next; gives the
    /// longest time that one took.
    async fn measure_changes(&mut self) -> Result<(Duration, Used), ScaleError> {
        let before = self.used_so_far()?;
        let mut slowest = Duration::ZERO;
        for _ in 0..CHANGES {
            let began = Instant::now();
            self.confirm(limits_change(self.version as u32)).await?;
            self.await_version().await?;
            slowest = slowest.max(began.elapsed());
        }
        Ok((slowest, before.until(&self.used_so_far()?)))
    }

    async fn measure_idle(&self) -> Result<Used, ScaleError> {
        let before = self.used_so_far()?;
        Timer::after(WATCHED_FOR).await;
        Ok(before.until(&self.used_so_far()?))
    }

    fn used_so_far(&self) -> Result<UsedSoFar, ScaleError> {
        Ok(UsedSoFar {
            at: Instant::now(),
            replicas: named_time(&REPLICA_THREADS)?,
            nodes: named_time(&[NODE_THREAD])?,
            bytes_to_nodes: self.roles.bytes_written(),
        })
    }
}

/// What was used since the start of the process.
struct UsedSoFar {
    at: Instant,
    replicas: Duration,
    nodes: Duration,
    bytes_to_nodes: u64,
}

impl UsedSoFar {
    fn until(&self, later: &Self) -> Used {
        Used {
            replicas: later.replicas.saturating_sub(self.replicas),
            nodes: later.nodes.saturating_sub(self.nodes),
            bytes_to_nodes: later.bytes_to_nodes - self.bytes_to_nodes,
            elapsed: later.at.duration_since(self.at),
        }
    }
}
