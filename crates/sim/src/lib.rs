//! Runs the decision cores under virtual time, with a simulated network, simulated
//! disks, seeded faults, and checkers for every guarantee.
//!
//! A run is determined by its [`scenario::Scenario`] alone, which is drawn from a
//! seed: participants, clocks, faults and work. [`world::World`] processes events
//! in the order of virtual time. Afterwards [`checkers`] verify what callers,
//! operators and engines observed.

pub mod address;
mod apply;
pub mod checkers;
mod client;
pub mod clock;
pub mod context;
mod engine_node;
pub mod event;
pub mod fault;
mod gateway;
mod group_client;
pub mod history;
pub mod message;
pub mod mutation;
pub mod network;
mod node;
mod operator;
mod platform_node;
mod replica_node;
pub mod report;
pub mod run;
pub mod scenario;
pub mod shrink;
pub mod workload;
pub mod world;
