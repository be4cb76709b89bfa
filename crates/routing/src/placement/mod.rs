//! Which engine should load what: from the configuration and the directory to
//! fenced orders.
//!
//! Each step issues a few orders at most and waits until reports show their
//! effect, so that the weight store's rate limit is kept and a wrong choice
//! stays small. Never given:
//! - an order that takes the last ready copy of a model out of service;
//! - a second order to an engine that has one outstanding;
//! - more loads at once than the weight store is allowed.

mod message;
mod planner;
mod wanted;

pub use message::{EngineState, PlacementDecision, PlacementReason, PlacementSettings};
pub use planner::PlacementPlanner;
