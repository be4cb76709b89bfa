//! Helpers for reading requests and building JSON responses.

use std::time::Duration;

use http_types::{Request, Response, StatusCode};
use molespan_http::{error_response, json_response};
use molespan_types::RunOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Returns a response with `value` as its JSON body.
#[must_use]
pub fn json_reply(status: u16, value: &impl Serialize) -> Response {
    json_response(status_code(status), value)
}

/// Returns a response with a typed error body.
#[must_use]
pub fn error_reply(
    status: u16,
    code: &str,
    message: &str,
    outcome: RunOutcome,
    retry_after_ms: Option<u64>,
) -> Response {
    let retry_after = retry_after_ms.map(Duration::from_millis);
    error_response(status_code(status), code, message, outcome, retry_after)
}

/// Returns the response for an unknown path.
#[must_use]
pub fn not_found() -> Response {
    let message = "there is no such path here";
    error_reply(404, "not_found", message, RunOutcome::NotRun, None)
}

/// Returns a request header, if present.
#[must_use]
pub fn header(request: &Request, name: &str) -> Option<String> {
    request
        .header(name)
        .map(|values| values.as_str().to_owned())
}

/// Returns a query parameter, if present.
#[must_use]
pub fn query_text(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns a numeric query parameter; `None` if it is missing or not a number.
#[must_use]
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    query_text(request, name)?.parse().ok()
}

/// Reads the whole body of a request.
///
/// # Errors
/// If the connection fails, or the body is too large or ends early. The caller
/// must then close the connection without running the request.
pub async fn read_body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    let expected = request.len();
    if expected.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(body_error("the request body is too large"));
    }
    let bytes = request.body_bytes().await?;
    if expected.is_some_and(|length| length != bytes.len()) {
        return Err(body_error("the request body is not whole"));
    }
    Ok(bytes)
}

/// Reads the body of a request as JSON. The inner error is the response for
/// malformed JSON.
///
/// # Errors
/// Same as [`read_body`].
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> http_types::Result<Result<T, Response>> {
    let bytes = read_body(request).await?;
    let value = serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body cannot be read: {error}");
        error_reply(400, "malformed", &message, RunOutcome::NotRun, None)
    });
    Ok(value)
}

fn body_error(message: &'static str) -> http_types::Error {
    http_types::Error::from_str(StatusCode::BadRequest, message)
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}
