//! Control and inspection endpoints of the emulated services, under `/emulator/`.

use std::time::Duration;

use http_types::{Method, Request, Response};
use molespan_types::{Digest, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::engine::ExecutionLog;
use crate::faults::FaultSettings;
use crate::server::{error_reply, json_reply, not_found, query_text, read_json};

/// `GET` returns the active faults, `POST` replaces them.
pub const FAULTS_PATH: &str = "/emulator/faults";
/// `POST` crashes the service; the response may be lost with the connection.
pub const CRASH_PATH: &str = "/emulator/crash";
/// `POST` turns engine priority on or off.
pub const PRIORITY_PATH: &str = "/emulator/priority";
/// `GET` returns execution counts: all of them, those of `?attempt=ID`, or those
/// of `?prompt=DIGEST`, a digest of 16 hexadecimal digits.
pub const EXECUTIONS_PATH: &str = "/emulator/executions";

/// Body of `POST /emulator/crash`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRequest {
    /// Time until the restart, in milliseconds.
    #[serde(default)]
    pub down_ms: u64,
}

/// A back end that can be controlled over HTTP.
pub trait ControlledBackend {
    /// Returns the active faults.
    fn faults(&self) -> FaultSettings;

    /// Replaces the active faults.
    fn set_faults(&self, faults: FaultSettings);

    /// Crashes and starts the next incarnation after `down`.
    fn crash(&self, down: Duration);

    /// Returns the execution counts.
    fn executions(&self) -> ExecutionLog;
}

/// Handles a request to one of the control endpoints that every back end has.
///
/// # Errors
/// If the request cannot be read.
pub async fn route_control(
    backend: &impl ControlledBackend,
    request: &mut Request,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, FAULTS_PATH) => Ok(json_reply(200, &backend.faults())),
        (Method::Post, FAULTS_PATH) => {
            let faults: FaultSettings = match read_json(request).await? {
                Ok(faults) => faults,
                Err(reply) => return Ok(reply),
            };
            backend.set_faults(faults.clone());
            Ok(json_reply(200, &faults))
        }
        (Method::Post, CRASH_PATH) => {
            let crash: CrashRequest = match read_json(request).await? {
                Ok(crash) => crash,
                Err(reply) => return Ok(reply),
            };
            backend.crash(Duration::from_millis(crash.down_ms));
            Ok(json_reply(200, &crash))
        }
        (Method::Get, EXECUTIONS_PATH) => Ok(executions_reply(&backend.executions(), request)),
        _ => Ok(not_found()),
    }
}

/// Returns the execution counts selected by the query parameters.
fn executions_reply(log: &ExecutionLog, request: &Request) -> Response {
    if let Some(attempt) = query_text(request, "attempt") {
        return json_reply(200, &log.of_attempt(&attempt));
    }
    let Some(prompt) = query_text(request, "prompt") else {
        return json_reply(200, log);
    };
    match u64::from_str_radix(&prompt, 16) {
        Ok(digest) => json_reply(200, &log.of_prompt(Digest(digest))),
        Err(_) => {
            let message = "the query parameter `prompt` must be 16 hexadecimal digits";
            error_reply(400, "malformed", message, RunOutcome::NotRun, None)
        }
    }
}
