//! Which machines serve, merged from the platform list, reports and probes.
//!
//! Everything here is pure: callers pass the time in, and decisions come out
//! as values. Neither a clock nor a socket nor a random number is used.

pub mod directory;
mod drain;
mod gateway_set;
mod ownership;
pub mod rendezvous;
mod subset;

pub use directory::{
    Backend, BackendReport, BackendState, ChangeReason, Directory, DirectoryInput, DirectoryOutput,
    DirectorySettings, Loaded, StateChange, WorkResult,
};
pub use drain::{DrainInput, DrainOutput, DrainPhase, DrainPlan, DrainSettings};
pub use gateway_set::{GatewayRecord, GatewaySet, GatewaySetSettings};
pub use ownership::{Ownership, OwnershipChange, OwnershipSettings, STOP_SHARE};
pub use subset::{SubsetBackend, SubsetSettings, subset};
