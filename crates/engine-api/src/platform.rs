//! The platform's lagging list of live and leaving machines.

use molespan_types::{BackendId, Incarnation, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// What a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A model engine.
    Engine,
    /// A plain application back end.
    Application,
}

/// What the platform last knew of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to go; must receive no new work.
    Leaving,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Stable number.
    pub id: BackendId,
    /// Life of the machine, as far as the platform knows.
    pub incarnation: Incarnation,
    /// What it runs.
    pub kind: MachineKind,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Where it stands.
    pub zone: ZoneName,
    /// Service it is meant for.
    pub service: ServiceName,
    /// State.
    pub state: MachineState,
}

/// Answer of `GET /machines`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Rises with changes; may go back, since the list lags.
    pub revision: u64,
    /// The machines; one that is missing is gone.
    pub machines: Vec<Machine>,
}
