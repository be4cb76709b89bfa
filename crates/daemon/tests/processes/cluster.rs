//! The node processes of a test.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use molespan_http::{Method, Pool, PoolLimits, StatusCode, new_request};
use molespan_settings::{NodeSettings, Role, Settings};
use molespan_types::NodeId;
use tempfile::TempDir;

use super::daemon::{Daemon, Signal, log_file};
use super::eventually;
use super::ports::free_address;

/// Threads of the test's own executor.
const THREADS: usize = 3;
/// Zones assigned to the nodes in turn.
const ZONES: [&str; 3] = ["hall-1", "hall-2", "hall-3"];
/// ID of the first gateway.
const FIRST_GATEWAY: u32 = 11;

/// Replicas and gateways as separate processes, one of each per zone.
pub struct Cluster {
    /// Executor for the test's own clients.
    pub executor: Arc<Executor<'static>>,
    folder: TempDir,
    settings: BTreeMap<NodeId, Settings>,
    running: BTreeMap<NodeId, Daemon>,
}

impl Cluster {
    /// Creates three replicas without starting them.
    pub fn with_replicas() -> Self {
        Self::on(executor())
    }

    fn on(executor: Arc<Executor<'static>>) -> Self {
        let mut cluster = Self {
            executor,
            folder: tempfile::tempdir().unwrap(),
            settings: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        for (number, zone) in (1..).zip(ZONES) {
            cluster.add(NodeId(number), zone, Role::Replica, free_address());
        }
        cluster.set_peers();
        cluster
    }

    /// Creates three replicas and three gateways for the platform at `platform`,
    /// without starting them.
    pub fn with_gateways(executor: Arc<Executor<'static>>, platform: SocketAddr) -> Self {
        let mut cluster = Self::on(executor);
        for (number, zone) in (FIRST_GATEWAY..).zip(ZONES) {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            cluster.add(NodeId(number), zone, Role::Gateway, any);
        }
        cluster.set_peers();
        cluster.tune(|settings| {
            settings.platform.list_address = Some(platform);
            settings.timing.drain.unready_wait = Duration::from_millis(200);
        });
        cluster
    }

    /// Changes the settings of every node.
    pub fn tune(&mut self, change: impl Fn(&mut Settings)) {
        self.settings.values_mut().for_each(change);
    }

    fn add(&mut self, id: NodeId, zone: &str, role: Role, internal_address: SocketAddr) {
        let node = NodeSettings {
            id,
            name: format!("node-{id}"),
            zone: zone.into(),
            roles: vec![role],
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            internal_address,
            data_folder: self.folder.path().join(format!("data-{id}")),
        };
        self.settings.insert(id, Settings::new(node));
    }

    /// Lists the replicas as peers of every node.
    fn set_peers(&mut self) {
        let all: Vec<_> = self.settings.values().map(Settings::as_peer).collect();
        for (&own, settings) in &mut self.settings {
            let others = all.iter().filter(|peer| peer.id != own);
            let replicas = others.filter(|peer| peer.roles.contains(&Role::Replica));
            settings.peers = replicas.cloned().collect();
        }
    }

    /// Starts every node.
    pub fn start_all(&mut self) {
        for node in self.settings.keys().copied().collect::<Vec<_>>() {
            self.start(node);
        }
    }

    /// Starts a node and waits until it listens.
    pub fn start(&mut self, node: NodeId) {
        let daemon = Daemon::start(&self.settings[&node], self.folder.path());
        self.running.insert(node, daemon);
    }

    /// Starts a second process with the settings of a running node, and
    /// waits until it exits.
    pub fn run_second_process(&self, node: NodeId) -> std::process::Output {
        Daemon::run(&self.settings[&node], self.folder.path())
    }

    /// Returns the data folder of a node.
    pub fn data_folder(&self, node: NodeId) -> &Path {
        &self.settings[&node].node.data_folder
    }

    /// Starts a node that is expected to exit by itself.
    pub fn run_until_exit(&self, node: NodeId) -> std::process::Output {
        assert!(!self.runs(node), "node {node} still runs");
        Daemon::run(&self.settings[&node], self.folder.path())
    }

    /// Returns the replicas, running or not.
    pub fn replicas(&self) -> Vec<NodeId> {
        self.with_role(Role::Replica)
    }

    /// Returns the gateways, running or not.
    pub fn gateways(&self) -> Vec<NodeId> {
        self.with_role(Role::Gateway)
    }

    fn with_role(&self, role: Role) -> Vec<NodeId> {
        let settings = self.settings.values();
        let having = settings.filter(|settings| settings.has_role(role));
        having.map(|settings| settings.node.id).collect()
    }

    /// Returns the address of a node for its peers.
    pub fn internal_address(&self, node: NodeId) -> SocketAddr {
        self.settings[&node].node.internal_address
    }

    /// Returns the address of a running node for callers.
    pub fn http_address(&self, node: NodeId) -> SocketAddr {
        self.running[&node].http
    }

    /// Whether a node is running.
    pub fn runs(&self, node: NodeId) -> bool {
        self.running.contains_key(&node)
    }

    /// Sends a signal to a node.
    pub fn signal(&self, node: NodeId, signal: Signal) {
        self.running[&node].signal(signal);
    }

    /// Kills a node.
    pub fn kill(&mut self, node: NodeId) {
        self.take(node).kill();
    }

    /// Stops a node gracefully.
    pub async fn stop(&mut self, node: NodeId) -> std::process::ExitStatus {
        self.take(node).stop().await
    }

    /// Returns the log of a node, over all its incarnations.
    pub fn log(&self, node: NodeId) -> String {
        let path = log_file(self.folder.path(), node);
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Deletes the data folder of a stopped node.
    pub fn lose_disk(&self, node: NodeId) {
        assert!(!self.runs(node), "node {node} still runs");
        std::fs::remove_dir_all(self.data_folder(node)).unwrap();
    }

    /// Waits until the new incarnation of `node` votes in every group.
    pub async fn wait_until_replaced(&self, node: NodeId) {
        let groups = self.settings[&node].cluster.job_groups;
        let replaced = format!("node {node} was replaced by its new incarnation");
        eventually("the new incarnation votes in every group", || async {
            let logs: String = self
                .replicas()
                .into_iter()
                .map(|one| self.log(one))
                .collect();
            let mut lines = (0..=groups).map(|group| format!("group {group}: {replaced}"));
            lines.all(|line| logs.contains(&line)).then_some(())
        })
        .await;
    }

    /// Waits until a node reports that it is ready.
    pub async fn wait_until_ready(&self, node: NodeId) {
        let pool = Pool::new(PoolLimits::default());
        let address = self.http_address(node);
        eventually("the node is ready", || async {
            let request = new_request(Method::Get, address, "/ready").ok()?;
            let response = pool.send(address, request).await.ok()?;
            (response.status() == StatusCode::Ok).then_some(())
        })
        .await;
    }

    fn take(&mut self, node: NodeId) -> Daemon {
        self.running.remove(&node).expect("the node runs")
    }
}

/// Starts an executor whose threads end with the test process.
pub fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..THREADS {
        let executor = executor.clone();
        thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
    }
    executor
}
