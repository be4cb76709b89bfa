//! Hollow processes: the real cores, many to a process.

mod cluster;
mod cluster_use;
mod counting_disk;
mod node;
mod replica_addresses;
mod replica_thread;
mod roles;

pub use cluster::{Cluster, Proposal};
pub use cluster_use::ClusterUse;
pub use counting_disk::CountingDisk;
pub use node::HollowNode;
pub use replica_addresses::ReplicaAddresses;
pub use roles::{REPLICA_THREADS, Roles, named_threads};
