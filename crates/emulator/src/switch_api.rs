//! Switches and checks that every stand-in has, under `/emulator/`.

use std::time::Duration;

use http_types::{Method, Request, Response};
use molespan_types::{Digest, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::engine::ExecutionLog;
use crate::faults::FaultSettings;
use crate::server::{error_reply, json_reply, not_found, query_text, read_json};

/// `GET` for the faults in force, `POST` to replace them.
pub const FAULTS_PATH: &str = "/emulator/faults";
/// `POST` to crash; the answer may be lost with the connection.
pub const CRASH_PATH: &str = "/emulator/crash";
/// `POST` to turn engine priority on or off.
pub const PRIORITY_PATH: &str = "/emulator/priority";
/// `GET` for the count of executions: all, or `?attempt=ID`, or
/// `?prompt=DIGEST` with 16 hexadecimal digits.
pub const EXECUTIONS_PATH: &str = "/emulator/executions";

/// Body of `POST /emulator/crash`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRequest {
    /// Time until it is started again, in milliseconds.
    #[serde(default)]
    pub down_ms: u64,
}

/// A back end whose switches are reached over HTTP.
pub trait Switched {
    /// Faults in force.
    fn faults(&self) -> FaultSettings;

    /// Puts faults in force, in place of those before.
    fn set_faults(&self, faults: FaultSettings);

    /// Dies and starts its next life after `down`.
    fn crash(&self, down: Duration);

    /// The count of executions.
    fn executions(&self) -> ExecutionLog;
}

/// Answers a request on one of the paths that every back end has.
///
/// # Errors
/// When the request cannot be read.
pub async fn route_switch(
    backend: &impl Switched,
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

/// The counts that a query asks for.
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
