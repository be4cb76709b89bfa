//! An in-process replica, and a transport to it and to the gateways.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use molespan_daemon::cluster::{PeerCall, PeerTransport};
use molespan_daemon::gateway::Gateway;
use molespan_replica::{Consistency, Input, Output, Refusal, ReplicaCore, ReplicaSettings, Ticket};
use molespan_state::control::{ConfigurationUpdate, ControlAnswer, ControlQuery};
use molespan_state::job::JobCommand;
use molespan_state::{decode, encode};
use molespan_storage::SimulatedDisk;
use molespan_types::{ConfigVersion, GroupId, Incarnation, NodeId, RunOutcome, Timestamp};
use molespan_wire::{CallError, CallFailure, Request, Response, WatchConfiguration};

/// Duration of a lease on items.
pub const LEASE: Duration = Duration::from_secs(3);
/// Interval between polls of the core.
const POLL: Duration = Duration::from_millis(5);
/// Interval between reads of a long poll.
const WATCH_PAUSE: Duration = Duration::from_millis(10);

/// Result of a request to the core.
type Ended = Result<Vec<u8>, Refusal>;

/// A single replica that leads every group.
#[derive(Debug)]
pub struct LocalReplica {
    pub job_groups: u32,
    node: NodeId,
    start: Instant,
    core: Mutex<ReplicaCore<SimulatedDisk>>,
    waiting: Mutex<HashMap<Ticket, Sender<Ended>>>,
    last_ticket: AtomicU64,
    last_incarnation: AtomicU64,
    live: Mutex<BTreeMap<NodeId, (Incarnation, bool, Instant)>>,
    versions: Mutex<BTreeMap<NodeId, ConfigVersion>>,
}

impl LocalReplica {
    /// Starts a replica with `job_groups` job groups.
    pub fn start(node: NodeId, job_groups: u32) -> Arc<Self> {
        Self::tuned(node, job_groups, |_| {})
    }

    /// Starts a replica with changed settings.
    pub fn tuned(
        node: NodeId,
        job_groups: u32,
        tune: impl FnOnce(&mut ReplicaSettings),
    ) -> Arc<Self> {
        let mut settings = ReplicaSettings {
            job_groups,
            tick: Duration::from_millis(10),
            lease_length: LEASE,
            ..ReplicaSettings::new(node, vec![node], 1)
        };
        tune(&mut settings);
        let disk = SimulatedDisk::new();
        let core = ReplicaCore::open(disk, settings, Timestamp::ZERO).unwrap();
        let replica = Arc::new(Self {
            job_groups,
            node,
            start: Instant::now(),
            core: Mutex::new(core),
            waiting: Mutex::default(),
            last_ticket: AtomicU64::new(0),
            last_incarnation: AtomicU64::new(0),
            live: Mutex::default(),
            versions: Mutex::default(),
        });
        let weak = Arc::downgrade(&replica);
        std::thread::spawn(move || {
            while let Some(replica) = weak.upgrade() {
                replica.poll(&mut replica.core.lock().unwrap());
                drop(replica);
                std::thread::sleep(POLL);
            }
        });
        replica
    }

