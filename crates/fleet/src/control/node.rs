//! A control node: its replica, its view and its interfaces.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::{Executor, LocalExecutor};
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::DaemonError;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::{Cluster, PeerTransport, WireTransport};
use molespan_daemon::local_transport::LocalTransport;
use molespan_daemon::replica::{ReplicaOptions, ReplicaRole};
use molespan_http::h1;
use molespan_replica::{Discovery, ReplicaStatus};
use molespan_state::control::{ControlAnswer, ControlQuery};
use molespan_telemetry::part_logger;
use molespan_types::{GroupId, NodeId, Timestamp, ZoneName};
use molespan_wire::{Consistency, Handler, Request, Response, Server, ServerLimits};
use slog::{Logger, info, warn};

use super::api::ControlApi;
use super::dialect::ControlDialect;
use super::hub::Hub;
use super::relay::{RelayState, relay_work};
use super::streams::HeldStreams;
use crate::membership::{ClusterAddresses, cluster, replica_options, start_replica};
use crate::view::EngineRecord;

/// Interval between rounds of sending heartbeats to the other control nodes.
const PEER_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between reads of the replica's state. Each read copies the whole
/// state, and many entries arrive at once when many engines leave.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a control node.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Addresses of the nodes.
    pub addresses: ClusterAddresses,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address of the interface for engines and operators.
    pub api_address: SocketAddr,
    /// Directory of persistent data.
    pub data_folder: PathBuf,
    /// Whether the disks of all control nodes are empty because the cluster starts for
    /// the first time, so that the seeds bootstrap the group.
    pub first_start: bool,
    /// Number of simultaneous machine failures to tolerate.
    pub tolerated_failures: u32,
    /// Time without a heartbeat after which an engine is lost.
    pub engine_timeout: Duration,
    /// Time limit for transferring leadership before a planned stop.
    pub hand_over_within: Duration,
}

impl ControlOptions {
    /// Returns the number of voters needed to tolerate the failures.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated_failures as usize + 1
    }

    fn discovery(&self) -> Discovery {
        let seeds: BTreeSet<NodeId> = self.addresses.seeds.iter().copied().collect();
        let mut discovery = Discovery::new(GroupId::CONTROL);
        discovery.voters = self.voters();
        discovery.contacts.clone_from(&seeds);
        if self.first_start {
            discovery.founders = seeds;
        }
        discovery
    }

    fn replica(&self) -> ReplicaOptions {
        let ClusterAddresses { own, port, .. } = self.addresses;
        ReplicaOptions {
            hand_over_within: self.hand_over_within,
            ..replica_options(own, self.discovery(), port, self.data_folder.clone())
        }
    }
}

/// A running control node.
pub struct ControlNode {
    replica: Arc<ReplicaRole>,
    hub: Arc<Hub>,
    wire: Arc<WireTransport>,
    logger: Logger,
    own: NodeId,
}

/// Handles the requests of other nodes.
struct PeerHandler {
    replica: Arc<ReplicaRole>,
    hub: Arc<Hub>,
    work: Arc<RelayState>,
    streams: HeldStreams,
    logger: Logger,
}

impl Handler for PeerHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::WatchView(watch) => self.hub.watch(&watch).await,
            Request::FindStream { stream } => self.streams.find(&stream),
            other => self.replica.handle_peer(other).await,
        }
    }

    fn notify(&self, request: Request) {
        match request {
            Request::EnginesAnnounced { records } => {
                match molespan_state::decode::<Vec<EngineRecord>>(&records) {
                    Ok(records) => self.hub.record_forwarded(records),
                    Err(error) => {
                        warn!(self.logger, "cannot decode engines forwarded by another node";
                        "bytes" => records.len(), "error" => %error)
                    }
                }
            }
            Request::EngineWork {
                from,
                shares,
                relayed,
                usage,
                gateways,
                blames,
                reach,
                demand,
            } => {
                let usage = usage.as_ref().map(|usage| usage.as_slice());
                if let Some(demand) = demand {
                    self.work.record_demand(from, &demand, relayed);
                }
                self.work.record_work(from, &shares, usage, relayed);
                if let Some(blames) = blames {
                    self.work.record_blames(from, &blames);
                }
                let reach = reach.as_ref().map(|reach| reach.as_slice());
                self.work.record_reach(from, reach, relayed);
                if let Some(gateways) = gateways {
                    self.work.record_gateway_count(from, gateways);
                }
            }
            Request::StreamsBegan { from, streams } => self.streams.record(from, &streams),
            other => self.replica.notify(other),
        }
    }
}

