//! The error returned to the caller of a completion after its last step.

use std::time::Duration;

use http_types::StatusCode;
use molespan_types::RunOutcome;

use super::answer::BackendRefusal;
use super::error::ApiError;
use super::route::Run;

/// Retry delay reported while no engine accepts work.
pub(super) const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Run<'_> {
    /// Returns why the last attempt failed.
    pub(super) fn cause(&self) -> String {
        let failure = self.last_failure.as_ref();
        failure.map_or_else(|| "no answer".to_owned(), |failure| failure.cause.clone())
    }

    /// Converts an engine's rejection that every other engine would repeat.
    pub(super) fn forwarded_refusal(&self, refusal: &BackendRefusal) -> ApiError {
        let status = StatusCode::try_from(refusal.status).unwrap_or(StatusCode::BadRequest);
        let detail = &refusal.detail;
        let error = ApiError::not_run(status, &detail.code, detail.message.clone());
        self.with_last_attempt(error)
    }

    /// Returns the error for the caller after the last step.
    pub(super) fn failure(&mut self, outcome: RunOutcome) -> ApiError {
        if let Some(error) = self.claim.take_error() {
            return error;
        }
        let cause = self.cause();
        let error = match outcome {
            RunOutcome::NotRun => ApiError::not_run(
                StatusCode::ServiceUnavailable,
                "no_backend",
                format!("no engine took the request: {cause}"),
            )
            .with_retry_after(self.retry_after()),
            _ => ApiError::not_run(
                StatusCode::BadGateway,
                "answer_lost",
                format!("the request may have run and its answer is lost: {cause}"),
            )
            .with_outcome(outcome),
        };
        self.with_last_attempt(error)
    }

    fn retry_after(&self) -> Duration {
        let refusal = self
            .last_failure
            .as_ref()
            .and_then(|last| last.refusal.as_ref());
        let retry_after_ms = refusal.and_then(|refusal| refusal.detail.retry_after_ms);
        retry_after_ms.map_or(NO_BACKEND_RETRY_AFTER, Duration::from_millis)
    }

    fn with_last_attempt(&self, error: ApiError) -> ApiError {
        ApiError {
            attempt: self.last_attempt.map(|id| id.to_string()),
            ..error
        }
    }
}
