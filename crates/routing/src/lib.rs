//! Admission, rate limits, queueing, engine choice, retries, batch ownership and preemption.
//!
//! Every module is a pure state machine without I/O: callers pass the time in and carry
//! out the outputs. Random choices use a generator seeded by the caller.

pub mod admission;
pub mod batch;
mod decay;
pub mod dispatch;
pub mod isolation;
pub mod pick;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod readiness;
pub mod renewal;
pub mod retry;
pub mod streams;
pub mod subset;
pub mod suspects;
