//! Measurements other than the callers' times: engines, latency statistics and the machine.

pub mod engines;
pub mod latency;
pub mod machine;
