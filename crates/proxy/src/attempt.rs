//! One attempt: sends a request to one engine and reads the head of its answer.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use futures_lite::future;
use molespan_http::h1::{
    self, BodyError, BodyReader, Connection, Framing, HeadError, Headers, ResponseHead,
};
use molespan_routing::dispatch::{
    EngineFacts, Failure, Picked, PromptPart, SuspectReason, WorkClass,
};
use molespan_routing::reach::ReturnEvidence;
use molespan_routing::suspects::{FeatureDigest, Features, Progress, Shared};
use molespan_state::declared::{RequestDigest, RequestParts};
use molespan_types::{EngineIncarnation, SoftwareVersion, Timestamp};
use slog::info;

use crate::answer_progress::{AllowedEnd, AnswerProgress, framing_text};
use crate::dialect::{EngineAnswer, EngineCall, GatewayDialect};
use crate::pace::{EventTimes, note_fault};
use crate::pool::EngineConnection;
use crate::race::{CountedConnection, connect_engine};
use crate::state::{GatewayState, InFlightGuard};

/// Maximum size of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of late answers to earlier requests that are skipped on one connection.
const MAX_LATE_ANSWERS: usize = 3;
/// Maximum size of a late answer that is skipped, in bytes.
const MAX_LATE_ANSWER_BYTES: u64 = 1 << 20;

/// Maximum size, in bytes, of a failure's body that is read though nobody gets it.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// Timeout for reading such a body, which comes with its head; a retry waits for it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// A request as it is sent to engines.
#[derive(Clone, Debug)]
pub(crate) struct Outbound {
    /// Identifier of the request.
    pub id: String,
    /// Service that runs the request.
    pub service: String,
    /// Tenant of the request; `None` if there are no tenants or the request is anonymous.
    pub tenant: Option<Rc<str>>,
    /// Host named by the caller.
    pub host: String,
    pub method: String,
    pub target: String,
    /// End-to-end headers.
    pub headers: Headers,
    pub body: Vec<u8>,
    pub class: WorkClass,
    /// Whether the answer is to be a stream of events.
    pub expects_events: bool,
    /// Whether the caller takes up an earlier stream.
    pub resumes: bool,
    /// Parts of the prompt, in order.
    pub prompt: Rc<[PromptPart]>,
    /// How far the latest answer has got.
    pub progress: Rc<Cell<Progress>>,
    /// What the request is barred for, if it was sent as a trial.
    pub bar_trial: Cell<Option<FeatureDigest>>,
    /// Computed on first use: the whole body is hashed, and most requests never need it.
    pub features: OnceCell<Features>,
}

impl Outbound {
    /// Returns the digest that identifies the request when it is sent again under another
    /// identifier.
    pub fn digest(&self) -> RequestDigest {
        self.features().request
    }

    /// Returns the digest, and what the request has in common with others.
    pub fn features(&self) -> &Features {
        self.features.get_or_init(|| Features {
            request: RequestDigest::of(&RequestParts {
                tenant: self.tenant.as_deref(),
                host: &self.host,
                method: &self.method,
                target: &self.target,
                body: &self.body,
            }),
            shared: Shared::of(&self.service, self.tenant.as_deref(), &self.prompt),
        })
    }
}

/// An answer whose head was read.
pub(crate) struct EngineReply {
    pub head: ResponseHead,
    pub facts: EngineAnswer,
    pub body: EngineBody,
}

impl EngineReply {
    /// Whether the engine has no capacity for the request now but may have some later.
    pub fn lacks_capacity(&self) -> bool {
        let says_so = matches!(self.head.status, 429 | 503);
        self.facts.not_run && !self.facts.misdirected && says_so
    }
}

/// Returns a software version as it is logged.
pub(crate) fn version_text(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("unknown", SoftwareVersion::as_str)
}

/// The body of an answer.
pub(crate) struct EngineBody {
    /// Identifier of the request that it answers.
    request: String,
    pub engine: String,
    /// Version of the engine's software; `None` if it is unknown.
    pub version: Option<SoftwareVersion>,
    connection: EngineConnection,
    reader: BodyReader,
    pub framing: Framing,
    allowed_end: AllowedEnd,
    /// Whether the connection may be reused.
    reusable: bool,
    keep_alive: Option<Duration>,
    in_flight: InFlightGuard,
    times: EventTimes,
    progress: AnswerProgress,
    /// Where the request's progress is kept.
    request_progress: Rc<Cell<Progress>>,
    /// When the first event had arrived.
    first_event_at: Option<Timestamp>,
}

