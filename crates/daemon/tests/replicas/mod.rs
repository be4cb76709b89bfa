//! Replica roles over loopback, with files in temporary folders.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_daemon::replica::{ReplicaContext, ReplicaOptions, ReplicaPeer, ReplicaRole};
use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlAnswer, ControlCommand, ControlQuery, ControlReply,
    IntentNumber, Policy,
};
use molespan_telemetry::{EventBuffer, Metrics, discard_logger};
use molespan_types::{ConfigVersion, GroupId, Incarnation, NodeId};
use molespan_wire::{
    Client, ClientLimits, Consistency, Handler, Request, Response, Server, ServerHandle,
    ServerLimits, WatchConfiguration,
};
use tempfile::TempDir;

/// Maximum wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(30);
/// Interval between checks of a condition.
const PAUSE: Duration = Duration::from_millis(10);
/// Capacity of the decision event buffer.
const KEPT_EVENTS: usize = 64;
/// Threads that run the executor.
const THREADS: usize = 3;

struct RoleHandler(Arc<ReplicaRole>);

impl Handler for RoleHandler {
    async fn call(&self, request: Request) -> Response {
        self.0.handle_peer(request).await
    }

    fn notify(&self, request: Request) {
        self.0.notify(request);
    }
}

struct Running {
    role: Arc<ReplicaRole>,
    server: ServerHandle,
    client: Client,
}

/// Three replica roles.
pub struct Replicas {
    executor: Arc<Executor<'static>>,
    folders: TempDir,
    peers: Vec<ReplicaPeer>,
    running: BTreeMap<NodeId, Running>,
}

/// Waits until `condition` returns a value.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not in time: {what}");
        Timer::after(PAUSE).await;
    }
}

impl Replicas {
    /// Starts three replicas without data.
    pub fn start() -> Self {
        let executor = Arc::new(Executor::new());
        for _ in 0..THREADS {
            let executor = executor.clone();
            // The thread ends with the test process.
            thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
        }
        let mut servers = Vec::new();
        let mut peers = Vec::new();
        for number in 1..=3 {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let server = Server::bind(any, ServerLimits::default()).unwrap();
            let address = server.local_address();
            let node = NodeId(number);
            peers.push(ReplicaPeer { node, address });
            servers.push((node, server));
        }
        let mut replicas = Self {
            executor,
            folders: tempfile::tempdir().unwrap(),
            peers,
            running: BTreeMap::new(),
        };
        for (node, server) in servers {
            replicas.start_one(node, server);
        }
        replicas
    }