impl ControlNode {
    /// Starts a control node that runs on `executor` and `local`.
    ///
    /// # Errors
    /// Returns an error if the data directory or an address cannot be used.
    pub fn start<D: ControlDialect>(
        options: &ControlOptions,
        dialect: D,
        executor: &Arc<Executor<'static>>,
        local: &Rc<LocalExecutor<'static>>,
        logger: &Logger,
    ) -> Result<Rc<Self>, DaemonError> {
        let own = options.addresses.own;
        let replica = start_replica(options.replica(), executor, logger)?;
        let logger = part_logger(logger, "control");
        let hub = Arc::new(Hub::new(
            options.zone.clone(),
            options.engine_timeout,
            BootClock::start(),
        ));
        let wire = options.addresses.transport(executor);
        let transport: Arc<dyn PeerTransport> = Arc::new(LocalTransport {
            own,
            replica: replica.clone(),
            others: wire.clone(),
        });
        let cluster = cluster(transport, own_node_first(&options.addresses));
        let server = Server::bind(options.addresses.own_address(), ServerLimits::default())?;
        let work = Arc::new(RelayState::new(logger.clone()));
        let relaying = relay_work(own, work.clone(), hub.clone(), wire.clone());
        local.spawn(relaying).detach();
        let handler = PeerHandler {
            replica: replica.clone(),
            hub: hub.clone(),
            work: work.clone(),
            streams: HeldStreams::new(logger.clone()),
            logger: logger.clone(),
        };
        executor
            .spawn(server.serve(executor.clone(), Arc::new(handler)))
            .detach();
        let api = ControlApi {
            dialect,
            own,
            hub: hub.clone(),
            cluster: cluster.clone(),
            store_replicas: options.voters() as u32,
            refusals: Mutex::default(),
            logger: logger.clone(),
        };
        let listener = h1::listen(options.api_address).map_err(DaemonError::Listen)?;
        local
            .spawn(h1::serve_listener(listener, local.clone(), Rc::new(api)))
            .detach();
        let node = Rc::new(Self {
            replica,
            hub,
            wire,
            logger,
            own,
        });
        let following = node.clone();
        local
            .spawn(async move { following.follow_replica(&cluster).await })
            .detach();
        let rounds = node.clone();
        local
            .spawn(async move { rounds.forward_heartbeats().await })
            .detach();
        let announcing = node.hub.clone();
        executor
            .spawn(async move { announcing.announce().await })
            .detach();
        info!(node.logger, "started"; "node" => own.address().to_string(),
            "first_start" => options.first_start);
        Ok(node)
    }

    /// Updates the view as the replica applies entries.
    async fn follow_replica(&self, cluster: &Cluster) {
        loop {
            self.refresh(cluster).await;
            Timer::after(MIN_REFRESH_INTERVAL).await;
            let timeout = async {
                Timer::after(PEER_ROUND_INTERVAL).await;
            };
            future::or(self.replica.changed(), timeout).await;
        }
    }

    async fn refresh(&self, cluster: &Cluster) {
        let Some(status) = self.replica.status().await else {
            return;
        };
        let control = members(&status);
        if !control.is_empty() {
            self.hub.set_member(control.contains(&self.own));
            let mut replicas: Vec<NodeId> = control.iter().copied().collect();
            replicas.sort_by_key(|&node| node != self.own);
            cluster.set_replicas(replicas);
        }
        let request = Request::Query {
            group: GroupId::CONTROL,
            consistency: Consistency::Local,
            query: molespan_state::encode(&ControlQuery::Declared).into(),
        };
        let Response::Answered { answer } = self.replica.handle_peer(request).await else {
            return;
        };
        let Ok(ControlAnswer::Declared(declared)) = molespan_state::decode(&answer) else {
            return;
        };
        let retiring = declared.stores().retiring();
        self.replica.set_members(control.clone(), retiring);
        let applied = status.groups.first().map_or(0, |group| group.applied);
        self.hub.apply_declared(&declared, control, applied);
    }

    /// Sends recent heartbeats to the other control nodes, so that each node knows all
    /// engines, whichever node those call.
    async fn forward_heartbeats(&self) {
        let mut last_round = Timestamp::ZERO;
        loop {
            Timer::after(PEER_ROUND_INTERVAL).await;
            self.hub.expire();
            let now = self.hub.now();
            let recent = self.hub.heartbeats_since(last_round);
            last_round = now;
            if recent.is_empty() {
                continue;
            }
            let Some(status) = self.replica.status().await else {
                continue;
            };
            let records = molespan_state::encode(&recent);
            for node in members(&status) {
                if node != self.own {
                    let records = records.clone().into();
                    self.wire.send(node, Request::EnginesAnnounced { records });
                }
            }
        }
    }

    /// Completes when the replica fails.
    pub async fn failed(&self) {
        let _error = self.replica.ended().await;
    }

    /// Transfers leadership and stops the replica.
    pub async fn stop(&self) {
        let handover = self.replica.stop().await;
        info!(self.logger, "stopped"; "handed_over" => handover.handed_over.len());
    }
}

/// Returns the members of the control group according to the local log, or as reported by
/// other nodes if this node is not a member.
fn members(status: &ReplicaStatus) -> BTreeSet<NodeId> {
    let voters = status.groups.iter().flat_map(|group| &group.voters);
    let voters: BTreeSet<NodeId> = voters.map(|(node, _)| *node).collect();
    match voters.is_empty() {
        true => status.known_voters.clone(),
        false => voters,
    }
}

fn own_node_first(addresses: &ClusterAddresses) -> Vec<NodeId> {
    let mut nodes = vec![addresses.own];
    nodes.extend(
        addresses
            .seeds
            .iter()
            .filter(|&&node| node != addresses.own),
    );
    nodes
}
