//! Hollow processes: the real cores, many to a process.

mod cluster;
mod counting_disk;
mod replica_thread;

pub use cluster::{Cluster, ClusterUse, Proposal};
pub use counting_disk::CountingDisk;
