//! Errors returned to callers and operators.

use std::time::Duration;

use molespan_engine_api::{ATTEMPT_HEADER, ErrorBody, ErrorDetail};
use molespan_http::{Response, StatusCode, error_response};
use molespan_routing::admission::{Refusal, RefusalCode};
use molespan_types::RunOutcome;

use crate::cluster::ClusterError;

/// An error of the caller or operator API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ApiError {
    pub(super) status: StatusCode,
    pub(super) code: String,
    pub(super) message: String,
    pub(super) outcome: RunOutcome,
    pub(super) retry_after: Option<Duration>,
    /// The last attempt, as a reference into the events.
    pub(super) attempt: Option<String>,
}

impl ApiError {
    /// Creates an error of a request that did not run.
    pub(super) fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_owned(),
            message: message.into(),
            outcome: RunOutcome::NotRun,
            retry_after: None,
            attempt: None,
        }
    }

    /// Creates an error for a malformed request.
    pub(super) fn bad_request(code: &str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BadRequest, code, message)
    }

    /// Creates an error for something that does not exist.
    pub(super) fn not_found(code: &str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NotFound, code, message)
    }

    /// Replaces the outcome.
    pub(super) fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the retry delay.
    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the typed error body.
    pub(super) fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code.clone(),
                message: self.message.clone(),
                outcome: self.outcome,
                retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            },
        }
    }

    /// Returns the HTTP response.
    pub(super) fn response(&self) -> Response {
        let mut response = error_response(
            self.status,
            &self.code,
            self.message.clone(),
            self.outcome,
            self.retry_after,
        );
        if let Some(attempt) = &self.attempt {
            response.insert_header(ATTEMPT_HEADER, attempt.as_str());
        }
        response
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let (status, message) = match refusal.code {
            RefusalCode::TenantRate => (
                StatusCode::TooManyRequests,
                "the tenant used up its rate of requests",
            ),
            RefusalCode::TenantConcurrency => (
                StatusCode::TooManyRequests,
                "the tenant has as many requests in flight as it may",
            ),
            RefusalCode::QueueFull => (
                StatusCode::ServiceUnavailable,
                "the queue of the service is full",
            ),
            RefusalCode::DeadlineUnreachable => (
                StatusCode::ServiceUnavailable,
                "the request would wait longer than the service allows",
            ),
            RefusalCode::UnknownService => (StatusCode::NotFound, "there is no such service"),
            RefusalCode::NoBackend => (
                StatusCode::ServiceUnavailable,
                "no back end of the service takes work now",
            ),
            RefusalCode::ConfigurationNotCurrent => (
                StatusCode::ServiceUnavailable,
                "this gateway cannot confirm that its configuration is current",
            ),
            RefusalCode::Draining => (
                StatusCode::ServiceUnavailable,
                "this gateway is stopping as planned",
            ),
        };
        let error = Self::not_run(status, &refusal.code.to_string(), message);
        Self {
            retry_after: refusal.retry_after,
            ..error
        }
    }
}

impl From<ClusterError> for ApiError {
    fn from(error: ClusterError) -> Self {
        let message = format!("the replicated state cannot be reached: {error}");
        Self::not_run(StatusCode::ServiceUnavailable, "state_unavailable", message)
            .with_outcome(error.outcome())
            .with_retry_after(ClusterError::RETRY_AFTER)
    }
}
