//! Control nodes.

mod api;
mod change_log;
mod dialect;
mod hub;
mod node;
mod registry;
mod relay;
mod streams;

pub use dialect::{CallError, ControlCall, ControlDialect, ControlOutcome, EngineHeartbeat};
pub use hub::Hub;
pub use node::{ControlNode, ControlOptions};
pub use registry::Registry;
