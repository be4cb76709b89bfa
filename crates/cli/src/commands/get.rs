//! `molespan get KIND`.

use serde_json::Value;

use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::rows::table_of;

/// Kinds of objects that can be shown.
const KINDS: [&str; 12] = [
    "services",
    "models",
    "adapters",
    "tenants",
    "policy",
    "versions",
    "backends",
    "nodes",
    "jobs",
    "orders",
    "placement",
    "configuration",
];

/// Prints the objects of one kind as a table or as JSON.
pub(crate) async fn run(
    client: &Client,
    kind: &str,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    if !KINDS.contains(&kind) {
        let message = format!("there is no kind {kind:?}; kinds are {}", KINDS.join(", "));
        return Err(CliError::Usage(message));
    }
    let listing: Value = client.json(&Call::get(format!("/admin/{kind}"))).await?;
    if console.is_json() {
        console.json_line(&listing)?;
    } else if kind == "configuration" {
        let text = serde_json::to_string_pretty(&listing).map_err(std::io::Error::from)?;
        console.line(text)?;
    } else {
        console.line(table_of(kind, &listing))?;
    }
    Ok(ExitStatus::Success)
}
