//! Load generator, experiment runner and scale experiment.
//!
//! [`run`] drives a fleet of real processes under load; [`scale`] steps the
//! size of a hollow fleet and fits what each part costs.

pub mod error;
pub mod run;
pub mod scale;

pub use error::BenchError;
