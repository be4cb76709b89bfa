//! The platform's list of live and leaving machines, which may be out of date.

use molespan_types::{BackendId, Incarnation, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Kind of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A model engine.
    Engine,
    /// An application back end.
    Application,
}

/// State of a machine, as last observed by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to leave; must receive no new work.
    Leaving,
}

/// A machine in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Stable number.
    pub id: BackendId,
    /// Incarnation of the machine, as last observed by the platform.
    pub incarnation: Incarnation,
    /// Kind of the machine.
    pub kind: MachineKind,
    /// `IP:port` of the HTTP interface.
    pub address: String,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Service that the machine is assigned to.
    pub service: ServiceName,
    /// State of the machine.
    pub state: MachineState,
}

/// Response of `GET /machines`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Increases with changes, but may also decrease, since the list can be out of date.
    pub revision: u64,
    /// The machines. A machine that is not listed no longer exists.
    pub machines: Vec<Machine>,
}
