//! Settings of an emulated fleet.

use molespan_engine_api::WeightManifest;
use molespan_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use super::model_weights;
use crate::engine::EngineModel;

/// Size of a model's weights in the profiles, in bytes.
const MODEL_BYTES: u64 = 400_000_000;
/// Size of an adapter's weights in the profiles, in bytes.
const ADAPTER_BYTES: u64 = 20_000_000;

/// Settings of an emulated fleet; missing keys default to the archive profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Zones; back ends of each kind are assigned to them round-robin.
    pub zones: Vec<ZoneName>,
    /// Number of engines.
    pub engines: u32,
    /// Service of the engines.
    pub service: ServiceName,
    /// Model that every engine has loaded from the start.
    pub model: String,
    /// Costs and limits of each engine.
    pub engine: EngineModel,
    /// Number of application back ends.
    pub applications: u32,
    /// Service of the application back ends.
    pub application_service: ServiceName,
    /// Concurrency limit of each application back end.
    pub application_capacity: u32,
    /// Processing time of a request at an application back end, in microseconds.
    pub application_micros: u64,
    /// First port of a consecutive range for the platform list, the weight
    /// store, the engines and the application back ends. 0 selects free ports.
    pub first_port: u16,
    /// One-way network delay of the back ends, in microseconds.
    pub one_way_micros: u64,
    /// Delay before a change of the machine list becomes visible, in
    /// milliseconds.
    pub platform_lag_ms: u64,
    /// Contents of the weight store.
    pub weights: Vec<WeightManifest>,
    /// Rate limit of the weight store, in bytes per second.
    pub store_bytes_per_second: u64,
    /// Burst size of the weight store's rate limit, in bytes.
    pub store_burst_bytes: u64,
    /// Rate at which an engine loads weights, in bytes per second.
    pub load_bytes_per_second: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self::archive()
    }
}

impl FleetSettings {
    /// Returns the archive's current fleet: 8 engines and 3 application back
    /// ends.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            zones: zones(&["hall-1", "hall-2", "hall-3"]),
            engines: 8,
            service: ServiceName::from("caption"),
            model: "caption".to_owned(),
            engine: EngineModel::archive(),
            applications: 3,
            application_service: ServiceName::from("albums"),
            application_capacity: 64,
            application_micros: 3_000,
            first_port: 0,
            one_way_micros: 0,
            platform_lag_ms: 1_500,
            weights: vec![
                model_weights("caption", 2, MODEL_BYTES),
                model_weights("summary", 1, MODEL_BYTES),
                model_weights("amharic", 1, ADAPTER_BYTES),
            ],
            store_bytes_per_second: 400_000_000,
            store_burst_bytes: 800_000_000,
            load_bytes_per_second: 400_000_000,
            seed: 1,
        }
    }

    /// Returns the lab library's current fleet: 13 engines and 3 application
    /// back ends.
    #[must_use]
    pub fn lab() -> Self {
        Self {
            zones: zones(&["north", "centre", "south"]),
            engines: 13,
            service: ServiceName::from("tutor"),
            model: "tutor".to_owned(),
            engine: EngineModel::lab(),
            application_service: ServiceName::from("simulation"),
            application_capacity: 32,
            application_micros: 2_000,
            weights: vec![
                model_weights("tutor", 2, MODEL_BYTES),
                model_weights("marking", 1, MODEL_BYTES),
                model_weights("chemistry", 1, ADAPTER_BYTES),
            ],
            ..Self::archive()
        }
    }

    /// Returns the profile named `name`: `archive` or `lab`.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "archive" => Some(Self::archive()),
            "lab" => Some(Self::lab()),
            _ => None,
        }
    }
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(|name| ZoneName::from(*name)).collect()
}
