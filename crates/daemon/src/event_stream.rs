//! Decisions of this node as they happen, as server-sent events.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::{EventWriter, Request, Response, ServerEvent, event_response};
use molespan_telemetry::{EventBuffer, EventFilter, EventKind, EventSubscription, Watched};

/// Path of the stream on every node.
pub(crate) const EVENTS_PATH: &str = "/admin/events";
/// Events that wait in memory for a slow watcher; the rest waits in the ring.
const PIECES: usize = 16;
/// Time between two comments that keep a silent stream alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// A comment, which readers of events skip.
const COMMENT: &[u8] = b": alive\n\n";

/// What a watcher wants to see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventQuery {
    filter: EventFilter,
    /// Earlier events that come first.
    history: usize,
}

impl EventQuery {
    /// Reads `?kind=A,B`, `?subject=TEXT` and `?history=N`; the error says in a
    /// sentence what is wrong.
    pub fn read(request: &Request) -> Result<Self, String> {
        let mut query = Self::default();
        for (name, value) in request.url().query_pairs() {
            match &*name {
                "kind" => query.filter.kinds.extend(kinds(&value)?),
                "subject" => query.filter.subject = Some(value.into_owned()),
                "history" => query.history = history(&value)?,
                _ => {}
            }
        }
        Ok(query)
    }
}

fn kinds(names: &str) -> Result<Vec<EventKind>, String> {
    let names = names.split(',').filter(|name| !name.is_empty());
    let kinds: Result<Vec<EventKind>, _> = names.map(str::parse).collect();
    kinds.map_err(|error| error.to_string())
}

fn history(text: &str) -> Result<usize, String> {
    text.parse()
        .map_err(|_| "the query parameter `history` must be a whole number".to_owned())
}

/// The response that streams the events, and the work that writes it. It ends
/// when the watcher leaves or the node stops as planned.
pub(crate) fn watch(
    buffer: &EventBuffer,
    query: EventQuery,
    stopping: impl Future<Output = ()> + Send + 'static,
) -> (Response, impl Future<Output = ()> + Send + 'static) {
    let subscription = buffer.subscribe(query.filter, query.history);
    let (writer, response) = event_response(PIECES);
    (response, stream(subscription, writer, stopping))
}

/// What a watcher's stream waits for.
enum Next {
    /// Something happened.
    Watched(Watched),
    /// Nothing happened for a while.
    Silence,
    /// The node stops as planned, which a watcher must not hold up.
    Stopping,
}

async fn stream(
    mut subscription: EventSubscription,
    writer: EventWriter,
    stopping: impl Future<Output = ()>,
) {
    let mut stopping = pin!(stopping);
    loop {
        let happened = async { Next::Watched(subscription.next().await) };
        let silence = async {
            Timer::after(KEEP_ALIVE).await;
            Next::Silence
        };
        let stopped = async {
            stopping.as_mut().await;
            Next::Stopping
        };
        let next = future::or(happened, future::or(silence, stopped));
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
