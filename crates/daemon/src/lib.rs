//! The molespan daemon: the gateway and replica roles of a node.

pub mod cluster;
mod error;
pub mod gateway;
pub mod incarnation;
pub mod replica;
pub mod wall_clock;

pub use error::DaemonError;
