//! Membership and health of the machines that serve requests, merged from the platform
//! list, reports and probes.
//!
//! This crate does no I/O: callers pass in the time and act on the returned values. It
//! uses no clock, socket or random numbers.

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
