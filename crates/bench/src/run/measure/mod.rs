//! What is measured beside the callers' own times.

pub mod engines;
pub mod latency;
pub mod machine;
