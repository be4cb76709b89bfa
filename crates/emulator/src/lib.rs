//! Emulated engines, application back ends, platform list and weight store, with
//! fault injection for every failure they can exhibit.
//!
//! The engine is a sans-IO core in [`engine`], which the simulator also drives.
//! [`fleet`] starts all emulated services of a fleet in one process.

pub mod application;
pub mod engine;
pub mod engine_server;
pub mod faults;
pub mod fleet;
pub mod platform;
pub mod server;
pub mod switch_api;
pub mod weight_store;

pub use engine::expected_answer;
pub use fleet::{Fleet, FleetSettings};

/// Path prefix of the control and inspection endpoints of every emulated service.
pub const EMULATOR_PATH: &str = "/emulator/";
