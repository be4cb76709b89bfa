//! Streams this node's decisions as server-sent events.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::{EventWriter, Request, Response, ServerEvent, event_response};
use molespan_telemetry::{EventBuffer, EventFilter, EventKind, EventSubscription, Watched};

/// Path of the stream on every node.
pub(crate) const EVENTS_PATH: &str = "/admin/events";
/// Events buffered for a slow watcher; further events stay in the ring buffer.
const STREAM_BUFFER: usize = 16;
/// Interval between keep-alive comments on an idle stream.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// An SSE comment, which clients ignore.
const COMMENT: &[u8] = b": alive\n\n";

/// The events a watcher asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventQuery {
    filter: EventFilter,
    /// Number of past events sent first.
    history: usize,
}

impl EventQuery {
    /// Parses `?kind=A,B`, `?subject=TEXT` and `?history=N`; the error is a sentence
    /// that describes the problem.
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

/// Returns the response that streams the events, and the future that writes it. The
/// future completes when the watcher disconnects or the node shuts down gracefully.
pub(crate) fn watch(
    buffer: &EventBuffer,
    query: EventQuery,
    stopping: impl Future<Output = ()> + Send + 'static,
) -> (Response, impl Future<Output = ()> + Send + 'static) {
    let subscription = buffer.subscribe(query.filter, query.history);
    let (writer, response) = event_response(STREAM_BUFFER);
    (response, stream(subscription, writer, stopping))
}

/// What a watcher's stream handles next.
enum Next {
    /// An event or a gap.
    Watched(Watched),
    /// The keep-alive interval passed without an event.
    Silence,
    /// The node shuts down gracefully; an open stream must not delay that.
    Stopping,
}

async fn stream(
    mut subscription: EventSubscription,
    writer: EventWriter,
    stopping: impl Future<Output = ()>,
) {
    let mut stopping = pin!(stopping);
    loop {
        let event = async { Next::Watched(subscription.next().await) };
        let silence = async {
            Timer::after(KEEP_ALIVE).await;
            Next::Silence
        };
        let stop_requested = async {
            stopping.as_mut().await;
            Next::Stopping
        };
        let next = future::or(event, future::or(silence, stop_requested));
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

/// Serializes an event as `{"event":…}` or a gap as `{"gap":…}`.
fn server_event(watched: &Watched) -> ServerEvent {
    let (name, id) = match watched {
        Watched::Event(event) => ("event", event.sequence.to_string()),
        Watched::Gap(_) => ("gap", String::new()),
    };
    ServerEvent {
        name: name.to_owned(),
        id,
        // Serializing plain fields cannot fail.
        data: serde_json::to_string(watched).unwrap_or_default(),
    }
}