impl EngineBody {
    /// Returns the next piece, or `None` at the end of a whole answer. All readers of a body
    /// learn here whether it is whole: a piece that ends the body where no whole answer ends
    /// is an error.
    ///
    /// # Errors
    /// When the engine breaks the answer off or sends an invalid body.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        self.times.wait_started(self.in_flight.now());
        let piece = self.next_piece().await;
        match &piece {
            Ok(None) if self.framing == Framing::UntilClose => {
                self.log_end("answer ended with its connection");
            }
            Ok(_) => {}
            Err(_) => self.log_end("engine broke its answer off"),
        }
        piece
    }

    async fn next_piece(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        let piece = self.reader.next(&mut self.connection.connection).await?;
        if let Some(piece) = &piece {
            self.note_piece(piece);
        }
        match self.has_ended() && !self.is_whole().await {
            true => Err(BodyError::CutShort),
            false => Ok(piece),
        }
    }

    /// Whether the answer is whole where its body ends by its framing.
    async fn is_whole(&self) -> bool {
        if !self.allowed_end.allows(&self.progress) {
            return false;
        }
        self.framing != Framing::UntilClose || !self.in_flight.engine_has_ended().await
    }

    /// Reads the rest of the answer, of at most `limit` bytes.
    ///
    /// # Errors
    /// As [`EngineBody::next`], and when the body is longer than `limit`.
    pub async fn collect(&mut self, limit: u64) -> Result<Vec<u8>, BodyError> {
        if matches!(self.framing, Framing::Length(length) if length > limit) {
            return Err(BodyError::TooLong);
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next().await? {
            body.extend_from_slice(&piece);
            if body.len() as u64 > limit {
                return Err(BodyError::TooLong);
            }
        }
        Ok(body)
    }

    /// Reads the rest of a failure that nobody gets, and returns whether it was whole.
    pub async fn discard(mut self, state: &GatewayState) -> bool {
        let until = state.now() + DISCARD_TIMEOUT;
        let rest = async { self.collect(MAX_DISCARDED_BYTES).await.is_ok() };
        let late = async {
            state.clock.wait_until(until).await;
            false
        };
        let is_whole = future::or(rest, late).await;
        self.finish(state);
        is_whole
    }

    /// Records how many whole events have arrived, and for how long.
    fn note_progress(&mut self) {
        let mut progress = self.request_progress.get();
        let events = self.progress.events();
        if events == progress.events {
            return;
        }
        let now = self.in_flight.now();
        let first = *self.first_event_at.get_or_insert(now);
        progress.events = events;
        progress.written_ms = now.since(first).as_millis() as u64;
        self.request_progress.set(progress);
    }

    /// Whether the body was read to its end.
    pub fn has_ended(&self) -> bool {
        self.reader.has_ended()
    }

    fn note_piece(&mut self, piece: &[u8]) {
        let events = self.progress.advance(piece);
        self.note_progress();
        let now = self.in_flight.now();
        if let Some(took) = self.times.piece_arrived(events, now) {
            self.in_flight.note_events(events as u32, took);
        }
    }

    fn log_end(&self, message: &'static str) {
        info!(self.in_flight.logger(), "{}", message; "request" => &self.request,
            "engine" => &self.engine, "framing" => framing_text(self.framing),
            "bytes" => self.progress.bytes, "events" => self.progress.events(),
            "inside_event" => self.progress.is_inside_event());
    }

    /// Returns the connection to the pool if the answer was read to its end.
    pub fn finish(self, state: &GatewayState) {
        if self.reusable && self.has_ended() {
            let now = state.now();
            state
                .pool
                .put(&self.engine, self.connection, self.keep_alive, now);
        }
    }
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum AttemptFailure {
    /// The engine could not be reached; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// A batch item whose job may have been ended in the meantime; nothing was sent.
    #[display("withheld")]
    Withheld,
    /// The exchange failed before a valid head of the answer was read; the engine may have run
    /// the request.
    #[display("broken off")]
    Broken,
    /// The engine did not answer in time; it may have run the request.
    #[display("silent")]
    Silent,
}

impl AttemptFailure {
    /// Whether the engine may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }

    /// Returns the failure to record for the engine, if the engine is at fault.
    fn as_engine_failure(self) -> Option<Failure> {
        match self {
            Self::Unreachable => Some(Failure::Unreachable),
            Self::Withheld => None,
            Self::Broken => Some(Failure::Broken),
            Self::Silent => Some(Failure::Silent),
        }
    }
}

/// Time limits of an attempt, and the position from which a stream continues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// When the request's time ends.
    pub deadline: Timestamp,
    /// Maximum time to wait for the head of the answer; `None` if another engine would not
    /// help.
    pub head_timeout: Option<Duration>,
    /// Connect time after which another engine is tried in parallel; `None` to try only
    /// one.
    pub slow_after: Option<Duration>,
    /// Last event that was already received.
    pub after_event: Option<u64>,
}

