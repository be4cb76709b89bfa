//! The molespand daemon: gateway and replica roles composed.

pub mod cluster;
pub mod gateway;
