//! Settings and their defaults.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;
use molespan_types::ZoneName;

use crate::finding::Findings;
use crate::model::{LogSettings, unreadable};

/// Purpose of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Purpose {
    /// Accepts requests from callers.
    #[display("gateway")]
    Gateway,
    /// Is a replica of the control group.
    #[display("control")]
    Control,
    /// Stores batch jobs.
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

/// Settings of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredNode {
    /// Name shown to operators.
    pub name: String,
    /// Purpose of the node.
    pub purpose: Purpose,
    /// Zone of the node.
    pub zone: ZoneName,
    /// IP address, which also identifies the node in the cluster.
    pub address: Ipv4Addr,
    /// Port on which gateways and control nodes listen for other nodes.
    pub internal_port: u16,
    /// Port on which stores listen for other nodes. It must differ from
    /// `internal_port`, so that a store and a control node can share a machine.
    pub store_port: u16,
    /// Address on which a gateway listens for callers; gateways only.
    pub caller_address: Option<SocketAddr>,
    /// Address of the readiness check; gateways only.
    pub readiness_address: Option<SocketAddr>,
    /// Address on which a control node listens for engines and operators; control
    /// nodes only.
    pub control_address: Option<SocketAddr>,
    /// Memory limit of the process in MB; a store limits its log to a fraction of
    /// it.
    pub memory_mb: Option<u32>,
    /// Folder for persistent data; not used by gateways.
    pub data_folder: Option<PathBuf>,
}

/// How the cluster is discovered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterSeeds {
    /// Addresses on which control nodes listen for engines and operators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time with blank disks, so that the
    /// seeds create the control group.
    pub first_start: bool,
}

/// Failures that the cluster tolerates at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToleranceSettings {
    /// Number of machines with a disk that may be lost.
    pub machines: u32,
}

/// Heartbeat interval and retention time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Interval between heartbeats of an engine.
    pub engine_heartbeat: Duration,
    /// How long jobs are kept after their submission.
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

/// Time limits of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Maximum time from the signal to the exit of the process.
    pub within: Duration,
    /// Time between becoming unready and closing idle connections.
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

/// Settings of tenants' API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantSettings {
    /// Whether a gateway that may have missed the revocation of a key rejects requests
    /// that need one. Otherwise it accepts the keys that it last received.
    pub fail_closed: bool,
    /// Maximum time from the revocation of a key until it is rejected.
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

/// Settings of batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Maximum time after the acknowledged end of a job until none of its items
    /// is sent to an engine any more.
    pub withdrawn_within: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            withdrawn_within: Duration::from_secs(3),
        }
    }
}

/// The settings of a node that discovers its cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveredSettings {
    /// This node.
    pub node: DiscoveredNode,
    /// How the cluster is discovered.
    pub cluster: ClusterSeeds,
    /// Failures that the cluster tolerates at the same time.
    pub tolerance: ToleranceSettings,
    /// Heartbeat interval and retention time.
    pub timing: TimingSettings,
    /// Time limits of a planned stop.
    pub stop: StopSettings,
    /// API keys of tenants.
    pub tenants: TenantSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
    /// Log.
    pub log: LogSettings,
}

impl DiscoveredSettings {
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
        super::read::parse(text)
    }
}