/// Sends a request to the picked engine and reads the head of the answer.
///
/// If no connection is established soon, an engine picked by `another` is tried in
/// parallel. If that one connects first, it replaces `picked`.
pub(crate) async fn attempt<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    picked: &mut Picked,
    another: impl FnOnce(&Picked) -> Option<Picked>,
    outbound: &Outbound,
    limits: AttemptLimits,
) -> Result<EngineReply, AttemptFailure> {
    let counted = connect_engine(state, picked, another, outbound, limits).await;
    // `connect_engine` has already recorded which engines could not be reached.
    let counted = counted.ok_or(AttemptFailure::Unreachable)?;
    let engine = &picked.facts;
    let began = state.now();
    outbound.progress.set(Progress {
        resumed_after: limits.after_event.unwrap_or_default(),
        ..Progress::default()
    });
    let result = try_attempt(state, dialect, engine, outbound, limits, counted).await;
    match &result {
        Ok(reply) => {
            let mut engines = state.engines.borrow_mut();
            note_answer(&mut engines, &engine.id, reply, state);
            let status = reply.head.status;
            if outbound.class == WorkClass::Online && !reply.facts.not_run {
                let failed = is_failure(status);
                engines.answered(&engine.id, failed, state.now());
            }
            drop(engines);
            state.note_reached(&engine.id, began, ReturnEvidence::Answer);
        }
        Err(failure) => note_failure(state, &engine.id, *failure, outbound.class, began),
    }
    result
}

fn note_failure(
    state: &GatewayState,
    engine: &str,
    failure: AttemptFailure,
    class: WorkClass,
    began: Timestamp,
) {
    let mut engines = state.engines.borrow_mut();
    if let Some(failure) = failure.as_engine_failure() {
        engines.failed(engine, failure, state.now());
    }
    if class == WorkClass::Online && failure == AttemptFailure::Broken {
        engines.answered(engine, true, state.now());
    }
    drop(engines);
    match failure {
        AttemptFailure::Silent => state.note_unreached(engine, began),
        AttemptFailure::Broken => state.check_reach(engine, SuspectReason::Failed),
        AttemptFailure::Unreachable | AttemptFailure::Withheld => {}
    }
}

/// Whether the status is a failure caused by the engine. A 504 means that the request had
/// too little time, and a batch item may be one that no engine can run.
fn is_failure(status: u16) -> bool {
    matches!(status, 500 | 502)
}

fn note_answer(
    engines: &mut molespan_routing::dispatch::EngineTable,
    engine: &str,
    reply: &EngineReply,
    state: &GatewayState,
) {
    let now = state.now();
    if let Some(load) = reply.facts.load.load {
        engines.report(engine, load, now);
    }
    if let Some(fault) = reply.facts.load.fault {
        note_fault(state, engine, fault);
    }
    if reply.facts.misdirected {
        engines.displaced(engine, now);
        state.pool.forget(engine);
    } else if reply.facts.not_run {
        engines.failed(engine, Failure::Full, now);
    } else if reply.head.status < 500 {
        engines.succeeded(engine, now);
        reply.body.in_flight.note_serving();
    }
}

