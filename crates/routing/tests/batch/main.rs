//! Tests of the batch owner: leases, preemption and hand-over.

mod harness;
mod leases;
mod model;
mod preemption;
