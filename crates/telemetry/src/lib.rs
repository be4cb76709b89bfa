//! Logs, metrics and decision events.
//!
//! Each part of a process logs through a child of one root logger that carries the
//! name of the part, registers its metrics in one registry, and records its
//! decisions as events that operators can watch live.

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