async fn try_attempt<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    engine: &EngineFacts,
    outbound: &Outbound,
    limits: AttemptLimits,
    counted: CountedConnection,
) -> Result<EngineReply, AttemptFailure> {
    let CountedConnection {
        mut connection,
        in_flight,
    } = counted;
    // The engine may have left while the connection was established.
    if !state.engines.borrow().may_send(&engine.id, state.now()) {
        return Err(AttemptFailure::Unreachable);
    }
    if !state.may_start(outbound.class) {
        return Err(AttemptFailure::Withheld);
    }
    let left = limits.deadline.since(state.now());
    let message = message(dialect, engine, outbound, limits.after_event, left);
    let mut sent = false;
    connection.note_carried(&outbound.id);
    let exchange = exchange(
        dialect,
        outbound,
        &mut connection.connection,
        &message,
        &mut sent,
    );
    let late = async {
        let silent = limits
            .head_timeout
            .map(|head_timeout| state.now() + head_timeout);
        let until = silent.map_or(limits.deadline, |silent| silent.min(limits.deadline));
        state.clock.wait_until(until).await;
        Err(AttemptFailure::Silent)
    };
    let cut_off = async {
        match limits.head_timeout {
            Some(_) => state.wait_until_unreachable(&engine.id).await,
            None => future::pending().await,
        }
        Err(AttemptFailure::Silent)
    };
    let given_up = future::or(late, cut_off);
    let (head, facts) = future::or(exchange, given_up).await?;
    if !facts.not_run {
        in_flight.note_answer_begun();
    }
    let Some(framing) = Framing::of_response(&head, &outbound.method) else {
        return Err(AttemptFailure::Broken);
    };
    let body = EngineBody {
        request: outbound.id.clone(),
        engine: engine.id.clone(),
        version: engine.version.clone(),
        reader: BodyReader::new(framing),
        framing,
        allowed_end: AllowedEnd::of(
            &head,
            framing,
            outbound.expects_events,
            outbound.resumes || limits.after_event.is_some(),
        ),
        reusable: sent && head.keeps_alive() && framing != Framing::UntilClose,
        keep_alive: facts.keep_alive,
        connection,
        in_flight,
        times: EventTimes::default(),
        progress: AnswerProgress::default(),
        request_progress: outbound.progress.clone(),
        first_event_at: None,
    };
    Ok(EngineReply { head, facts, body })
}

fn message<D: GatewayDialect>(
    dialect: &D,
    engine: &EngineFacts,
    outbound: &Outbound,
    after_event: Option<u64>,
    time_left: Duration,
) -> Vec<u8> {
    let mut headers = outbound.headers.clone();
    let call = EngineCall {
        time_left,
        engine: EngineIncarnation::of(&engine.id).name,
        after_event,
    };
    dialect.set_engine_headers(&mut headers, &call);
    headers.set("Content-Length", outbound.body.len().to_string());
    let mut message = h1::encode_request(&outbound.method, &outbound.target, &headers);
    message.extend_from_slice(&outbound.body);
    message
}

/// Sends the message and reads the answer concurrently, since an engine may answer before
/// it has read the whole message. Sets `sent` once the whole message was written.
async fn exchange<D: GatewayDialect>(
    dialect: &D,
    outbound: &Outbound,
    connection: &mut Connection,
    message: &[u8],
    sent: &mut bool,
) -> Result<(ResponseHead, EngineAnswer), AttemptFailure> {
    let stream = connection.clone_stream();
    let send = async {
        if h1::write(&stream, message).await.is_ok() {
            *sent = true;
        }
        // A failed write is not an error here: the engine may have answered before it broke
        // off.
        future::pending().await
    };
    let receive = async {
        for _ in 0..=MAX_LATE_ANSWERS {
            let head = connection
                .response_head(MAX_HEAD_BYTES)
                .await
                .map_err(failure_of)?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let facts = dialect.engine_answer(&head);
            if facts.request.as_ref().is_none_or(|id| *id == outbound.id) {
                return Ok((head, facts));
            }
            skip_late_answer(connection, &head, &outbound.method).await?;
        }
        Err(AttemptFailure::Broken)
    };
    future::or(receive, send).await
}

fn failure_of(_error: HeadError) -> AttemptFailure {
    AttemptFailure::Broken
}

/// Reads a late answer to an earlier request to its end.
async fn skip_late_answer(
    connection: &mut Connection,
    head: &ResponseHead,
    method: &str,
) -> Result<(), AttemptFailure> {
    let framing = Framing::of_response(head, method).filter(|one| *one != Framing::UntilClose);
    let mut reader = BodyReader::new(framing.ok_or(AttemptFailure::Broken)?);
    let body = reader.collect(connection, MAX_LATE_ANSWER_BYTES).await;
    body.map(drop).map_err(|_| AttemptFailure::Broken)
}
