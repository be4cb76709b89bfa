//! The replica role: a thread that drives the groups, and the service around
//! it.
//!
//! The thread owns the disk and all groups; everything else hands it orders
//! over a bounded queue. It takes in whatever has queued up and then works
//! once, so that one sync of the log serves them all.

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
