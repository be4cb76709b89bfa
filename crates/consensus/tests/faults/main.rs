//! A group under faults: messages, disks, restarts, members, reads, elections.

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
