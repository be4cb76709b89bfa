//! Records decisions as events: what was decided, why, and from which inputs.

use molespan_telemetry::{EventBuffer, EventInput, EventKind, EventValue, inputs};

use crate::wall_clock::unix_millis;

/// Records the decisions of one gateway.
#[derive(Clone, Debug)]
pub(super) struct Events {
    buffer: EventBuffer,
}

impl Events {
    pub(super) fn new(buffer: EventBuffer) -> Self {
        Self { buffer }
    }

    /// Returns the buffer that operators subscribe to.
    pub(super) fn buffer(&self) -> &EventBuffer {
        &self.buffer
    }

    /// Records one decision.
    pub(super) fn record<const COUNT: usize>(
        &self,
        kind: EventKind,
        subject: impl Into<String>,
        reason: impl Into<String>,
        pairs: [(&'static str, EventValue); COUNT],
    ) {
        self.record_inputs(kind, subject, reason, inputs(pairs));
    }

    /// Records one decision with a variable number of inputs.
    pub(super) fn record_inputs(
        &self,
        kind: EventKind,
        subject: impl Into<String>,
        reason: impl Into<String>,
        inputs: Vec<EventInput>,
    ) {
        self.buffer
            .record(unix_millis(), kind, subject, reason, inputs);
    }
}
