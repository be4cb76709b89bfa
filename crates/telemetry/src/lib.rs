//! Logs, metrics and decision events.
