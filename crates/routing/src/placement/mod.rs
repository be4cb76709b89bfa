//! Model placement: derives fenced orders to engines from the configuration and
//! the engine directory.
//!
//! Each step proposes a few orders at most and waits until reports show their
//! effect, which respects the rate limit of the weight store and bounds the damage
//! of a wrong choice. The planner never proposes:
//! - an order that takes the last ready copy of a model out of service;
//! - a second order to an engine that has one outstanding;
//! - more concurrent loads than the weight store allows.

mod message;
mod planner;
mod wanted;

pub use message::{EngineState, PlacementDecision, PlacementReason, PlacementSettings};
pub use planner::PlacementPlanner;
