//! Relays an engine's answer to the caller.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use futures_lite::future;
use molespan_http::h1::{self, BodyError, Connection, Framing, Headers, LAST_CHUNK, ResponseHead};

use molespan_types::Timestamp;
use slog::info;

use crate::attempt::{EngineBody, EngineReply};
use crate::state::GatewayState;

/// How relaying an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// The caller has the whole answer.
    Whole,
    /// The caller disconnected.
    CallerGone,
    /// The engine broke off before the caller was sent anything; another may begin anew.
    Unsent,
    /// The engine broke off; the caller's connection must be closed.
    EngineBroke,
    /// The request's time is over; the caller's connection must be closed.
    TimeOver,
}

/// The first event while waiting for a piece.
pub(crate) enum Next {
    /// A piece of the body, or its end.
    Piece(Result<Option<Vec<u8>>, BodyError>),
    TimeOver,
}

/// How the body is framed for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerFraming {
    /// Unchanged, for a body that is empty or whose length the head states.
    Plain,
    /// In chunks.
    Chunked,
    /// Until the connection closes, for an HTTP/1.0 caller.
    UntilClose,
}

/// Returns the head for the caller and the framing of the body.
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

/// Records whether the caller's answer is unfinished. Where only the end of the connection
/// tells the caller that the answer is whole, a close is a reset until then.
pub(crate) fn set_unfinished(
    state: &GatewayState,
    caller: &Connection,
    framing: CallerFraming,
    unfinished: bool,
) {
    if framing != CallerFraming::UntilClose {
        return;
    }
    if let Err(error) = caller.reset_on_close(unfinished) {
        info!(state.logger, "cannot set how a caller's connection closes"; "error" => %error);
    }
}

/// Returns the next piece of an answer, unless the request's time is over. Disconnects of
/// the caller are detected for the request as a whole, not here.
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

/// Writes to the caller within the request's time.
pub(crate) async fn write(
    state: &GatewayState,
    caller: &Connection,
    bytes: &[u8],
    deadline: Timestamp,
) -> Result<(), Relayed> {
    let writing = async { caller.write(bytes).await.map_err(|_| Relayed::CallerGone) };
    let late = async {
        state.clock.wait_until(deadline).await;
        Err(Relayed::TimeOver)
    };
    future::or(writing, late).await
}

/// Writes the end of a whole answer to the caller within the request's time.
pub(crate) async fn finish(
    state: &GatewayState,
    caller: &Connection,
    bytes: &[u8],
    framing: CallerFraming,
    deadline: Timestamp,
) -> Relayed {
    if let Err(ended) = write(state, caller, bytes, deadline).await {
        return ended;
    }
    set_unfinished(state, caller, framing, false);
    Relayed::Whole
}

/// Relays a whole answer unchanged.
pub(crate) async fn relay(
    state: &Rc<GatewayState>,
    reply: EngineReply,
    caller: &Connection,
    caller_minor: u8,
    keep_alive: bool,
    deadline: Timestamp,
) -> Relayed {
    let EngineReply { head, mut body, .. } = reply;
    let (bytes, framing) = caller_head(&head, body.framing, caller_minor, keep_alive);
    set_unfinished(state, caller, framing, true);
    let mut waiting = bytes;
    let mut time = pin!(state.clock.wait_until(deadline));
    loop {
        // A piece that is already available is sent together with the head.
        let piece = match next_piece(&mut body, &mut time).await {
            Next::Piece(Ok(piece)) => piece,
            Next::Piece(Err(_)) => {
                state.note_broken(&body.engine);
                return Relayed::EngineBroke;
            }
            Next::TimeOver => return Relayed::TimeOver,
        };
        let ended = piece.is_none() || body.has_ended();
        if let Some(piece) = piece {
            append(&mut waiting, &piece, framing);
        }
        if ended && framing == CallerFraming::Chunked {
            waiting.extend_from_slice(LAST_CHUNK);
        }
        if ended {
            body.finish(state);
            return finish(state, caller, &waiting, framing, deadline).await;
        }
        if let Err(ended) = write(state, caller, &waiting, deadline).await {
            return ended;
        }
        waiting.clear();
    }
}

/// Appends a piece of the body in the caller's framing.
pub(crate) fn append(target: &mut Vec<u8>, piece: &[u8], framing: CallerFraming) {
    match framing {
        CallerFraming::Chunked if piece.is_empty() => {}
        CallerFraming::Chunked => target.extend_from_slice(&h1::chunk(piece)),
        CallerFraming::Plain | CallerFraming::UntilClose => target.extend_from_slice(piece),
    }
}
