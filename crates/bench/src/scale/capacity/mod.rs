//! What each role needs at the size that the design is meant for, worked out
//! from measured slopes. `docs/CAPACITY.md` shows the tables that come from
//! here, and a test compares them.

mod events;
mod gateway;
mod inputs;
mod loads;
mod replicas;
mod size;
mod table;

pub use inputs::{Inputs, InputsError, RunRecord};
pub use size::{Budget, LETTER, Size};
pub use table::{Table, tables};
