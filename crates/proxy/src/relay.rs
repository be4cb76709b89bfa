//! Passing an engine's answer on to the caller.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use futures_lite::future;
use molespan_http::h1::{self, BodyError, Connection, Framing, Headers, LAST_CHUNK, ResponseHead};

use molespan_types::Timestamp;

use crate::attempt::{EngineBody, EngineReply};
use crate::state::GatewayState;

/// How passing an answer on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// The caller has the whole answer.
    Whole,
    /// The caller left.
    CallerGone,
    /// The engine broke off; the caller's connection must be closed.
    EngineBroke,
    /// The request's time is over; the caller's connection must be closed.
    TimeOver,
}

/// What happened first.
pub(crate) enum Next {
    /// A piece of the body, or its end.
    Piece(Result<Option<Vec<u8>>, BodyError>),
    TimeOver,
}

/// How the body goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerFraming {
    /// As it is, for a body whose length the head tells or that is empty.
    Plain,
    /// In chunks.
    Chunked,
    /// Until the connection closes, for a caller of HTTP/1.0.
    UntilClose,
}

/// The head for the caller, and how the body follows.
pub(crate) fn caller_head(
    head: &ResponseHead,
    framing: Framing,
    caller_minor: u8,
    keep_alive: bool,
) -> (Vec<u8>, CallerFraming) {
    let mut headers = Headers::new();
    headers.extend_end_to_end(&head.headers);
    let caller = match framing {
        Framing::Length(length) => {
            headers.push("Content-Length", length.to_string());
            CallerFraming::Plain
        }
        Framing::Empty => {
            if let Some(length) = head.headers.get("content-length") {
                headers.push("Content-Length", length);
            }
            CallerFraming::Plain
        }
        _ if caller_minor == 0 => CallerFraming::UntilClose,
        _ => {
            headers.push("Transfer-Encoding", "chunked");
            CallerFraming::Chunked
        }
    };
    if !keep_alive || caller == CallerFraming::UntilClose {
        headers.push("Connection", "close");
    }
    (
        h1::encode_response(head.status, &head.reason, &headers),
        caller,
    )
}

/// The next piece of an answer, unless the time is over. A caller that leaves
/// ends the whole request, which watches it.
pub(crate) async fn next_piece(
    body: &mut EngineBody,
    time: &mut (impl Future<Output = ()> + Unpin),
) -> Next {
    let piece = async { Next::Piece(body.next().await) };
    let late = async {
        time.await;
        Next::TimeOver
    };
    future::or(piece, late).await
}

/// Writes to the caller, within the request's time.
pub(crate) async fn write(
    state: &GatewayState,
    caller: &Connection,
    bytes: &[u8],
    ends: Timestamp,
) -> Result<(), Relayed> {
    let writing = async { caller.write(bytes).await.map_err(|_| Relayed::CallerGone) };
    let late = async {
        state.clock.wait_until(ends).await;
        Err(Relayed::TimeOver)
    };
    future::or(writing, late).await
}

/// Passes a whole answer on, byte for byte.
pub(crate) async fn relay(
    state: &Rc<GatewayState>,
    reply: EngineReply,
    caller: &Connection,
    caller_minor: u8,
    keep_alive: bool,
    ends: Timestamp,
) -> Relayed {
    let EngineReply { head, mut body, .. } = reply;
    let (bytes, framing) = caller_head(&head, body.framing, caller_minor, keep_alive);
    let mut waiting = bytes;
    let mut time = pin!(state.clock.wait_until(ends));
    loop {
        // A piece that is there already goes out with the head.
        let piece = match next_piece(&mut body, &mut time).await {
            Next::Piece(Ok(piece)) => piece,
            Next::Piece(Err(_)) => {
                state.note_broken(&body.engine);
                return Relayed::EngineBroke;
            }
            Next::TimeOver => return Relayed::TimeOver,
        };
        let ended = piece.is_none() || body.reader.has_ended();
        if let Some(piece) = piece {
            append(&mut waiting, &piece, framing);
        }
        if ended && framing == CallerFraming::Chunked {
            waiting.extend_from_slice(LAST_CHUNK);
        }
        if ended {
            body.finish(state);
            return match write(state, caller, &waiting, ends).await {
                Ok(()) => Relayed::Whole,
                Err(ended) => ended,
            };
        }
        if let Err(ended) = write(state, caller, &waiting, ends).await {
            return ended;
        }
        waiting.clear();
    }
}

/// Adds a piece of the body in the caller's framing.
pub(crate) fn append(target: &mut Vec<u8>, piece: &[u8], framing: CallerFraming) {
    match framing {
        CallerFraming::Chunked if piece.is_empty() => {}
        CallerFraming::Chunked => target.extend_from_slice(&h1::chunk(piece)),
        CallerFraming::Plain | CallerFraming::UntilClose => target.extend_from_slice(piece),
    }
}
