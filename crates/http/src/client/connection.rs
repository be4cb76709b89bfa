//! A connection of a pool, and an exchange of request and response on it.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;

use async_h1::client::Encoder;
use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use http_types::headers::{CONNECTION, TRANSFER_ENCODING};
use http_types::{Method, Request, Response};

use super::error::{FailureCause, SendError};
use super::pool::{ConnectionSlot, PoolState};
use super::response::{CheckedBody, ClientResponse};
use crate::net::{SharedStream, prepare, with_timeout};
use crate::source::{HeadError, Source, read_head};

/// Encodes `request`.
///
/// # Errors
/// [`SendError::NotSent`] when the request cannot be encoded.
pub(crate) async fn encode(request: Request) -> Result<Vec<u8>, SendError> {
    let mut bytes = Vec::new();
    match Encoder::new(request).read_to_end(&mut bytes).await {
        Ok(_) => Ok(bytes),
        Err(error) => Err(SendError::NotSent(FailureCause::Invalid(error.to_string()))),
    }
}

/// An open connection, which is closed when dropped. Only
/// [`ClientConnection::release`] returns it to the pool.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    pub(crate) stream: SharedStream,
    pub(crate) slot: ConnectionSlot,
    pool: Arc<PoolState>,
}

impl ClientConnection {
    /// Connects to the address of `slot`.
    pub(crate) async fn open(
        pool: Arc<PoolState>,
        slot: ConnectionSlot,
    ) -> Result<Self, SendError> {
        let not_connected =
            |error: io::Error| SendError::NotSent(FailureCause::Connect(error.kind()));
        let connecting = Async::<TcpStream>::connect(slot.address);
        let stream = with_timeout(pool.limits.connect_timeout, connecting)
            .await
            .ok_or(SendError::NotSent(FailureCause::ConnectTimeout))?
            .map_err(not_connected)?;
        let stream = prepare(stream).map_err(not_connected)?;
        Ok(Self { stream, slot, pool })
    }

    /// Writes the request and reads the head of its response.
    pub(crate) async fn exchange(
        self,
        request: &[u8],
        method: Method,
    ) -> Result<ClientResponse, SendError> {
        with_timeout(self.pool.limits.write_timeout, self.write(request))
            .await
            .ok_or(SendError::Ambiguous(FailureCause::WriteTimeout))??;
        let mut buffer = Vec::new();
        let reading = read_head(&self.stream, &mut buffer);
        let head_length = with_timeout(self.pool.limits.response_timeout, reading)
            .await
            .ok_or(SendError::Ambiguous(FailureCause::ResponseTimeout))?
            .map_err(|error| SendError::Ambiguous(head_failure(&error)))?;
        self.response(buffer, head_length, method)
            .await
            .map_err(SendError::Ambiguous)
    }

    /// Writes all of `request`. An error before the system accepted the first byte
    /// means that nothing was sent.
    async fn write(&self, request: &[u8]) -> Result<(), SendError> {
        let mut written = 0;
        while written < request.len() {
            match (&*self.stream).write(&request[written..]).await {
                Ok(count) if count > 0 => written += count,
                failed => {
                    let kind =
                        failed.map_or_else(|error| error.kind(), |_| io::ErrorKind::WriteZero);
                    let cause = FailureCause::Write(kind);
                    return Err(if written == 0 {
                        SendError::NotSent(cause)
                    } else {
                        SendError::Ambiguous(cause)
                    });
                }
            }
        }
        Ok(())
    }

    /// Decodes the head and prepares the body for reading.
    async fn response(
        self,
        buffer: Vec<u8>,
        head_length: usize,
        method: Method,
    ) -> Result<ClientResponse, FailureCause> {
        let source = Source::new(self.stream.clone(), buffer, head_length);
        let mut response = async_h1::client::decode(source.clone())
            .await
            .map_err(|error| FailureCause::MalformedResponse(error.to_string()))?;
        let length = body_length(&response, method)?;
        match length {
            Some(length) => source.extend(length as u64),
            None => source.remove_limit(),
        }
        let reusable = !wants_close(&response);
        let reader = response.take_body().into_reader();
        let body_timeout = self.pool.limits.body_timeout;
        let body = CheckedBody::new(reader, length, source, self, reusable, body_timeout);
        Ok(ClientResponse::new(response, body))
    }

    /// Returns the connection to its pool.
    pub(crate) fn release(self) {
        self.pool.clone().put_idle(self);
    }
}

/// Returns the declared length of the body of a response, or `None` when it is chunked.
fn body_length(response: &Response, method: Method) -> Result<Option<usize>, FailureCause> {
    let status = u16::from(response.status());
    const BODILESS: [u16; 2] = [204, 304];
    if method == Method::Head || BODILESS.contains(&status) {
        return Ok(Some(0));
    }
    if response.header(TRANSFER_ENCODING).is_some() {
        return Ok(None);
    }
    // async-h1 treats a response without any framing as empty.
    match response.header("content-length") {
        Some(_) => Ok(response.len()),
        None => Err(FailureCause::Unframed),
    }
}

/// Whether the peer will close the connection.
fn wants_close(response: &Response) -> bool {
    response
        .header(CONNECTION)
        .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

/// Returns the cause for an error of reading a head.
fn head_failure(error: &HeadError) -> FailureCause {
    match error {
        HeadError::Closed => FailureCause::ClosedBeforeResponse,
        HeadError::ClosedWithin => FailureCause::ClosedWithinHead,
        HeadError::TooLong => FailureCause::HeadTooLong,
        HeadError::Socket(error) => FailureCause::Broken(error.kind()),
    }
}
