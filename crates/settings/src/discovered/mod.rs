//! Settings of a node that discovers its cluster through seed addresses.

mod model;
mod read;

pub use model::{
    BatchSettings, ClusterSeeds, DiscoveredNode, DiscoveredSettings, Purpose, StopSettings,
    TenantSettings, TimingSettings, ToleranceSettings,
};
