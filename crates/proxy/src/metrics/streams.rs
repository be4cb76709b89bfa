//! Metrics of streams that callers take up.

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::Label;

/// What became of a stream that was to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resumed {
    /// Another engine went on with it in the same answer.
    SameAnswer,
    /// A caller took it up.
    TakenUp,
    /// It is not known which version began it.
    Unknown,
    /// No engine of the version that began it can be reached.
    NoEngine,
}

/// Stream metrics.
#[derive(Clone, Debug)]
pub(crate) struct StreamMetrics {
    resumed: Family<Label, Counter>,
}

impl StreamMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Metrics) -> Self {
        Self {
            resumed: registry.register(
                "gateway_streams_resumed",
                "Broken streams, by whether they went on and why not",
                Family::default(),
            ),
        }
    }

    /// Counts a stream that was to go on.
    pub fn count(&self, resumed: Resumed) {
        let outcome = match resumed {
            Resumed::SameAnswer => "same_answer",
            Resumed::TakenUp => "taken_up",
            Resumed::Unknown => "unknown_version",
            Resumed::NoEngine => "no_engine_of_version",
        };
        self.resumed.get_or_create(&[("outcome", outcome)]).inc();
    }
}
