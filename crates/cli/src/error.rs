//! Errors of the command line and their exit codes.

use std::io;
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use molespan_daemon::cluster::ClusterError;
use molespan_engine_api::ErrorDetail;
use molespan_http::SendError;
use molespan_types::RunOutcome;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The system rejected the request, or the command failed; the message gives the reason.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file has findings, or a plan has problems.
    Findings = 3,
    /// No gateway was reachable and no request was sent.
    Unreachable = 4,
    /// The response was lost or invalid. Repeating the command is safe and returns the outcome.
    Unknown = 5,
    /// The job ended with items that did not complete.
    Incomplete = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Error of a command.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// A file or a list of edits has errors.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Findings(#[error(not(source))] Vec<String>),
    /// The gateway rejected the request.
    #[display("{} (code {}, outcome {}){}", _0.message, _0.code, _0.outcome, retry_text(_0))]
    #[from(skip)]
    Refused(#[error(not(source))] ErrorDetail),
    /// The response of the gateway does not match the API.
    #[display("unexpected answer from {gateway}: {what}")]
    #[from(skip)]
    Unexpected {
        /// Address of the gateway.
        gateway: String,
        /// Description of the mismatch.
        what: String,
    },
    /// No gateway responded.
    #[display("no gateway answered: {_0}")]
    #[from(skip)]
    Unanswered(SendError),
    /// The request to the control nodes failed or timed out.
    #[display("{_0}")]
    #[from(skip)]
    Control(ClusterError),
    /// The operator did not confirm.
    #[display("not confirmed, nothing has changed")]
    Declined,
    /// A step of the demo failed.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
    /// A file or the output cannot be read or written.
    #[display("{_0}")]
    Io(io::Error),
}

fn retry_text(detail: &ErrorDetail) -> String {
    detail
        .retry_after_ms
        .map_or_else(String::new, |millis| format!("; try again in {millis} ms"))
}

impl CliError {
    /// Whether the reader closed the output (broken pipe).
    #[must_use]
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Returns the exit code for this error.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::Findings(_) => ExitStatus::Findings,
            Self::Refused(detail) if detail.outcome == RunOutcome::Unknown => ExitStatus::Unknown,
            Self::Unanswered(SendError::NotSent(_)) => ExitStatus::Unreachable,
            Self::Unanswered(SendError::Ambiguous(_)) | Self::Unexpected { .. } => {
                ExitStatus::Unknown
            }
            Self::Control(ClusterError::Unavailable {
                outcome: RunOutcome::NotRun,
                ..
            }) => ExitStatus::Unreachable,
            Self::Control(_) => ExitStatus::Unknown,
            _ => ExitStatus::Refused,
        }
    }
}
