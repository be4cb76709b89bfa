//! What a fleet consists of.

use molespan_engine_api::WeightManifest;
use molespan_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use super::model_weights;
use crate::engine::EngineModel;

/// Size of a model's weights in the profiles.
const MODEL_BYTES: u64 = 400_000_000;
/// Size of an adapter's weights in the profiles.
const ADAPTER_BYTES: u64 = 20_000_000;

/// What a fleet consists of; missing keys are those of the archive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Zones; the back ends of a kind stand in them in turn.
    pub zones: Vec<ZoneName>,
    /// Number of engines.
    pub engines: u32,
    /// Service that the engines are meant for.
    pub service: ServiceName,
    /// Model that every engine has ready from the start.
    pub model: String,
    /// Costs and limits of an engine.
    pub engine: EngineModel,
    /// Number of application back ends.
    pub applications: u32,
    /// Service that they are meant for.
    pub application_service: ServiceName,
    /// Requests that an application back end works on at a time.
    pub application_capacity: u32,
    /// Time that a request takes there, in microseconds.
    pub application_micros: u64,
    /// First port: the platform list, then the weight store, engines and
    /// application back ends. 0 takes free ones.
    pub first_port: u16,
    /// Network delay of a back end, one way, in microseconds.
    pub one_way_micros: u64,
    /// Delay before a change of the machine list is visible, in milliseconds.
    pub platform_lag_ms: u64,
    /// What the weight store holds.
    pub weights: Vec<WeightManifest>,
    /// Rate limit of the weight store.
    pub store_bytes_per_second: u64,
    /// Bytes that the weight store grants at once after a rest.
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
    /// The archive's fleet of today: 8 engines and 3 application back ends.
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

    /// The lab library's fleet of today: 13 engines and 3 application back ends.
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

    /// The fleet of that name: `archive` or `lab`.
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
