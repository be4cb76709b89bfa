//! Tests of a group under faults of network, disks and processes.

mod agreement;
mod checker;
mod cluster;
mod contradiction;
mod elections;
mod flow;
mod members;
mod network;
mod node;
mod reads;
mod snapshots;
