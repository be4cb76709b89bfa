//! A server connection, which serves one request after another.

use std::future::Future;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_h1::server::Encoder;
use futures_lite::future;
use futures_lite::io::AsyncReadExt;
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response};

use super::handle::{CountGuard, Shared};
use super::intake::{BufferedRequest, Rejection, await_first_byte, read_request};
use super::output::write_response;
use super::presence::ClientPresence;
use crate::body::check_declared_length;
use crate::net::{SharedStream, peer_closed, with_timeout};

/// How long unread bytes of a rejected request are read and discarded. Without
/// this, the system may reset the connection before the client has read the error.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded.
const LINGER_BYTES: usize = 1024 * 1024;
/// Value of the `Connection` header that closes the connection.
const CLOSE: &str = "close";

/// An accepted connection.
pub(crate) struct Connection {
    stream: SharedStream,
    shared: Arc<Shared>,
    _slot: CountGuard,
}

/// What happens to a connection after a response.
#[derive(PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
}

impl Connection {
    pub(crate) fn new(stream: SharedStream, shared: Arc<Shared>, slot: CountGuard) -> Self {
        Self {
            stream,
            shared,
            _slot: slot,
        }
    }

    /// Serves requests until the connection ends or the server aborts.
    pub(crate) async fn run<Handler, Answer>(self, handler: &Handler)
    where
        Handler: Fn(Request) -> Answer,
        Answer: Future<Output = Response>,
    {
        if self.shared.exceeds_connection_limit() {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
            self.reject(&Rejection::TooManyConnections).await;
            return;
        }
        let serve = async {
            if let Err(rejection) = self.serve(handler).await {
                self.reject(&rejection).await;
            }
        };
        future::or(serve, self.shared.aborted()).await;
    }

    /// Serves requests one after another.
    async fn serve<Handler, Answer>(&self, handler: &Handler) -> Result<(), Rejection>
    where
        Handler: Fn(Request) -> Answer,
        Answer: Future<Output = Response>,
    {
        let mut buffer = Vec::new();
        loop {
            await_first_byte(&self.stream, &mut buffer, &self.shared).await?;
            let in_flight = CountGuard::add(&self.shared, |shared| &shared.in_flight, 1);
            let mut incoming = read_request(&self.stream, buffer, &self.shared).await?;
            buffer = std::mem::take(&mut incoming.leftover);
            let next = self.answer(incoming, handler).await;
            drop(in_flight);
            if next == Next::Close {
                return Ok(());
            }
        }
    }

    /// Runs the handler and writes its response.
    async fn answer<Handler, Answer>(&self, incoming: BufferedRequest, handler: &Handler) -> Next
    where
        Handler: Fn(Request) -> Answer,
        Answer: Future<Output = Response>,
    {
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        let mut request = incoming.request;
        let method = request.method();
        let keep_alive = incoming.reusable && !wants_close(request.header(CONNECTION));
        let (guard, presence) = ClientPresence::new();
        // Keep a clone here, since the channel also closes when all receivers are dropped.
        request.ext_mut().insert(presence.clone());
        let mut response = self.watch_client(&guard, handler(request)).await;
        drop(incoming.memory);
        if presence.is_gone() {
            self.shared.aborted.fetch_add(1, Ordering::Relaxed);
            return Next::Close;
        }
        let close =
            !keep_alive || wants_close(response.header(CONNECTION)) || self.shared.is_draining();
        if close {
            response.insert_header(CONNECTION, CLOSE);
        }
        match self.write(response, method).await {
            Ok(()) if close => Next::Close,
            Ok(()) => Next::KeepAlive,
            Err(_) => {
                self.shared.aborted.fetch_add(1, Ordering::Relaxed);
                Next::Close
            }
        }
    }

    /// Waits for the handler, and closes `guard` when the client disconnects meanwhile.
    async fn watch_client(
        &self,
        guard: &Sender<()>,
        answer: impl Future<Output = Response>,
    ) -> Response {
        let watch = async {
            peer_closed(&self.stream).await;
            guard.close();
            future::pending().await
        };
        future::or(answer, watch).await
    }

    /// Writes a complete response.
    async fn write(
        &self,
        mut response: Response,
        method: Method,
    ) -> Result<(), super::output::OutputError> {
        check_declared_length(&mut response);
        let encoder = Encoder::new(response, method);
        let limit = self.shared.limits.write_timeout;
        write_response(&self.stream, encoder, limit, peer_closed(&self.stream)).await
    }

    /// Sends the reason of the rejection to the client, then closes the connection.
    async fn reject(&self, rejection: &Rejection) {
        let Some(mut response) = rejection.response() else {
            return;
        };
        self.shared.rejected.fetch_add(1, Ordering::Relaxed);
        response.insert_header(CONNECTION, CLOSE);
        let encoder = Encoder::new(response, Method::Get);
        let limit = self.shared.limits.write_timeout;
        // A client that closed its sending side may still read the response.
        let written = write_response(&self.stream, encoder, limit, future::pending()).await;
        if written.is_ok() {
            self.linger().await;
        }
    }

    /// Closes the sending side and discards the bytes that still arrive.
    async fn linger(&self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discarded = 0;
        let mut buffer = [0; 4096];
        let discard = async {
            while discarded < LINGER_BYTES {
                match (&*self.stream).read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => discarded += count,
                }
            }
        };
        with_timeout(LINGER, discard).await;
    }
}

/// Whether a `Connection` header requests a close.
fn wants_close(header: Option<&http_types::headers::HeaderValues>) -> bool {
    header.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case(CLOSE))
}
