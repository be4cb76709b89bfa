//! Relays a stream that another engine may continue.
//!
//! Only complete events are sent to the caller. If the engine breaks off, the next one is
//! asked to continue after the last event sent; the head and the signature remain those of
//! the first engine. Only an engine of the same software version may continue: what two
//! versions write does not fit together, and engines do not check it. Before the first
//! event was sent, a stream begins anew at any version.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use molespan_http::h1::{Connection, LAST_CHUNK};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::{SoftwareVersion, Timestamp};
use slog::info;

use crate::attempt::{EngineBody, EngineReply, version_text};
use crate::dialect::GatewayDialect;
use crate::dispatch::Dispatch;
use crate::events::EventParser;
use crate::metrics::Resumed;
use crate::relay::{
    CallerFraming, Next, Relayed, append, caller_head, finish, next_piece, set_unfinished, write,
};
use crate::silence::InactivityTimer;
use crate::state::GatewayState;
use crate::streams::RunningStream;

/// Multiple of the route's target gap between events after which a silent engine is
/// replaced.
const SILENT_GAPS: u32 = 3;
/// Target gap between events if the route states none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// Result of one engine's part of a stream.
enum PartResult {
    /// The stream is complete.
    Whole,
    /// The engine broke off or stopped sending.
    Broken,
    /// Relaying ended here.
    Ended(Relayed),
}

/// Progress of the relayed stream.
struct RelayProgress<'a> {
    state: &'a Rc<GatewayState>,
    caller: &'a Connection,
    framing: CallerFraming,
    deadline: Timestamp,
    /// The head, until it is sent with the first event.
    head: Option<Vec<u8>>,
    /// Events not yet sent.
    waiting: Vec<u8>,
    last_event: Option<u64>,
    inactivity_limit: Option<Duration>,
    /// Where the stream began; `None` if the engine's version is unknown.
    origin: Option<(StreamKey, StreamOrigin)>,
    /// Held while the stream's events go to the caller.
    running: Option<RunningStream>,
}

/// Relays a stream, from several engines if necessary.
pub(crate) async fn relay_resumable<D: GatewayDialect>(
    dispatch: &mut Dispatch<'_, D>,
    reply: EngineReply,
    caller: &Connection,
    minor: u8,
    keep_alive: bool,
) -> Relayed {
    let framing = molespan_http::h1::Framing::Chunked;
    let (head, framing) = caller_head(&reply.head, framing, minor, keep_alive);
    let gap = dispatch
        .route
        .gap_target_ms
        .map(u64::from)
        .map(Duration::from_millis);
    let mut progress = RelayProgress {
        state: dispatch.state,
        caller,
        framing,
        deadline: dispatch.deadline,
        head: Some(head),
        waiting: Vec::new(),
        last_event: dispatch.last_event_of_caller(),
        inactivity_limit: None,
        origin: dispatch.origin(reply.body.version.as_ref()),
        running: None,
    };
    let mut body = reply.body;
    loop {
        let again = dispatch.may_run_again();
        progress.inactivity_limit = again.then(|| gap.unwrap_or(DEFAULT_GAP) * SILENT_GAPS);
        let engine = body.engine.clone();
        let version = body.version.clone();
        match progress.relay_events(&mut body).await {
            PartResult::Whole => {
                body.finish(dispatch.state);
                return progress.close().await;
            }
            PartResult::Ended(ended) => return ended,
            PartResult::Broken => dispatch.note_broken(&engine, version.as_ref()),
        }
        // Closing the connection stops the work at the first engine.
        drop(body);
        if progress.head.is_some() {
            return Relayed::Unsent;
        }
        if version.is_none() || !dispatch.may_run_again() {
            return Relayed::EngineBroke;
        }
        dispatch.version = version.clone();
        body = match dispatch.next_reply(progress.last_event).await {
            Ok(reply) if reply.head.status == 200 => reply.body,
            _ => return Relayed::EngineBroke,
        };
        progress.state.metrics.streams.count(Resumed::SameAnswer);
        progress.log_next_engine(dispatch, &engine, &body);
    }
}

