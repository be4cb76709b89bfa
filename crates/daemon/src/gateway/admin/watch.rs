//! Decisions as they happen, as server-sent events.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::{EventWriter, Request, Response, ServerEvent, event_response};
use molespan_telemetry::{EventFilter, EventKind, EventSubscription, Watched};

use super::super::error::ApiError;
use super::super::state::GatewayState;
use super::super::validation::{query_number, query_text};

/// Events that wait in memory for a slow watcher; the rest waits in the ring.
const PIECES: usize = 16;
/// Earlier events that a watcher gets first, unless it says otherwise.
const HISTORY: u64 = 0;
/// Time between two comments that keep a silent stream alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// A comment, which readers of events skip.
const COMMENT: &[u8] = b": alive\n\n";

/// Streams events from now on, after `?history=N` earlier ones, of the kinds
/// in `?kind=A,B` and with `?subject=TEXT` in their subject.
pub(super) fn events(state: &Arc<GatewayState>, request: &Request) -> Result<Response, ApiError> {
    let filter = EventFilter {
        kinds: kinds(request)?,
        subject: query_text(request, "subject"),
    };
    let history = query_number(request, "history")?.unwrap_or(HISTORY);
    let subscription = state
        .events
        .buffer()
        .subscribe(filter, usize::try_from(history).unwrap_or(usize::MAX));
    let (writer, response) = event_response(PIECES);
    let watched = state.clone();
    state.spawn(async move { stream(&watched, subscription, writer).await });
    Ok(response)
}

fn kinds(request: &Request) -> Result<Vec<EventKind>, ApiError> {
    let Some(names) = query_text(request, "kind") else {
        return Ok(Vec::new());
    };
    let names = names.split(',').filter(|name| !name.is_empty());
    names
        .map(|name| {
            let kind: Result<EventKind, _> = name.parse();
            kind.map_err(|error| ApiError::bad_request("bad_query", error.to_string()))
        })
        .collect()
}

/// What a watcher's stream waits for.
enum Next {
    /// Something happened.
    Watched(Watched),
    /// Nothing happened for a while.
    Silence,
    /// The gateway stops as planned, which a watcher must not hold up.
    Stopping,
}

async fn stream(state: &GatewayState, mut subscription: EventSubscription, writer: EventWriter) {
    loop {
        let happened = async { Next::Watched(subscription.next().await) };
        let silence = async {
            Timer::after(KEEP_ALIVE).await;
            Next::Silence
        };
        let stopping = async {
            state.stopping().await;
            Next::Stopping
        };
        let next = future::or(happened, future::or(silence, stopping));
        let sent = match next.await {
            Next::Watched(watched) => writer.send(&server_event(&watched)).await,
            Next::Silence => writer.send_bytes(COMMENT.to_vec()).await,
            Next::Stopping => {
                let _watcher_gone = writer.finish().await;
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// An event or a gap, as `{"event":…}` or `{"gap":…}`.
fn server_event(watched: &Watched) -> ServerEvent {
    let (name, id) = match watched {
        Watched::Event(event) => ("event", event.sequence.to_string()),
        Watched::Gap(_) => ("gap", String::new()),
    };
    ServerEvent {
        name: name.to_owned(),
        id,
        // Plain fields always serialize.
        data: serde_json::to_string(watched).unwrap_or_default(),
    }
}
