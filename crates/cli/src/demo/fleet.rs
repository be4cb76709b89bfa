//! Fleet of the demo: emulated back ends, replicas and gateways.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Executor;
use async_io::block_on;
use molespan_daemon::node::Node;
use molespan_emulator::{Fleet, FleetSettings};
use molespan_engine_api::MachineKind;
use molespan_settings::{LogFormat, LogLevel, NodeSettings, Peer, Role, Settings};
use molespan_telemetry::Log;
use molespan_types::{NodeId, ZoneName};
use slog::Logger;
use tempfile::TempDir;

use super::guide::Guide;
use super::ports::free_addresses;
use crate::client::Client;
use crate::error::CliError;

/// Number of nodes per role: one per zone.
const NODES_PER_ROLE: usize = 3;
/// Number of groups that jobs are sharded over.
const JOB_GROUPS: u32 = 2;
/// Number of threads that run the fleet.
const THREADS: usize = 4;
/// Heartbeat interval and duration of the ownership lease of an engine. Both are
/// shorter than the defaults: a new cluster waits for one lease duration before its
/// gateways own engines, because an earlier owner may still hold a lease.
const HEARTBEAT: Duration = Duration::from_millis(250);
const OWNER_LEASE: Duration = Duration::from_secs(1);
/// Lag of the platform's machine list, in milliseconds.
const PLATFORM_LAG_MS: u64 = 500;

/// Threads that run an executor until this value is dropped.
struct Threads {
    _stop: Sender<()>,
}

impl Threads {
    fn start(executor: &Arc<Executor<'static>>) -> io::Result<Self> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for number in 0..THREADS {
            let executor = executor.clone();
            let stopped = stopped.clone();
            let serve = move || {
                // `recv` returns an error once the sender is dropped.
                let _ = block_on(executor.run(stopped.recv()));
            };
            let name = format!("demo-{number}");
            thread::Builder::new().name(name).spawn(serve)?;
        }
        Ok(Self { _stop: stop })
    }
}

/// A running node.
#[derive(Debug)]
pub(super) struct DemoNode {
    pub(super) name: String,
    pub(super) node: Node,
}

/// A fleet that runs in this process on the loopback interface. Its files are
/// removed on drop.
pub struct DemoFleet {
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) gateways: Vec<DemoNode>,
    pub(super) replicas: Vec<DemoNode>,
    pub(super) back_ends: Fleet,
    pub(super) started: Instant,
    _threads: Threads,
    _log: Log,
    folder: TempDir,
}

impl std::fmt::Debug for DemoFleet {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("DemoFleet")
            .field("gateways", &self.gateways)
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

impl DemoFleet {
    /// Starts emulated back ends, replicas and gateways. The nodes are listening
    /// when this returns.
    ///
    /// # Errors
    /// Fails if a file, address or thread cannot be created, or a node does not start.
    pub fn start() -> Result<Self, CliError> {
        let started = Instant::now();
        let executor = Arc::new(Executor::new());
        let threads = Threads::start(&executor)?;
        let log = Log::to_stderr(LogFormat::Terminal, LogLevel::Error);
        let back_end_settings = FleetSettings {
            platform_lag_ms: PLATFORM_LAG_MS,
            ..FleetSettings::archive()
        };
        let back_ends = Fleet::start(&executor, &back_end_settings)?;
        let folder = TempDir::with_prefix("molespan-demo-")?;
        let mut plans = node_settings(folder.path(), &back_ends)?.into_iter();
        let replicas = start_nodes(&mut plans, &executor, &log.logger)?;
        let gateways = start_nodes(&mut plans, &executor, &log.logger)?;
        Ok(Self {
            executor,
            gateways,
            replicas,
            back_ends,
            started,
            _threads: threads,
            _log: log,
            folder,
        })
    }

