//! Batch jobs: submission and reading for callers, and running their items on idle engines.

mod api;
mod capacity;
mod item;
mod preemption;
mod runner;
mod turn;

pub(crate) use api::{call, submit};
pub(crate) use preemption::{BatchRuns, preempt_batch_runs};
pub(crate) use runner::run;
pub(crate) use turn::Turns;
