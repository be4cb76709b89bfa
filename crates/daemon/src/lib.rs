//! The molespan daemon: the gateway and replica roles of a node.

pub mod boot_clock;
pub mod cluster;
mod error;
mod event_stream;
mod folder_lock;
pub mod gateway;
pub mod incarnation;
pub mod local_transport;
pub mod node;
mod peer_handler;
mod registration;
pub mod replica;
mod status_server;
pub mod wall_clock;

pub use error::DaemonError;
