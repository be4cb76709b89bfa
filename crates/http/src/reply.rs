//! JSON bodies and error responses.

use std::time::Duration;

use derive_more::{Display, Error, From};
use http_types::{Body, Request, Response, StatusCode};
use molespan_engine_api::{ErrorBody, ErrorDetail, OUTCOME_HEADER};
use molespan_types::RunOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Media type of JSON.
const JSON: &str = "application/json";
/// Media type of plain text.
const TEXT: &str = "text/plain; charset=utf-8";
/// Header with the delay before a retry, in whole seconds.
const RETRY_AFTER: &str = "retry-after";

/// Why a request body could not be read as JSON.
#[derive(Debug, Display, Error, From)]
pub enum JsonError {
    /// The body could not be read.
    #[display("the body could not be read: {_0}")]
    #[from(skip)]
    Body(#[error(not(source))] String),
    /// The body is not the expected JSON.
    #[display("{_0}")]
    Syntax(serde_json::Error),
}

/// Serializes `value` as a JSON body.
#[must_use]
pub fn json_body(value: &impl Serialize) -> Body {
    // Serializing to memory fails only for maps with non-string keys.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut body = Body::from_bytes(bytes);
    body.set_mime(http_types::mime::JSON);
    body
}

/// Creates a response with `value` as JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    response.set_body(json_body(value));
    response.insert_header("content-type", JSON);
    response
}

/// Creates a response with a plain text body.
#[must_use]
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_string(text.into()));
    response.insert_header("content-type", TEXT);
    response
}

/// Creates an error response with the error body, the outcome header and, if there
/// is a retry delay, `Retry-After` in seconds, rounded up.
#[must_use]
pub fn error_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
    outcome: RunOutcome,
    retry_after: Option<Duration>,
) -> Response {
    let detail = ErrorDetail {
        code: code.to_owned(),
        message: message.into(),
        outcome,
        retry_after_ms: retry_after.map(|delay| delay.as_millis() as u64),
    };
    let mut response = json_response(status, &ErrorBody { error: detail });
    response.insert_header(OUTCOME_HEADER, outcome.to_string());
    if let Some(delay) = retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header(RETRY_AFTER, seconds.to_string());
    }
    response
}

/// Reads the body of a request received by a server as JSON.
///
/// # Errors
/// When the body is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, JsonError> {
    let bytes = request
        .body_bytes()
        .await
        .map_err(|error| JsonError::Body(error.to_string()))?;
    Ok(serde_json::from_slice(&bytes)?)
}
