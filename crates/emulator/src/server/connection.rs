//! A connection with fault injection: it can cut a request or response short,
//! or send a response twice.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_h1::server::{ConnectionStatus, Server};
use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, ready};

use super::{Service, ServiceControls};
use crate::faults::AnswerFault;

/// Bytes that terminate a response head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Progress of the current request and response.
#[derive(Default)]
struct Exchange {
    /// Whether the first bytes of the request have been read.
    started: bool,
    fault: Option<AnswerFault>,
    read: u64,
    written: u64,
    /// Total number of response bytes to write before the connection is cut;
    /// `None` when the response is not cut.
    write_limit: Option<u64>,
    /// Response bytes written so far; `None` unless the response is sent twice.
    copy: Option<Vec<u8>>,
}

/// A TCP stream that injects the fault chosen for its current request.
#[derive(Clone)]
pub(super) struct FaultyStream {
    stream: Arc<Async<TcpStream>>,
    exchange: Arc<Mutex<Exchange>>,
    controls: Arc<ServiceControls>,
    service: Arc<dyn Service>,
}

impl FaultyStream {
    pub(super) fn new(
        stream: Async<TcpStream>,
        controls: Arc<ServiceControls>,
        service: Arc<dyn Service>,
    ) -> Self {
        Self {
            stream: Arc::new(stream),
            exchange: Arc::default(),
            controls,
            service,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_exchange(&self) {
        *self.lock() = Exchange::default();
    }

    /// Counts bytes read. Chooses a fault when the first bytes of a request
    /// arrive.
    fn record_read(&self, bytes: &[u8]) {
        let mut exchange = self.lock();
        if !exchange.started && !bytes.is_empty() {
            exchange.started = true;
            if self.service.accepts_answer_faults(request_path(bytes)) {
                exchange.fault = self.controls.choose_fault();
                exchange.prepare();
            }
        }
        exchange.read += bytes.len() as u64;
    }
}

impl Exchange {
    fn prepare(&mut self) {
        match self.fault {
            Some(AnswerFault::CutResponse { bytes }) => self.write_limit = Some(bytes),
            Some(AnswerFault::DuplicatedAnswer) => self.copy = Some(Vec::new()),
            _ => {}
        }
    }

    /// Returns how many bytes of the request may still be read; `None` when the
    /// request is not cut.
    fn read_left(&self) -> Option<u64> {
        match self.fault {
            Some(AnswerFault::CutRequest { bytes }) => Some(bytes.saturating_sub(self.read)),
            _ => None,
        }
    }

    /// Sets the write limit of a truncated response to the middle of its body,
    /// according to the `content-length` in its head. Streamed responses have
    /// none and are truncated by their body.
    fn limit_truncated_response(&mut self, bytes: &[u8]) {
        let truncated = self.fault == Some(AnswerFault::Truncated);
        if !truncated || self.write_limit.is_some() || self.written > 0 {
            return;
        }
        let Some(end) = find(bytes, HEAD_END) else {
            return;
        };
        if let Some(length) = content_length(&bytes[..end]) {
            let head = (end + HEAD_END.len()) as u64;
            self.write_limit = Some(head + length / 2);
        }
    }

    /// Returns how many of the next `length` bytes may be written.
    fn writable(&self, length: usize) -> usize {
        match self.write_limit {
            Some(limit) => length.min(limit.saturating_sub(self.written) as usize),
            None => length,
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn content_length(head: &[u8]) -> Option<u64> {
    let head = std::str::from_utf8(head).ok()?;
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    line.trim().parse().ok()
}

/// Returns the path of a request that starts with `bytes`; empty if `bytes`
/// does not reach the path.
fn request_path(bytes: &[u8]) -> &str {
    let mut parts = bytes.split(|byte| *byte == b' ');
    let path = parts.nth(1).unwrap_or_default();
    std::str::from_utf8(path).unwrap_or_default()
}

fn connection_reset() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionReset)
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.lock().read_left() == Some(0) {
            return Poll::Ready(Err(connection_reset()));
        }
        let mut stream = &*self.stream;
        let count = ready!(Pin::new(&mut stream).poll_read(context, buffer))?;
        let before = self.lock().read;
        self.record_read(&buffer[..count]);
        let exchange = self.lock();
        if let Some(AnswerFault::CutRequest { bytes }) = exchange.fault {
            let visible = bytes.saturating_sub(before) as usize;
            if visible == 0 && count > 0 {
                return Poll::Ready(Err(connection_reset()));
            }
            return Poll::Ready(Ok(count.min(visible)));
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut exchange = self.lock();
        exchange.limit_truncated_response(buffer);
        let writable = exchange.writable(buffer.len());
        if writable == 0 && !buffer.is_empty() {
            return Poll::Ready(Err(connection_reset()));
        }
        let mut stream = &*self.stream;
        let count = ready!(Pin::new(&mut stream).poll_write(context, &buffer[..writable]))?;
        exchange.written += count as u64;
        if let Some(copy) = &mut exchange.copy {
            copy.extend_from_slice(&buffer[..count]);
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = &*self.stream;
        Pin::new(&mut stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = &*self.stream;
        Pin::new(&mut stream).poll_close(context)
    }
}

/// Serves requests until the connection is closed or fails.
pub(super) async fn serve(stream: FaultyStream, service: Arc<dyn Service>) {
    let endpoint = |request| {
        let service = service.clone();
        let controls = stream.controls.clone();
        let fault = stream.lock().fault;
        async move {
            let path = http_types::Request::url(&request).path().to_owned();
            if !is_control_path(&path) {
                controls.delay_request().await;
            }
            if let Some(AnswerFault::Late { millis }) = fault {
                let response = service.call(request, fault).await;
                async_io::Timer::after(std::time::Duration::from_millis(millis)).await;
                return response;
            }
            service.call(request, fault).await
        }
    };
    loop {
        stream.begin_exchange();
        let mut server = Server::new(stream.clone(), endpoint);
        let Ok(status) = server.accept_one().await else {
            break;
        };
        if repeat_answer(&stream).await.is_err() || status == ConnectionStatus::Close {
            break;
        }
    }
}

async fn repeat_answer(stream: &FaultyStream) -> io::Result<()> {
    let copy = stream.lock().copy.take();
    if let Some(copy) = copy {
        (&*stream.stream).write_all(&copy).await?;
    }
    Ok(())
}

/// Whether `path` is a control endpoint. A frozen service still answers these.
fn is_control_path(path: &str) -> bool {
    path.starts_with(crate::EMULATOR_PATH)
}
