//! The settings and their defaults.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;
use molespan_types::ZoneName;

use crate::finding::Findings;
use crate::model::{LogSettings, unreadable};

/// What a node is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Purpose {
    /// It takes requests of callers.
    #[display("gateway")]
    Gateway,
    /// It holds the control group.
    #[display("control")]
    Control,
    /// It holds batch jobs.
    #[display("store")]
    Store,
}

impl std::str::FromStr for Purpose {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "gateway" => Ok(Self::Gateway),
            "control" => Ok(Self::Control),
            "store" => Ok(Self::Store),
            _ => Err(()),
        }
    }
}

/// This node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredNode {
    /// Name that operators use.
    pub name: String,
    /// What it is for.
    pub purpose: Purpose,
    /// Where it stands.
    pub zone: ZoneName,
    /// Its address, which names it among the nodes.
    pub address: Ipv4Addr,
    /// Port on which gateways and control nodes listen for other nodes.
    pub internal_port: u16,
    /// Port on which stores do; another one, so that a store and a control node
    /// can share a machine.
    pub store_port: u16,
    /// Where callers connect; only of a gateway.
    pub caller_address: Option<SocketAddr>,
    /// Where a gateway is asked whether it is ready.
    pub readiness_address: Option<SocketAddr>,
    /// Where engines and operators call; only of a control node.
    pub control_address: Option<SocketAddr>,
    /// Memory that the process may use, in MB; a store keeps its log within a
    /// part of it.
    pub memory_mb: Option<u32>,
    /// Folder of what must survive; not of a gateway.
    pub data_folder: Option<PathBuf>,
}

/// How the cluster is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterSeeds {
    /// Control addresses of control nodes.
    pub seeds: Vec<SocketAddr>,
    /// Whether every disk is blank for the first time, so that the seeds found
    /// the control group.
    pub first_start: bool,
}

/// What the cluster bears at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToleranceSettings {
    /// Machines with a disk that may be lost.
    pub machines: u32,
}

/// Durations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Time between two heartbeats of an engine.
    pub engine_heartbeat: Duration,
    /// Jobs are kept for this long after they were submitted.
    pub keep_jobs: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            engine_heartbeat: Duration::from_millis(1_200),
            keep_jobs: Duration::from_secs(300),
        }
    }
}

/// The planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest time from the signal to the end.
    pub within: Duration,
    /// Time between turning unready and closing idle connections.
    pub unready_wait: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            within: Duration::from_secs(8),
            unready_wait: Duration::from_secs(3),
        }
    }
}

/// Keys of tenants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantSettings {
    /// Whether a gateway that may have missed that a key was taken away refuses
    /// requests that need one; else it goes by the keys that it knows.
    pub fail_closed: bool,
    /// Time within which a key that was taken away is refused.
    pub revoked_within: Duration,
}

impl Default for TenantSettings {
    fn default() -> Self {
        Self {
            fail_closed: false,
            revoked_within: Duration::from_secs(5),
        }
    }
}

/// Batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Time behind the acknowledged end of a job from which on none of its items
    /// reaches an engine.
    pub withdrawn_within: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            withdrawn_within: Duration::from_secs(3),
        }
    }
}

/// All settings of such a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredSettings {
    /// This node.
    pub node: DiscoveredNode,
    /// How the cluster is found.
    pub cluster: ClusterSeeds,
    /// What the cluster bears at once.
    pub tolerance: ToleranceSettings,
    /// Durations.
    pub timing: TimingSettings,
    /// The planned stop.
    pub stop: StopSettings,
    /// Keys of tenants.
    pub tenants: TenantSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
    /// Logs.
    pub log: LogSettings,
}

impl DiscoveredSettings {
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
        super::read::parse(text)
    }
}
