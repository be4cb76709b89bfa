//! Job status as returned by a gateway.

use molespan_state::job::JobPhase;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::console::Console;
use crate::error::{CliError, ExitStatus};

/// Status of a job as returned by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobView {
    /// Identifier of the job.
    pub(crate) id: String,
    /// Current phase of the job.
    pub(crate) state: JobPhase,
    /// Number of items.
    pub(crate) items: u32,
    /// Items with a result.
    #[serde(default)]
    pub(crate) completed: u32,
    /// Items that were permanently rejected.
    #[serde(default)]
    pub(crate) failed: u32,
    /// Non-repeatable items whose result was lost.
    #[serde(default)]
    pub(crate) unknown: u32,
    /// Items currently leased to engines.
    #[serde(default)]
    pub(crate) leased: u32,
    /// Other fields of the response.
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl JobView {
    /// Returns the number of items that have ended, with any outcome.
    pub(crate) fn ended_items(&self) -> u32 {
        self.completed + self.failed + self.unknown
    }

    /// Whether the job has ended.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, JobPhase::Completed | JobPhase::Cancelled)
    }

    /// Returns the exit code of a command that waited for this job.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        if self.completed == self.items {
            ExitStatus::Success
        } else {
            ExitStatus::Incomplete
        }
    }

    /// Formats the state of the job on one line.
    pub(crate) fn summary(&self) -> String {
        let mut text = format!(
            "{}: {}, {} of {} items completed",
            self.id, self.state, self.completed, self.items
        );
        for (count, what) in [
            (self.failed, "refused for good"),
            (self.unknown, "with an unknown outcome"),
        ] {
            if count > 0 {
                text.push_str(&format!(", {count} {what}"));
            }
        }
        text
    }

    /// Prints the job as one line or as JSON.
    pub(crate) fn show(&self, console: &mut Console) -> Result<(), CliError> {
        if console.is_json() {
            console.json_line(self)
        } else {
            console.line(self.summary())
        }
    }
}
