//! The replica role: a thread that drives the replicated groups, and the service
//! around it.
//!
//! The thread owns the disk and all groups; other tasks send it orders
//! over a bounded queue. It accepts all queued orders before each poll of the core,
//! so that a single sync of the log covers them all.

mod driver;
mod feed;
mod heartbeats;
mod leaders;
mod metrics;
mod options;
mod orders;
mod outbox;
mod reporter;
mod role;
mod service;
mod versions;

pub use options::{DiscoveryOptions, ReplicaContext, ReplicaOptions, ReplicaPeer};
pub use role::{HandOver, ReplicaRole};
