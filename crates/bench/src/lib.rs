//! Load generator and experiment runner.
//!
//! [`run`] drives a fleet of real processes under load.

pub mod error;
pub mod run;

pub use error::BenchError;
