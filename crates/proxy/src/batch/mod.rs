//! Batch jobs: taken and read for callers, and run on idle engines.

mod api;
mod item;
mod runner;

pub(crate) use api::{call, submit};
pub(crate) use runner::run;
