//! The load: arrival times, prompts and the callers.

pub mod batch;
pub mod call;
pub mod caller;
pub mod job_client;
pub mod online;
pub mod prompts;
pub mod schedule;
pub mod steering;