impl<D: GatewayDialect> Dispatch<'_, D> {
    /// Returns the key and the origin of the request's stream, which an engine of `version`
    /// begins or goes on with.
    fn origin(&self, version: Option<&SoftwareVersion>) -> Option<(StreamKey, StreamOrigin)> {
        let origin = StreamOrigin {
            service: self.service.clone(),
            version: version?.clone(),
        };
        let resumption = self.facts.resumption.as_ref();
        let began_as = match resumption {
            Some(resumption) => resumption.began_as.as_ref()?,
            None => &self.outbound.id,
        };
        let key = StreamKey::of(self.outbound.tenant.as_deref(), began_as);
        Some((key, origin))
    }

    /// Returns the last event that the caller has from an earlier answer.
    fn last_event_of_caller(&self) -> Option<u64> {
        self.facts.resumption.as_ref()?.last_event
    }
}

impl RelayProgress<'_> {
    /// Logs that another engine goes on with the stream. The versions are those that control
    /// nodes listed that long ago.
    fn log_next_engine<D>(&self, dispatch: &Dispatch<'_, D>, from: &str, to: &EngineBody) {
        let engines = self.state.engines.borrow();
        let listed = |engine: &str| {
            let age = engines.listing_age(engine, self.state.now());
            age.map(|age| age.as_millis() as u64)
        };
        info!(self.state.logger, "stream goes on at another engine";
            "request" => &dispatch.outbound.id, "after_event" => self.last_event,
            "version" => version_text(to.version.as_ref()),
            "from" => from, "from_listed_ms_ago" => listed(from),
            "engine" => &to.engine, "listed_ms_ago" => listed(&to.engine));
    }

    /// Relays the events of one engine.
    async fn relay_events(&mut self, body: &mut EngineBody) -> PartResult {
        let mut parser = EventParser::default();
        let mut time = pin!(self.state.clock.wait_until(self.deadline));
        let mut inactivity = InactivityTimer::new(self.inactivity_limit);
        loop {
            let next = next_piece(body, &mut time);
            let silent = async {
                (&mut inactivity).await;
                None
            };
            let next = future::or(async { Some(next.await) }, silent).await;
            inactivity.reset();
            let piece = match next {
                None | Some(Next::Piece(Err(_))) => return PartResult::Broken,
                Some(Next::TimeOver) => return PartResult::Ended(Relayed::TimeOver),
                Some(Next::Piece(Ok(piece))) => piece,
            };
            let Some(piece) = piece else {
                self.add_rest(parser);
                return PartResult::Whole;
            };
            if !parser.push(&piece) {
                return PartResult::Broken;
            }
            while let Some(event) = parser.next() {
                if let Some(head) = self.head.take() {
                    self.begin(&head);
                }
                self.last_event = event.id.or(self.last_event);
                append(&mut self.waiting, &event.bytes, self.framing);
            }
            if let Err(ended) = self.flush().await {
                return PartResult::Ended(ended);
            }
            if body.has_ended() {
                self.add_rest(parser);
                return PartResult::Whole;
            }
        }
    }

    /// Adds what a whole answer holds behind its last event, so that the caller gets each of
    /// its bytes also where it is no stream of events.
    fn add_rest(&mut self, parser: EventParser) {
        let rest = parser.into_rest();
        if rest.is_empty() {
            return;
        }
        if let Some(head) = self.head.take() {
            self.begin(&head);
        }
        append(&mut self.waiting, &rest, self.framing);
    }

    /// Begins the answer with its first event.
    fn begin(&mut self, head: &[u8]) {
        set_unfinished(self.state, self.caller, self.framing, true);
        self.waiting.extend_from_slice(head);
        if let Some((key, origin)) = self.origin.take() {
            self.running = Some(self.state.note_stream(key, origin));
        }
    }

    async fn flush(&mut self) -> Result<(), Relayed> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.waiting);
        write(self.state, self.caller, &bytes, self.deadline).await
    }

    async fn close(&mut self) -> Relayed {
        if let Some(head) = self.head.take() {
            self.begin(&head);
        }
        if self.framing == CallerFraming::Chunked {
            self.waiting.extend_from_slice(LAST_CHUNK);
        }
        let bytes = std::mem::take(&mut self.waiting);
        finish(self.state, self.caller, &bytes, self.framing, self.deadline).await
    }
}
