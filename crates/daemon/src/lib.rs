//! The molespan daemon: the gateway and replica roles of a node.

mod error;
pub mod incarnation;
pub mod replica;
pub mod wall_clock;

pub use error::DaemonError;
