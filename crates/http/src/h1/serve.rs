//! A small server for requests with bodies in memory, such as those of operators and
//! back ends.

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

use super::body::{BodyReader, Framing};
use super::connection::{Connection, HeadError};
use super::head::{Headers, RequestHead, encode_response};
use super::net::{SocketOptions, prepare};

/// Maximum length of the head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum length of the body of a request.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A response with its body in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers, without those about the connection and the length of the body.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Self {
        let mut headers = Headers::new();
        headers.push("Content-Type", "application/json");
        Self {
            status,
            headers,
            body: body.into(),
        }
    }

    /// Creates a response without a body.
    #[must_use]
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// Encodes the response.
    #[must_use]
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut headers = self.headers.clone();
        headers.set("Content-Length", self.body.len().to_string());
        if !keep_alive {
            headers.set("Connection", "close");
        }
        let mut bytes = encode_response(self.status, reason(self.status), &headers);
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Returns the reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Answers requests.
pub trait Service: 'static {
    /// Answers a request.
    fn call(&self, head: RequestHead, body: Vec<u8>) -> impl Future<Output = Answer>;
}

/// Accepts connections of `listener` forever and serves them on `executor`.
pub async fn serve_listener<S: Service>(
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    service: Rc<S>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if prepare(&stream, SocketOptions::default()).is_err() {
            continue;
        }
        let service = service.clone();
        let connection = Connection::new(stream);
        executor
            .spawn(async move { serve_connection(connection, &*service).await })
            .detach();
    }
}

async fn serve_connection<S: Service>(mut connection: Connection, service: &S) {
    loop {
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let head = async { Some(connection.request_head(MAX_HEAD_BYTES).await) };
        let head = match future::or(head, idle).await {
            Some(Ok(head)) => head,
            Some(Err(HeadError::Malformed(_))) => {
                return finish(&connection, Answer::empty(400)).await;
            }
            Some(Err(HeadError::TooLong)) => {
                return finish(&connection, Answer::empty(431)).await;
            }
            _ => return,
        };
        let Some(framing) = Framing::of_request(&head) else {
            return finish(&connection, Answer::empty(400)).await;
        };
        let keep_alive = head.keeps_alive();
        let mut reader = BodyReader::new(framing);
        let Ok(body) = reader.collect(&mut connection, MAX_BODY_BYTES).await else {
            return finish(&connection, Answer::empty(413)).await;
        };
        let answer = service.call(head, body).await;
        if connection.write(&answer.encode(keep_alive)).await.is_err() || !keep_alive {
            return;
        }
    }
}

/// Writes the last response of a connection, ignoring failures.
async fn finish(connection: &Connection, answer: Answer) {
    let _gone = connection.write(&answer.encode(false)).await;
}
