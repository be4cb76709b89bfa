//! The scale experiment: steps the size of the fleet, measures what each role
//! needs, and fits the slopes that `docs/CAPACITY.md` is worked out from.
//!
//! Each experiment runs in a process of its own, one after the other, so that
//! memory and processor time of one do not show up in another.

pub mod capacity;
pub mod clock;
mod error;
mod experiments;
pub mod fit;
pub mod fleet;
mod hollow;
mod plot;
mod record;
pub mod report;
mod run;

pub use error::ScaleError;
pub use record::{Point, Recorder};
pub use run::{ScaleOptions, run};
