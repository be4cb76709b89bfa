//! A caller's connection, which carries requests one after the other.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::h1::{BodyReader, Connection, Framing, HeadError, RequestHead};
use molespan_state::declared::CallerLimits;

use crate::dialect::{GatewayDialect, Refusal};
use crate::request::{CallerRequest, ConnectionAction, check_key, serve};
use crate::state::GatewayState;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size, in bytes, of a body that is read before a request without a valid key is
/// refused, so that the connection can be reused. With a longer body the request is refused
/// without waiting for it.
const MAX_UNAUTHENTICATED_BODY: u64 = 64 << 10;
/// Time for which data from a refused caller is still read and discarded: closing at once
/// would reset the connection, and the answer could be lost.
const LINGER: Duration = Duration::from_millis(500);

/// Result of waiting for a request.
enum Arrival {
    Request(CallerRequest),
    Refused(Refusal),
    Ended,
}

/// Serves a connection until either side closes it.
pub(crate) async fn serve_connection<D: GatewayDialect>(
    state: Rc<GatewayState>,
    dialect: Rc<D>,
    mut connection: Connection,
) {
    let _counted = state.count_connection();
    loop {
        let limits = match state.in_force() {
            Some(in_force) => in_force.model.limits.clone(),
            None => CallerLimits::default(),
        };
        let arrival = arrival(&state, &*dialect, &mut connection, &limits).await;
        let request = match arrival {
            Arrival::Request(request) => request,
            Arrival::Refused(refusal) => {
                let answer = dialect.refusal_answer(refusal).encode(false);
                if connection.write(&answer).await.is_ok() {
                    linger(connection).await;
                }
                return;
            }
            Arrival::Ended => return,
        };
        let _counted = state.count_request();
        let keep_alive = request.head.keeps_alive() && !state.is_stopping();
        if serve(&state, &*dialect, &connection, request, keep_alive).await
            == ConnectionAction::Close
        {
            return;
        }
    }
}

/// Waits for the next request and reads it completely.
async fn arrival<D: GatewayDialect>(
    state: &GatewayState,
    dialect: &D,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Arrival {
    let head = match request_head(state, connection, limits).await {
        Ok(head) => head,
        Err(arrival) => return arrival,
    };
    let arrived = state.now();
    let Some(framing) = Framing::of_request(&head) else {
        return Arrival::Refused(Refusal::Malformed);
    };
    if !matches!(
        framing,
        Framing::Empty | Framing::Length(0..=MAX_UNAUTHENTICATED_BODY)
    ) && let Err(refusal) = check_key(state, dialect, &head)
    {
        return Arrival::Refused(refusal);
    }
    if head.headers.has_token("expect", "100-continue") {
        let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
        if connection.write(go_on).await.is_err() {
            return Arrival::Ended;
        }
    }
    let mut reader = BodyReader::new(framing);
    let body = async { Some(reader.collect(connection, limits.max_body_bytes).await) };
    let late = async {
        Timer::after(BODY_TIMEOUT).await;
        None
    };
    match future::or(body, late).await {
        Some(Ok(body)) => Arrival::Request(CallerRequest {
            head,
            body,
            arrived,
        }),
        Some(Err(molespan_http::h1::BodyError::TooLong)) => Arrival::Refused(Refusal::BodyTooLong),
        Some(Err(molespan_http::h1::BodyError::Framing)) => Arrival::Refused(Refusal::Malformed),
        Some(Err(_)) => Arrival::Ended,
        None => Arrival::Refused(Refusal::Slow),
    }
}

/// Closes a connection whose peer may still be sending.
async fn linger(mut connection: Connection) {
    let late = async {
        Timer::after(LINGER).await;
    };
    future::or(connection.discard(), late).await;
}

async fn request_head(
    state: &GatewayState,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<RequestHead, Arrival> {
    let idle = Duration::from_millis(u64::from(limits.idle_timeout_ms));
    let late = async {
        Timer::after(idle).await;
        false
    };
    let stopping = async {
        state.idle_connections_closed().await;
        false
    };
    let ended = future::or(stopping, late);
    if !future::or(connection.wait_for_bytes(), ended).await {
        return Err(Arrival::Ended);
    }
    let timeout = Duration::from_millis(u64::from(limits.header_timeout_ms));
    let head = async {
        Some(
            connection
                .request_head(limits.max_header_bytes as usize)
                .await,
        )
    };
    let late = async {
        Timer::after(timeout).await;
        None
    };
    match future::or(head, late).await {
        Some(Ok(head)) => Ok(head),
        Some(Err(HeadError::Malformed(_))) => Err(Arrival::Refused(Refusal::Malformed)),
        Some(Err(HeadError::TooLong)) => Err(Arrival::Refused(Refusal::HeadTooLong)),
        Some(Err(_)) => Err(Arrival::Ended),
        None => Err(Arrival::Refused(Refusal::Slow)),
    }
}