    /// Prints the members of the fleet and their addresses.
    pub(super) fn describe(&self, guide: &mut Guide<'_>) {
        let members = &self.back_ends.members;
        let engines = members
            .iter()
            .filter(|member| member.machine.kind == MachineKind::Engine)
            .count();
        guide.print(format!(
            "{engines} emulated engines and {} application back ends stand in {NODES_PER_ROLE} zones",
            members.len() - engines
        ));
        guide.print(format!(
            "{} replicas hold the state on synced disks below {}",
            self.replicas.len(),
            self.folder.path().display()
        ));
        for gateway in &self.gateways {
            guide.print(format!(
                "{} takes requests at http://{}",
                gateway.name,
                gateway.node.http_address()
            ));
        }
    }

    /// Returns the HTTP addresses of the gateways.
    #[must_use]
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.iter();
        gateways
            .map(|gateway| gateway.node.http_address())
            .collect()
    }

    /// Returns the HTTP addresses of all nodes, replicas first.
    #[must_use]
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.replicas.iter().chain(&self.gateways);
        nodes.map(|node| node.node.http_address()).collect()
    }

    /// Creates a client of all gateways.
    pub(super) fn client(&self) -> Client {
        Client::new(self.gateway_addresses())
    }

    /// Creates a client of one gateway; `number` wraps around.
    pub(super) fn client_of(&self, number: usize) -> Client {
        let addresses = self.gateway_addresses();
        Client::new(vec![addresses[number % addresses.len()]])
    }
}

/// Starts the nodes of one role: the next `NODES_PER_ROLE` settings.
fn start_nodes(
    plans: &mut impl Iterator<Item = Settings>,
    executor: &Arc<Executor<'static>>,
    logger: &Logger,
) -> Result<Vec<DemoNode>, CliError> {
    let mut nodes = Vec::new();
    for settings in plans.take(NODES_PER_ROLE) {
        let node = Node::start(&settings, executor, logger);
        let name = settings.node.name;
        let node =
            node.map_err(|error| CliError::Failed(format!("{name} did not start: {error}")))?;
        nodes.push(DemoNode { name, node });
    }
    Ok(nodes)
}

/// Writes the settings files and returns the settings read back from them, first
/// of the replicas, then of the gateways.
fn node_settings(folder: &Path, back_ends: &Fleet) -> Result<Vec<Settings>, CliError> {
    let zones = FleetSettings::archive().zones;
    let addresses = free_addresses(2 * NODES_PER_ROLE)?;
    let roles = [Role::Replica, Role::Gateway];
    let mut nodes = Vec::new();
    for (number, internal_address) in addresses.into_iter().enumerate() {
        let role = roles[number / NODES_PER_ROLE];
        let zone = zones[number % zones.len()].clone();
        nodes.push(node(folder, number, role, zone, internal_address));
    }
    let peers: Vec<Peer> = nodes
        .iter()
        .map(|node| Settings::new(node.clone()).as_peer())
        .collect();
    nodes
        .into_iter()
        .map(|node| write_settings(folder, node, &peers, back_ends))
        .collect()
}

fn node(
    folder: &Path,
    number: usize,
    role: Role,
    zone: ZoneName,
    internal_address: SocketAddr,
) -> NodeSettings {
    let name = format!("{role}-{zone}");
    NodeSettings {
        id: NodeId(1 + number as u32),
        data_folder: folder.join(&name),
        name,
        zone,
        roles: vec![role],
        http_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        internal_address,
    }
}

fn write_settings(
    folder: &Path,
    node: NodeSettings,
    peers: &[Peer],
    back_ends: &Fleet,
) -> Result<Settings, CliError> {
    let file = folder.join(format!("{}.toml", node.name));
    let mut settings = Settings::new(node);
    settings.cluster.job_groups = JOB_GROUPS;
    settings.peers = peers.to_vec();
    settings.platform.list_address = Some(back_ends.platform_address);
    settings.platform.weight_store_address = Some(back_ends.weights_address);
    settings.timing.heartbeat = HEARTBEAT;
    settings.timing.owner_lease = OWNER_LEASE;
    settings.timing.drain.unready_wait = Duration::from_millis(300);
    settings.timing.drain.finish_within = Duration::from_secs(10);
    fs::write(&file, settings.to_toml())?;
    Settings::load(&file).map_err(|findings| CliError::Failed(findings.to_string()))
}
