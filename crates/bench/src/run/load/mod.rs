//! Load generator: arrival times, prompts and callers.

pub mod batch;
pub mod call;
pub mod caller;
pub mod job_client;
pub mod online;
pub mod prompts;
pub mod schedule;
pub mod steering;
