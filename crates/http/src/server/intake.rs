//! Reads a complete request within the limits.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::io::AsyncReadExt;
use http_types::headers::TRANSFER_ENCODING;
use http_types::{Body, Request, Response, StatusCode};
use molespan_types::RunOutcome;

use super::handle::{CountGuard, Shared};
use crate::net::{SharedStream, with_timeout};
use crate::reply::error_response;
use crate::source::{HeadError, MAX_HEAD_BYTES, Source, read_head, read_some};

/// `Retry-After` of a server at its limits.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Size of a read from a body in bytes.
const BODY_READ_BYTES: usize = 16 * 1024;

/// Why a request was rejected before it reached the handler.
#[derive(Debug, Display, Error)]
pub(crate) enum Rejection {
    /// The connection ended between requests, so there is no request to answer.
    #[display("connection ended")]
    Ended,
    /// The head did not arrive within its timeout.
    #[display("the head did not arrive in time")]
    SlowHead,
    /// The body did not arrive within its timeout.
    #[display("the body did not arrive in time")]
    SlowBody,
    /// The head is too long.
    #[display("the head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The body is too long.
    #[display("the body is longer than {limit} bytes")]
    BodyTooLong {
        /// Maximum length of the body in bytes.
        limit: usize,
    },
    /// The request is not valid HTTP/1.1.
    #[display("malformed request: {reason}")]
    Malformed {
        /// Description of the error.
        reason: String,
    },
    /// The client closed the connection within the request.
    #[display("the request was cut short")]
    CutShort,
    /// Bodies of other requests use all memory reserved for bodies.
    #[display("too many request bodies in memory")]
    MemoryFull,
    /// The connection limit is reached.
    #[display("too many connections")]
    TooManyConnections,
}

impl Rejection {
    /// Returns the error response, or `None` when there is no request to answer.
    pub(crate) fn response(&self) -> Option<Response> {
        let (status, code, retry_after) = match self {
            Self::Ended => return None,
            Self::SlowHead | Self::SlowBody => {
                (StatusCode::RequestTimeout, "request_timeout", None)
            }
            Self::HeadTooLong => (
                StatusCode::RequestHeaderFieldsTooLarge,
                "headers_too_large",
                None,
            ),
            Self::BodyTooLong { .. } => (StatusCode::PayloadTooLarge, "body_too_large", None),
            Self::Malformed { .. } => (StatusCode::BadRequest, "malformed_request", None),
            Self::CutShort => (StatusCode::BadRequest, "request_cut_short", None),
            Self::MemoryFull => (
                StatusCode::ServiceUnavailable,
                "server_busy",
                Some(OVERLOAD_RETRY_AFTER),
            ),
            Self::TooManyConnections => (
                StatusCode::ServiceUnavailable,
                "too_many_connections",
                Some(OVERLOAD_RETRY_AFTER),
            ),
        };
        let message = self.to_string();
        Some(error_response(
            status,
            code,
            message,
            RunOutcome::NotRun,
            retry_after,
        ))
    }
}

/// A request with its body in memory.
pub(crate) struct BufferedRequest {
    /// The request.
    pub(crate) request: Request,
    /// Bytes received after the request.
    pub(crate) leftover: Vec<u8>,
    /// Whether the connection can serve another request.
    pub(crate) reusable: bool,
    /// Counts the body towards the memory limit.
    pub(crate) memory: CountGuard,
}

/// Waits for the first byte of a request, unless `buffer` already holds some.
pub(crate) async fn await_first_byte(
    stream: &SharedStream,
    buffer: &mut Vec<u8>,
    shared: &Shared,
) -> Result<(), Rejection> {
    if !buffer.is_empty() {
        return Ok(());
    }
    let waiting = futures_lite::future::or(
        async {
            read_some(stream, buffer)
                .await
                .map_err(|_| Rejection::Ended)
        },
        async {
            shared.idle_must_close().await;
            Err(Rejection::Ended)
        },
    );
    with_timeout(shared.limits.idle_timeout, waiting)
        .await
        .unwrap_or(Err(Rejection::Ended))
}

/// Reads the request that starts with the bytes in `buffer`.
pub(crate) async fn read_request(
    stream: &SharedStream,
    mut buffer: Vec<u8>,
    shared: &Arc<Shared>,
) -> Result<BufferedRequest, Rejection> {
    let head_length = with_timeout(shared.limits.head_timeout, read_head(stream, &mut buffer))
        .await
        .ok_or(Rejection::SlowHead)?
        .map_err(reject_head)?;
    let source = Source::new(stream.clone(), buffer, head_length);
    let decoded = async_h1::server::decode(source.clone()).await;
    let (mut request, _unread) = decoded
        .map_err(|error| Rejection::Malformed {
            reason: error.to_string(),
        })?
        .ok_or(Rejection::CutShort)?;
    let mut memory = CountGuard::add(shared, |shared| &shared.buffered, 0);
    let chunked = request.header(TRANSFER_ENCODING).is_some();
    let body = with_timeout(
        shared.limits.body_timeout,
        read_body(&mut request, &source, shared, &mut memory),
    )
    .await
    .ok_or(Rejection::SlowBody)??;
    restore_body(&mut request, body);
    Ok(BufferedRequest {
        request,
        leftover: source.take_leftover(),
        // async-h1 may have read beyond a chunked body, into the next request.
        reusable: !chunked,
        memory,
    })
}

/// Reads the complete body within the limits of its path and of the server.
async fn read_body(
    request: &mut Request,
    source: &Source,
    shared: &Shared,
    memory: &mut CountGuard,
) -> Result<Vec<u8>, Rejection> {
    let limit = shared.limits.max_body_of(request.url().path());
    let declared = request.len();
    match declared {
        Some(length) if length > limit => return Err(Rejection::BodyTooLong { limit }),
        Some(length) => source.extend(length as u64),
        None => source.remove_limit(),
    }
    let mut reader = request.take_body().into_reader();
    let mut body = Vec::new();
    loop {
        let filled = body.len();
        body.resize(filled + BODY_READ_BYTES, 0);
        let read = reader
            .read(&mut body[filled..])
            .await
            .map_err(|_| Rejection::CutShort)?;
        body.truncate(filled + read);
        if read == 0 {
            break;
        }
        if body.len() > limit {
            return Err(Rejection::BodyTooLong { limit });
        }
        if !memory.grow_within(read, shared.limits.max_buffered_bytes) {
            return Err(Rejection::MemoryFull);
        }
    }
    match declared {
        Some(length) if body.len() < length => Err(Rejection::CutShort),
        _ => Ok(body),
    }
}

/// Puts a body that was read into memory back into its request. Keeps the content
/// type of the client, or its absence.
fn restore_body(request: &mut Request, bytes: Vec<u8>) {
    let content_type = request.header("content-type").cloned();
    request.set_body(Body::from_bytes(bytes));
    match content_type {
        Some(values) => {
            request.insert_header("content-type", &values);
        }
        None => {
            request.remove_header("content-type");
        }
    }
}

/// Maps an error of reading a head to a rejection.
fn reject_head(error: HeadError) -> Rejection {
    match error {
        HeadError::Closed | HeadError::Socket(_) => Rejection::Ended,
        HeadError::ClosedWithin => Rejection::CutShort,
        HeadError::TooLong => Rejection::HeadTooLong,
    }
}
