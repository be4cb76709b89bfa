//! Logs, metrics and decision events.
//!
//! Every part of a process logs through a child of one root logger with its
//! name in front, counts in one registry, and records each of its decisions
//! as an event that operators can watch as it happens.

mod event;
mod log;
mod metrics;
mod terminal;

pub use event::{
    Event, EventBuffer, EventFilter, EventGap, EventInput, EventKind, EventSubscription,
    EventValue, Watched, inputs,
};
pub use log::{Log, LogFormat, LogGuard, LogLevel, discard_logger, part_logger};
pub use metrics::{METRICS_CONTENT_TYPE, Metrics};
