//! Report of the demo.

use serde::Serialize;

use crate::console::Console;
use crate::error::{CliError, ExitStatus};

/// Counts of the demo as observed by callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct DemoReport {
    /// Online requests sent.
    pub(super) online_requests: u32,
    /// Online requests with a complete and correct response.
    pub(super) online_completed: u32,
    /// Completed online requests that were streamed.
    pub(super) online_streamed: u32,
    /// Completed online requests that were sent while batch items ran.
    pub(super) online_during_batch: u32,
    /// Rejections of online requests, each retried after the given delay.
    pub(super) online_refusals: u32,
    /// Responses that were wrong, truncated or meant for another request.
    pub(super) online_wrong: u32,
    /// Requests to the application service that succeeded.
    pub(super) application_completed: u32,
    /// Number of items in the job.
    pub(super) batch_items: u32,
    /// Items with a result.
    pub(super) batch_completed: u32,
    /// Surplus results of items, plus additional jobs created by a resubmission.
    pub(super) batch_duplicates: u32,
    /// Results read from another gateway that have the expected text.
    pub(super) results_readable: u32,
    /// Number of decisions read from the event streams.
    pub(super) decisions_watched: u32,
    /// Requests that failed because of a planned stop.
    pub(super) cut_off_by_stop: u32,
    /// Duration of the demo, in milliseconds.
    pub(super) elapsed_ms: u64,
}

impl DemoReport {
    /// Whether every count has its expected value.
    fn has_passed(&self) -> bool {
        self.online_completed == self.online_requests
            && self.batch_completed == self.batch_items
            && self.results_readable == self.batch_items
            && self.batch_duplicates + self.online_wrong + self.cut_off_by_stop == 0
    }

    /// Returns the exit code of the demo.
    pub(super) fn exit_status(&self) -> ExitStatus {
        if self.has_passed() {
            ExitStatus::Success
        } else {
            ExitStatus::Refused
        }
    }

    /// Prints the report as the last line.
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
