//! Stand-ins for engines, application back ends, the platform list and the
//! weight store, with a switch for every failure they can show.
//!
//! The engine is a sans-IO core in [`engine`], which the simulator drives as
//! well. [`fleet`] starts all stand-ins of a fleet within one process.

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

/// Prefix of the switches and checks of every stand-in.
pub const EMULATOR_PATH: &str = "/emulator/";
