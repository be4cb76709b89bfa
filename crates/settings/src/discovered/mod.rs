//! Settings of a node whose cluster is found from a few seeds.

mod model;
mod read;

pub use model::{
    BatchSettings, ClusterSeeds, DiscoveredNode, DiscoveredSettings, Purpose, StopSettings,
    TenantSettings, TimingSettings, ToleranceSettings,
};