    /// Returns an incarnation that no gateway has used before.
    pub fn next_incarnation(&self) -> u64 {
        self.last_incarnation.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64)
    }

    fn poll(&self, core: &mut ReplicaCore<SimulatedDisk>) {
        for output in core.poll(self.now()).unwrap() {
            if let Output::Reply { ticket, result } = output
                && let Some(waiter) = self.waiting.lock().unwrap().remove(&ticket)
            {
                let _gone = waiter.try_send(result);
            }
        }
    }

    async fn ask(&self, input: impl FnOnce(Ticket) -> Input) -> Ended {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::SeqCst) + 1);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.lock().unwrap().insert(ticket, sender);
        {
            let mut core = self.core.lock().unwrap();
            core.handle(self.now(), input(ticket));
            self.poll(&mut core);
        }
        receiver.recv().await.unwrap()
    }

    /// Handles a request as a replica process does.
    pub async fn handle(&self, request: Request) -> Response {
        match request {
            Request::Propose { group, command } => {
                let command = command.into();
                let ended = self.ask(|ticket| Input::Propose {
                    ticket,
                    group,
                    command,
                });
                match ended.await {
                    Ok(reply) => Response::Proposed {
                        reply: reply.into(),
                    },
                    Err(refusal) => refused(refusal),
                }
            }
            Request::Query { group, query, .. } => match self.read(group, query.into()).await {
                Ok(answer) => Response::Answered {
                    answer: answer.into(),
                },
                Err(refusal) => refused(refusal),
            },
            Request::Watch(watch) => self.watch(watch).await,
            Request::Heartbeat {
                node,
                incarnation,
                draining,
                ..
            } => {
                let mut live = self.live.lock().unwrap();
                live.insert(node, (incarnation, draining, Instant::now()));
                let nodes = live
                    .iter()
                    .filter(|(_, (_, _, at))| at.elapsed().as_secs() < 1);
                Response::LiveNodes {
                    nodes: nodes
                        .map(|(node, (incarnation, draining, _))| (*node, *incarnation, *draining))
                        .collect(),
                }
            }
            Request::VersionsInForce => Response::VersionsInForce {
                versions: self.versions.lock().unwrap().clone().into_iter().collect(),
            },
            _ => Response::Acknowledged,
        }
    }

    async fn read(&self, group: GroupId, query: Vec<u8>) -> Ended {
        self.ask(|ticket| Input::Query {
            ticket,
            group,
            consistency: Consistency::Linearizable,
            query,
        })
        .await
    }

    async fn watch(&self, watch: WatchConfiguration) -> Response {
        self.versions
            .lock()
            .unwrap()
            .insert(watch.node, watch.in_force);
        let ends = Instant::now() + Duration::from_millis(u64::from(watch.wait_ms));
        loop {
            let query = encode(&ControlQuery::Configuration);
            let answer = match self.read(GroupId::CONTROL, query).await {
                Ok(answer) => answer,
                Err(refusal) => return refused(refusal),
            };
            let Ok(ControlAnswer::Configuration(Some(held))) = decode(&answer) else {
                return refused(Refusal::NotLeader { leader: None });
            };
            let newer = held.version > watch.in_force;
            if newer || Instant::now() >= ends {
                return Response::Configuration {
                    current: held.version,
                    configuration: newer.then(|| encode(&ConfigurationUpdate::Whole(held)).into()),
                };
            }
            Timer::after(WATCH_PAUSE).await;
        }
    }
}

fn is_claim(request: &Request) -> bool {
    let Request::Propose { command, .. } = request else {
        return false;
    };
    matches!(decode(command), Ok(JobCommand::Claim(_)))
}

fn refused(refusal: Refusal) -> Response {
    match refusal {
        Refusal::NotLeader { .. } => Response::NotLeader { leader: None },
        Refusal::Refused {
            outcome,
            message,
            retry_after_ms,
        } => Response::Refused {
            outcome,
            message,
            retry_after_ms,
        },
    }
}

/// Transport to the replica and the gateways of one process. Calls to the replica
/// can be made to fail before they reach it, or after it has handled them.
#[derive(Debug)]
pub struct LocalTransport {
    replica: Arc<LocalReplica>,
    gateways: Mutex<HashMap<NodeId, Gateway>>,
    /// Whether calls fail before they reach the replica.
    pub cut: AtomicBool,
    /// Whether calls reach the replica but their responses are lost.
    pub lose_responses: AtomicBool,
    /// Number of claims that reached the replica and whose responses were lost.
    pub lost_claims: Arc<AtomicU64>,
}

impl LocalTransport {
    /// Creates a transport to `replica`.
    pub fn new(replica: Arc<LocalReplica>) -> Arc<Self> {
        Arc::new(Self {
            replica,
            gateways: Mutex::default(),
            cut: AtomicBool::new(false),
            lose_responses: AtomicBool::new(false),
            lost_claims: Arc::default(),
        })
    }

    /// Adds or replaces a gateway.
    pub fn add_gateway(&self, node: NodeId, gateway: Gateway) {
        self.gateways.lock().unwrap().insert(node, gateway);
    }
}

impl PeerTransport for LocalTransport {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        let replica = self.replica.clone();
        let cut = self.cut.load(Ordering::SeqCst) || node != replica.node;
        let lost = self.lose_responses.load(Ordering::SeqCst);
        let lost_claims = self.lost_claims.clone();
        let claims = lost && is_claim(&request);
        async move {
            if cut {
                return Err(CallError::NotSent(CallFailure::Unreachable));
            }
            let answer = async { Ok(replica.handle(request).await) };
            let late = async {
                Timer::after(timeout).await;
                Err(CallError::Ambiguous(CallFailure::Timeout))
            };
            let answer = futures_lite::future::or(answer, late).await;
            if lost {
                lost_claims.fetch_add(u64::from(claims), Ordering::SeqCst);
                return Err(CallError::Ambiguous(CallFailure::Disconnected));
            }
            answer
        }
        .boxed()
    }

    fn send(&self, node: NodeId, request: Request) -> bool {
        let gateway = self.gateways.lock().unwrap().get(&node).cloned();
        let Some(gateway) = gateway else {
            return false;
        };
        let _response = gateway.handle_peer(request);
        true
    }

    fn update_address(&self, _node: NodeId, _address: &str) {}
}

/// Returns the outcome of a refusal.
pub fn outcome_of(response: &Response) -> Option<RunOutcome> {
    match response {
        Response::Refused { outcome, .. } => Some(*outcome),
        _ => None,
    }
}
