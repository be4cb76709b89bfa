//! The batch owner: leases, preemption, hand-over.

mod harness;
mod leases;
mod model;
mod preemption;
