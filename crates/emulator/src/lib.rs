//! Stand-ins for engines, application back ends, the platform list and the
//! weight store, with a switch for every failure they can show.

pub mod engine;
pub mod faults;
