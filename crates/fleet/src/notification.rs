//! Decodes one-way messages, to which the sender expects no reply.

use molespan_types::NodeId;
use slog::{Logger, warn};

/// Decodes a one-way message. Logs a warning and returns `None` if it is malformed.
pub fn decode_or_log<T>(logger: &Logger, from: NodeId, what: &str, bytes: &[u8]) -> Option<T>
where
    T: for<'b> minicbor::Decode<'b, ()>,
{
    let decoded = molespan_state::decode(bytes);
    decoded
        .inspect_err(|error| {
            warn!(logger, "cannot decode one-way message"; "from" => from.address().to_string(),
            "what" => what, "bytes" => bytes.len(), "error" => %error);
        })
        .ok()
}
