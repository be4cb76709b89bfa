//! Settings and their defaults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;
use molespan_telemetry::{LogFormat, LogLevel};
use molespan_types::{NodeId, ZoneName};

use crate::finding::{Finding, Findings};

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * KIBIBYTE;

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Role {
    /// Accepts requests from callers and operators.
    #[display("gateway")]
    Gateway,
    /// Stores replicated state.
    #[display("replica")]
    Replica,
}

/// Settings of this node: `[node]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Number, unique among the nodes of the cluster, from 1.
    pub id: NodeId,
    /// Human-readable name; defaults to `node-ID`.
    pub name: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Roles of the node; at least one.
    pub roles: Vec<Role>,
    /// Address on which it listens for callers and operators. Port 0 selects a free
    /// port.
    pub http_address: SocketAddr,
    /// Address on which it listens for other nodes. Replicas need a fixed port.
    pub internal_address: SocketAddr,
    /// Folder for all data that must survive a restart.
    pub data_folder: PathBuf,
}

/// Settings that must be the same on all nodes: `[cluster]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Number of groups among which jobs are divided. Must not change once jobs were
    /// accepted.
    pub job_groups: u32,
    /// Number of replicas of each group: 1, 3, 5 or 7.
    pub replicas: u32,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            job_groups: 4,
            replicas: 3,
        }
    }
}

/// Another node: `[[peers]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Number of the node.
    pub id: NodeId,
    /// Human-readable name.
    pub name: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address on which it listens for other nodes.
    pub internal_address: SocketAddr,
    /// Roles of the node.
    pub roles: Vec<Role>,
}

/// Services of the platform: `[platform]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the list of live and leaving machines; required for gateways.
    pub list_address: Option<SocketAddr>,
    /// Interval between polls of the list.
    pub list_poll: Duration,
    /// Address of the weight store; without it no weights are loaded.
    pub weight_store_address: Option<SocketAddr>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            list_address: None,
            list_poll: Duration::from_millis(500),
            weight_store_address: None,
        }
    }
}

/// Limits on memory, disk and load: `[limits]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of HTTP connections.
    pub max_connections: u32,
    /// Maximum length of a request body in bytes, except for jobs.
    pub max_body_bytes: u64,
    /// Maximum length of the body of a job in bytes.
    pub max_job_bytes: u64,
    /// Maximum number of items of a job.
    pub max_job_items: u32,
    /// Maximum total size of request bodies in memory, in bytes.
    pub max_buffered_bytes: u64,
    /// Number of decision events kept for subscribers.
    pub event_buffer: u32,
    /// Rate limit in online requests per second for a tenant without its own limits.
    pub tenant_requests_per_second: u32,
    /// Burst of requests above that rate for such a tenant.
    pub tenant_burst: u32,
    /// Maximum number of requests of such a tenant in flight or queued at one gateway.
    pub tenant_concurrency: u32,
    /// Size in bytes at which a log segment is closed.
    pub log_segment_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_body_bytes: 4 * MEBIBYTE,
            max_job_bytes: 256 * MEBIBYTE,
            max_job_items: 110_000,
            max_buffered_bytes: 512 * MEBIBYTE,
            event_buffer: 8192,
            tenant_requests_per_second: 200,
            tenant_burst: 400,
            tenant_concurrency: 512,
            log_segment_bytes: 16 * MEBIBYTE,
        }
    }
}

/// Time limits of a planned stop: `[timing.drain]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time between becoming unready and accepting no more requests.
    pub unready_wait: Duration,
    /// Time limit for requests in flight to finish; unfinished ones are reported.
    pub finish_within: Duration,
    /// Time limit for handing over leases and leadership.
    pub hand_over_within: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            unready_wait: Duration::from_secs(2),
            finish_within: Duration::from_secs(60),
            hand_over_within: Duration::from_secs(5),
        }
    }
}

/// Intervals, leases and timeouts: `[timing]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Duration of a lease on items, after which the items of a failed owner are
    /// leased to another one.
    pub lease: Duration,
    /// Duration of a gateway's lease on the batch work of an engine.
    pub owner_lease: Duration,
    /// A node that has not confirmed its configuration for this long becomes
    /// unready and rejects new work as not run.
    pub currency_bound: Duration,
    /// Maximum duration of a watch request for the configuration.
    pub config_watch: Duration,
    /// Interval between heartbeats of a gateway to the control group.
    pub heartbeat: Duration,
    /// Interval between ticks of a consensus group.
    pub tick: Duration,
    /// A follower that receives nothing from a leader for this long starts an
    /// election.
    pub election_timeout: Duration,
    /// Interval between polls of an engine's load by its owner.
    pub load_poll: Duration,
    /// Timeout for connecting to a back end or node.
    pub connect_timeout: Duration,
    /// Timeout until the response of a back end to an online request begins.
    pub response_timeout: Duration,
    /// How long an online response may stall.
    pub stall_timeout: Duration,
    /// How long a batch response may stall, which includes being held back.
    pub batch_stall_timeout: Duration,
    /// How long a claim on a non-repeatable request may stay open before its
    /// outcome is recorded as unknown.
    pub claim_timeout: Duration,
    /// Time limits of a planned stop.
    pub drain: DrainSettings,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            owner_lease: Duration::from_secs(3),
            currency_bound: Duration::from_secs(8),
            config_watch: Duration::from_secs(2),
            heartbeat: Duration::from_secs(1),
            tick: Duration::from_millis(50),
            election_timeout: Duration::from_millis(500),
            load_poll: Duration::from_millis(100),
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(10),
            batch_stall_timeout: Duration::from_secs(300),
            claim_timeout: Duration::from_secs(600),
            drain: DrainSettings::default(),
        }
    }
}

