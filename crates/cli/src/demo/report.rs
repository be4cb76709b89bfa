//! What the tour found out.

use serde::Serialize;

use crate::console::Console;
use crate::error::{CliError, ExitStatus};

/// Counts of the tour, seen from the callers' side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct DemoReport {
    /// Online requests sent.
    pub(super) online_requests: u32,
    /// Online requests whose whole own answer arrived.
    pub(super) online_completed: u32,
    /// Those of them that were streamed.
    pub(super) online_streamed: u32,
    /// Those of them that were sent while batch items ran.
    pub(super) online_during_batch: u32,
    /// Refusals on the way, each followed by another try at the time it named.
    pub(super) online_refusals: u32,
    /// Answers that were wrong, cut or somebody else's.
    pub(super) online_wrong: u32,
    /// Requests to the application service that were answered.
    pub(super) application_completed: u32,
    /// Items of the job.
    pub(super) batch_items: u32,
    /// Items with a result.
    pub(super) batch_completed: u32,
    /// Items with more than one result, and second jobs made by a replay.
    pub(super) batch_duplicates: u32,
    /// Results that were read at another gateway and have the right text.
    pub(super) results_readable: u32,
    /// Decisions that were watched.
    pub(super) decisions_watched: u32,
    /// Requests that a planned stop cut off.
    pub(super) cut_off_by_stop: u32,
    /// Time of the whole tour, in milliseconds.
    pub(super) elapsed_ms: u64,
}

impl DemoReport {
    /// Whether everything came out as it must.
    fn is_good(&self) -> bool {
        self.online_completed == self.online_requests
            && self.batch_completed == self.batch_items
            && self.results_readable == self.batch_items
            && self.batch_duplicates + self.online_wrong + self.cut_off_by_stop == 0
    }

    /// The exit code of the tour.
    pub(super) fn exit_status(&self) -> ExitStatus {
        if self.is_good() {
            ExitStatus::Success
        } else {
            ExitStatus::Refused
        }
    }

    /// Shows it as the last line.
    pub(super) fn show(&self, console: &mut Console) -> Result<(), CliError> {
        if console.is_json() {
            return console.json_line(self);
        }
        console.line(format!(
            "\n{} of {} online requests and {} of {} batch items completed, {} duplicates, \
             {} results read back, {} requests cut off.",
            self.online_completed,
            self.online_requests,
            self.batch_completed,
            self.batch_items,
            self.batch_duplicates,
            self.results_readable,
            self.cut_off_by_stop,
        ))
    }
}
