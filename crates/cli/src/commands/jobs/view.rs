//! A job as a gateway shows it.

use molespan_state::job::JobPhase;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::console::Console;
use crate::error::{CliError, ExitStatus};

/// A job as a gateway shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobView {
    /// Job.
    pub(crate) id: String,
    /// Where it stands.
    pub(crate) state: JobPhase,
    /// Items it has.
    pub(crate) items: u32,
    /// Items with an answer.
    #[serde(default)]
    pub(crate) completed: u32,
    /// Items refused for good.
    #[serde(default)]
    pub(crate) failed: u32,
    /// Non-repeatable items whose answer is lost.
    #[serde(default)]
    pub(crate) unknown: u32,
    /// Items that engines hold now.
    #[serde(default)]
    pub(crate) leased: u32,
    /// Whatever else the gateway says.
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl JobView {
    /// Items that have ended in one way or another.
    pub(crate) fn ended_items(&self) -> u32 {
        self.completed + self.failed + self.unknown
    }

    /// Whether nothing of the job runs any more.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, JobPhase::Completed | JobPhase::Cancelled)
    }

    /// The exit code of waiting for a job that ended so.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        if self.completed == self.items {
            ExitStatus::Success
        } else {
            ExitStatus::Incomplete
        }
    }

    /// One line on where it stands.
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

    /// Shows it, as one line or as JSON.
    pub(crate) fn show(&self, console: &mut Console) -> Result<(), CliError> {
        if console.is_json() {
            console.json_line(self)
        } else {
            console.line(self.summary())
        }
    }
}