    fn start_one(&mut self, node: NodeId, server: Server) {
        let folder = self.folders.path().join(node.to_string());
        let mut options = ReplicaOptions::new(node, self.peers.clone(), folder);
        options.node_heartbeat = Duration::from_millis(200);
        let context = ReplicaContext {
            options,
            executor: self.executor.clone(),
            logger: discard_logger(),
            metrics: Metrics::default(),
            events: EventBuffer::new(node, KEPT_EVENTS),
        };
        let role = Arc::new(ReplicaRole::start(context).unwrap());
        let address = server.local_address();
        let handle = server.handle();
        let handler = Arc::new(RoleHandler(role.clone()));
        let serving = server.serve(self.executor.clone(), handler);
        self.executor.spawn(serving).detach();
        let limits = ClientLimits::default();
        let client = Client::new(&self.executor, address, limits, u64::from(node.0));
        let running = Running {
            role,
            server: handle,
            client,
        };
        self.running.insert(node, running);
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> Vec<NodeId> {
        self.running.keys().copied().collect()
    }

    /// Returns the role on `node`.
    pub fn role(&self, node: NodeId) -> &ReplicaRole {
        &self.running[&node].role
    }

    /// Sends a request to `node` as another process does.
    pub async fn ask(&self, node: NodeId, request: Request) -> Option<Response> {
        let client = self.running.get(&node)?.client.clone();
        client.call(request, LIMIT).await.ok()
    }

    /// Stops a replica gracefully.
    pub async fn stop(&mut self, node: NodeId) -> molespan_daemon::replica::HandOver {
        let running = self.running.remove(&node).unwrap();
        let hand_over = running.role.stop().await;
        running.server.stop();
        hand_over
    }

    /// Deletes the files of a stopped replica.
    pub fn lose_disk(&self, node: NodeId) {
        let folder = self.folders.path().join(node.to_string());
        std::fs::remove_dir_all(folder).unwrap();
    }

    /// Restarts a stopped replica.
    pub async fn restart(&mut self, node: NodeId) {
        let peer = self.peers.iter().find(|peer| peer.node == node);
        let address = peer.unwrap().address;
        let server = eventually("the port is free again", || async {
            Server::bind(address, ServerLimits::default()).ok()
        });
        let server = server.await;
        self.start_one(node, server);
    }

    /// Sends a request that only the leader answers, starting with `first`.
    pub async fn ask_leader(&self, first: NodeId, request: &Request) -> Response {
        let mut next = first;
        eventually("a leader answers", || {
            let asked = next;
            let answer = self.ask(asked, request.clone());
            let others = self.nodes();
            next = others
                [(others.iter().position(|&one| one == asked).unwrap_or(0) + 1) % others.len()];
            async move {
                match answer.await? {
                    Response::NotLeader { .. } | Response::Refused { .. } => None,
                    response => Some(response),
                }
            }
        })
        .await
    }

    /// Confirms an intent that raises the version by one from `base`.
    pub async fn confirm(&self, first: NodeId, base: u64) -> ConfirmReply {
        let command = ControlCommand::Confirm(ConfirmIntent {
            number: IntentNumber(base + 1),
            operator: "test".to_owned(),
            base_version: ConfigVersion(base),
            changes: vec![Change::PutPolicy {
                policy: Policy {
                    tail_protection: (base % 100) as u8,
                },
            }],
        });
        let request = Request::Propose {
            group: GroupId::CONTROL,
            command: molespan_state::encode(&command).into(),
        };
        let response = self.ask_leader(first, &request).await;
        let Response::Proposed { reply } = response else {
            panic!("{response:?}");
        };
        match molespan_state::decode(&reply).unwrap() {
            ControlReply::Confirm(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the version from a linearizable read.
    pub async fn read_version(&self, first: NodeId) -> u64 {
        let query = molespan_state::encode(&ControlQuery::Configuration);
        let request = Request::Query {
            group: GroupId::CONTROL,
            consistency: Consistency::Linearizable,
            query: query.into(),
        };
        let response = self.ask_leader(first, &request).await;
        let Response::Answered { answer } = response else {
            panic!("{response:?}");
        };
        match molespan_state::decode(&answer).unwrap() {
            ControlAnswer::Configuration(Some(configuration)) => configuration.version.0,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the node that leads the control group.
    pub async fn control_leader(&self) -> NodeId {
        eventually("somebody leads the control group", || async {
            let leads = |node: &NodeId| self.role(*node).leads().contains(&GroupId::CONTROL);
            self.nodes().into_iter().find(leads)
        })
        .await
    }
}

/// Returns a node's long poll for a configuration newer than `in_force`.
pub fn watch(node: u32, in_force: u64, wait: Duration) -> Request {
    Request::Watch(WatchConfiguration {
        node: NodeId(node),
        incarnation: Incarnation(1),
        in_force: ConfigVersion(in_force),
        wait_ms: wait.as_millis() as u32,
    })
}

/// Returns a node's heartbeat.
pub fn heartbeat(node: u32, zone: &str) -> Request {
    Request::Heartbeat {
        node: NodeId(node),
        incarnation: Incarnation(1),
        zone: zone.into(),
        draining: false,
        owned: Vec::new(),
    }
}
