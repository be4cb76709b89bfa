//! Switches and checks that every stand-in has, under `/emulator/`.

use http_types::Response;
use molespan_types::{Digest, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::engine::ExecutionLog;
use crate::server::{error_reply, json_reply};

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

/// The counts that a query asks for.
#[must_use]
pub fn executions_reply(
    log: &ExecutionLog,
    attempt: Option<String>,
    prompt: Option<String>,
) -> Response {
    if let Some(attempt) = attempt {
        return json_reply(200, &log.of_attempt(&attempt));
    }
    let Some(prompt) = prompt else {
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