/// Settings of the log on standard error: `[log]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum level of the lines that are logged.
    pub level: LogLevel,
    /// Format of the lines.
    pub format: LogFormat,
}

/// How batch work is preempted by online work. All variants but the first are
/// baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum Preemption {
    /// Holds batch streams back as soon as online work arrives.
    #[default]
    #[display("on-arrival")]
    OnArrival,
    /// Holds nothing back, but marks batch work as such for the engines.
    #[display("engine-priority-only")]
    EnginePriorityOnly,
    /// Holds nothing back, and sends batch work to engines as online work.
    #[display("none")]
    None,
}

/// How a gateway chooses the engine of an online request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum EngineChoice {
    /// By zone, prefix affinity and the better of two engines.
    #[default]
    #[display("affinity")]
    Affinity,
    /// By zone and the better of two engines, without affinity.
    #[display("better-of-two")]
    BetterOfTwo,
    /// Round robin; a baseline for measurements.
    #[display("round-robin")]
    RoundRobin,
    /// The engine with the lowest load in its last report; a baseline for measurements.
    #[display("least-reported")]
    LeastReported,
}

/// Policies of this node: `[policy]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicySettings {
    /// Overrides the value in the configuration: 0 maximizes batch throughput, 100
    /// protects the tail latency of online requests above all.
    pub tail_protection: Option<u8>,
    /// How batch work is preempted by online work.
    pub preemption: Preemption,
    /// How the engine of an online request is chosen.
    pub engine_choice: EngineChoice,
}

/// The settings of a `molespand` process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This node.
    pub node: NodeSettings,
    /// Settings that must be the same on all nodes.
    pub cluster: ClusterSettings,
    /// The other nodes, sorted by number.
    pub peers: Vec<Peer>,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Limits on memory, disk and load.
    pub limits: LimitSettings,
    /// Intervals, leases and timeouts.
    pub timing: TimingSettings,
    /// Log.
    pub log: LogSettings,
    /// Policies of this node.
    pub policy: PolicySettings,
}

impl Settings {
    /// Creates settings of `node` with defaults for everything else.
    #[must_use]
    pub fn new(node: NodeSettings) -> Self {
        Self {
            node,
            cluster: ClusterSettings::default(),
            peers: Vec::new(),
            platform: PlatformSettings::default(),
            limits: LimitSettings::default(),
            timing: TimingSettings::default(),
            log: LogSettings::default(),
            policy: PolicySettings::default(),
        }
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// All findings of the file, or a single one when it cannot be read.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    /// All findings of the text.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        crate::read::parse(text)
    }

    /// Returns the text of a file that parses to these settings.
    #[must_use]
    pub fn to_toml(&self) -> String {
        crate::write::to_toml(self)
    }

    /// Whether this node has `role`.
    #[must_use]
    pub fn has_role(&self, role: Role) -> bool {
        self.node.roles.contains(&role)
    }

    /// Returns this node's entry in the peer list of other nodes.
    #[must_use]
    pub fn as_peer(&self) -> Peer {
        Peer {
            id: self.node.id,
            name: self.node.name.clone(),
            zone: self.node.zone.clone(),
            internal_address: self.node.internal_address,
            roles: self.node.roles.clone(),
        }
    }

    /// Returns all replicas of the cluster sorted by number, including this node
    /// if it is a replica.
    #[must_use]
    pub fn replicas(&self) -> Vec<Peer> {
        let mut nodes = self.peers.clone();
        nodes.push(self.as_peer());
        nodes.retain(|node| node.roles.contains(&Role::Replica));
        nodes.sort_by_key(|node| node.id);
        nodes
    }
}

pub(crate) fn unreadable(path: &Path, error: &std::io::Error) -> Findings {
    Findings::new(vec![Finding {
        line: None,
        key: String::new(),
        message: format!("{} cannot be read: {error}", path.display()),
    }])
}
