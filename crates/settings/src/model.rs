//! The settings and their defaults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;
use molespan_telemetry::{LogFormat, LogLevel};
use molespan_types::{NodeId, ZoneName};

use crate::finding::{Finding, Findings};

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * KIBIBYTE;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Role {
    /// Takes requests of callers and operators.
    #[display("gateway")]
    Gateway,
    /// Holds replicated state.
    #[display("replica")]
    Replica,
}

/// This node: `[node]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Number, unique among the nodes of the cluster, from 1.
    pub id: NodeId,
    /// Name for people; `node-ID` unless given.
    pub name: String,
    /// Zone that it stands in.
    pub zone: ZoneName,
    /// What it does; at least one role.
    pub roles: Vec<Role>,
    /// Where it listens for callers and operators. Port 0 takes a free one.
    pub http_address: SocketAddr,
    /// Where it listens for other nodes. Replicas need a fixed port.
    pub internal_address: SocketAddr,
    /// Folder of everything that must survive a restart.
    pub data_folder: PathBuf,
}

/// What all nodes must agree on: `[cluster]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Groups that jobs are divided over. Fixed once jobs were accepted.
    pub job_groups: u32,
    /// Replicas that each group has: 1, 3, 5 or 7.
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
    /// Its number.
    pub id: NodeId,
    /// Its name for people.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens for other nodes.
    pub internal_address: SocketAddr,
    /// What it does.
    pub roles: Vec<Role>,
}

/// What the platform offers: `[platform]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// List of live and leaving machines; gateways need it.
    pub list_address: Option<SocketAddr>,
    /// Time between two readings of the list.
    pub list_poll: Duration,
    /// Weight store; without it no weights are loaded.
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

/// Bounds of memory, disk and work: `[limits]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Most HTTP connections.
    pub max_connections: u32,
    /// Longest request body in bytes, except of a job.
    pub max_body_bytes: u64,
    /// Longest body of a job in bytes.
    pub max_job_bytes: u64,
    /// Most items of a job.
    pub max_job_items: u32,
    /// Bytes of request bodies in memory together.
    pub max_buffered_bytes: u64,
    /// Decision events that are kept for watchers.
    pub event_buffer: u32,
    /// Online requests a second of a tenant without limits of its own.
    pub tenant_requests_per_second: u32,
    /// Requests that such a tenant may send at once above that rate.
    pub tenant_burst: u32,
    /// Requests of such a tenant in flight or queued at one gateway.
    pub tenant_concurrency: u32,
    /// Bytes after which a log segment is closed.
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

/// Bounds of a planned stop: `[timing.drain]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time between turning unready and taking no more requests.
    pub unready_wait: Duration,
    /// Time for requests in flight to finish; those left are reported.
    pub finish_within: Duration,
    /// Time to hand over leases and leadership.
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

/// Durations: `[timing]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Length of a lease on items. A lost owner's items go to another one
    /// after it.
    pub lease: Duration,
    /// Length of a gateway's ownership of an engine's batch work.
    pub owner_lease: Duration,
    /// A node that has not confirmed its configuration for this long turns
    /// unready and refuses new work as not run.
    pub currency_bound: Duration,
    /// Longest time that a watch of the configuration is held open.
    pub config_watch: Duration,
    /// Time between two heartbeats of a gateway to the control group.
    pub heartbeat: Duration,
    /// Time between two ticks of a consensus group.
    pub tick: Duration,
    /// A follower that heard no leader for this long asks for an election.
    pub election_timeout: Duration,
    /// Time between two readings of an engine's load by its owner.
    pub load_poll: Duration,
    /// Longest time to connect to a back end or node.
    pub connect_timeout: Duration,
    /// Longest time until an online answer of a back end begins.
    pub response_timeout: Duration,
    /// Longest silence within an online answer.
    pub stall_timeout: Duration,
    /// Longest silence within a batch answer, which may be held back.
    pub batch_stall_timeout: Duration,
    /// How long a claim on a non-repeatable request may stay open before it
    /// is settled as unknown.
    pub claim_timeout: Duration,
    /// Bounds of a planned stop.
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

/// Logs on standard error: `[log]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The least important level that is logged.
    pub level: LogLevel,
    /// How lines look.
    pub format: LogFormat,
}

/// How batch work makes way for online work. All but the first are baselines
/// for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum Preemption {
    /// Batch streams are held back as soon as online work arrives.
    #[default]
    #[display("on-arrival")]
    OnArrival,
    /// Nothing is held back; engines are told which work is batch work.
    #[display("engine-priority-only")]
    EnginePriorityOnly,
    /// Nothing is held back, and engines take batch work for online work.
    #[display("none")]
    None,
}

/// How a gateway chooses the engine of an online request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum EngineChoice {
    /// Zone, prefix affinity, better of two.
    #[default]
    #[display("affinity")]
    Affinity,
    /// Zone and better of two, without affinity.
    #[display("better-of-two")]
    BetterOfTwo,
    /// One after the other; a baseline for measurements.
    #[display("round-robin")]
    RoundRobin,
    /// The lowest last report; a baseline for measurements.
    #[display("least-reported")]
    LeastReported,
}

/// Ways in which this node decides: `[policy]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicySettings {
    /// Overrides the knob of the configuration: 0 fills engines with batch
    /// work, 100 guards the online tail above all.
    pub tail_protection: Option<u8>,
    /// How batch work makes way for online work.
    pub preemption: Preemption,
    /// How the engine of an online request is chosen.
    pub engine_choice: EngineChoice,
}

/// The settings of one `molespand`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This node.
    pub node: NodeSettings,
    /// What all nodes must agree on.
    pub cluster: ClusterSettings,
    /// The other nodes, in the order of their numbers.
    pub peers: Vec<Peer>,
    /// What the platform offers.
    pub platform: PlatformSettings,
    /// Bounds of memory, disk and work.
    pub limits: LimitSettings,
    /// Durations.
    pub timing: TimingSettings,
    /// Logs.
    pub log: LogSettings,
    /// Ways in which this node decides.
    pub policy: PolicySettings,
}

impl Settings {
    /// Settings of `node` with the defaults for the rest.
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
    /// Every fault of the file; one finding when it cannot be read at all.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
        Self::parse(&text)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        crate::read::parse(text)
    }

    /// The text of a file that reads back as these settings.
    #[must_use]
    pub fn to_toml(&self) -> String {
        crate::write::to_toml(self)
    }

    /// Whether this node has `role`.
    #[must_use]
    pub fn has_role(&self, role: Role) -> bool {
        self.node.roles.contains(&role)
    }

    /// This node as its peers see it.
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

    /// Every replica of the cluster in the order of their numbers, with this
    /// node where it is one.
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
