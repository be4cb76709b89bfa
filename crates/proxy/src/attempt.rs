//! One attempt: a request is sent to one engine, and the head of its answer
//! read.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use futures_lite::future;
use molespan_http::h1::{
    self, BodyError, BodyReader, Connection, Framing, HeadError, Headers, ResponseHead,
};
use molespan_routing::dispatch::{Doubt, EngineFacts, Failure, Picked, WorkClass};
use molespan_routing::reach::Sign;
use molespan_state::declared::{RequestDigest, RequestParts};
use molespan_types::{EngineLife, Timestamp};

use crate::dialect::{EngineAnswer, EngineCall, GatewayDialect};
use crate::pace::{EventTimes, note_fault};
use crate::race::{Link, link};
use crate::state::{GatewayState, Occupied};

/// Longest head of an answer.
const HEAD_BYTES: usize = 64 << 10;
/// Late answers to earlier requests that are passed over on one connection.
const MOST_LATE_ANSWERS: usize = 3;
/// Longest late answer that is passed over.
const LATE_ANSWER_BYTES: u64 = 1 << 20;

/// A request as it goes to engines.
#[derive(Clone, Debug)]
pub(crate) struct Outbound {
    /// Its identifier.
    pub id: String,
    /// Whose it is, where there are tenants.
    pub tenant: Option<Rc<str>>,
    /// Host that its caller names.
    pub host: String,
    pub method: String,
    pub target: String,
    /// Headers that are not of one connection alone.
    pub headers: Headers,
    pub body: Vec<u8>,
    pub class: WorkClass,
    /// What names it when it comes again, once that was asked for: it costs a look at
    /// every byte, and most requests never need it.
    pub digest: OnceCell<RequestDigest>,
}

impl Outbound {
    /// What names the request when it comes again under another identifier.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            RequestDigest::of(&RequestParts {
                tenant: self.tenant.as_deref(),
                host: &self.host,
                method: &self.method,
                target: &self.target,
                body: &self.body,
            })
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
    /// Whether the engine has no room for the request now, and may have some later.
    pub fn has_no_room(&self) -> bool {
        let says_so = matches!(self.head.status, 429 | 503);
        self.facts.not_run && !self.facts.displaced && says_so
    }
}

/// The rest of an answer.
pub(crate) struct EngineBody {
    pub engine: String,
    pub connection: Connection,
    pub reader: BodyReader,
    pub framing: Framing,
    /// Whether the connection may be used again.
    reusable: bool,
    keep_alive: Option<Duration>,
    occupied: Occupied,
    times: EventTimes,
}

impl EngineBody {
    /// The next piece, or `None` at the end.
    ///
    /// # Errors
    /// When the engine breaks off.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        self.times.waits(self.occupied.now());
        let piece = self.reader.next(&mut self.connection).await?;
        let came = piece.as_deref().and_then(|piece| {
            let now = self.occupied.now();
            self.times.came(piece, now)
        });
        if let Some((events, took)) = came {
            self.occupied.heard(events, took);
        }
        Ok(piece)
    }

    /// Gives the connection back if the answer was read to its end.
    pub fn finish(self, state: &GatewayState) {
        if self.reusable && self.reader.has_ended() {
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
    /// A batch item that may have been withdrawn meanwhile; nothing was sent.
    #[display("withheld")]
    Withheld,
    /// The engine broke off; it may have run the request.
    #[display("broken off")]
    Broken,
    /// The engine was silent for too long; it may have run the request.
    #[display("silent")]
    Silent,
}

impl AttemptFailure {
    /// Whether the engine may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }

    /// What it says of the engine, if it does.
    fn as_engine_failure(self) -> Option<Failure> {
        match self {
            Self::Unreachable => Some(Failure::Unreachable),
            Self::Withheld => None,
            Self::Broken => Some(Failure::Broken),
            Self::Silent => Some(Failure::Silent),
        }
    }
}

/// Bounds of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// When the request's time is over.
    pub ends: Timestamp,
    /// Longest silence before the head of the answer; none where nothing would
    /// be gained by going elsewhere.
    pub silence: Option<Duration>,
    /// How long a connect may take before another engine is tried beside it; none where
    /// none is tried.
    pub slow: Option<Duration>,
    /// Last event that is there already.
    pub after_event: Option<u64>,
}

/// Sends a request to the engine that was picked, and reads the head of the answer. Where
/// no connection is up soon, the one that `another` picks may have it in its place, and
/// `picked` is that one then.
pub(crate) async fn attempt<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    picked: &mut Picked,
    another: impl FnOnce(&Picked) -> Option<Picked>,
    outbound: &Outbound,
    limits: AttemptLimits,
) -> Result<EngineReply, AttemptFailure> {
    let link = link(state, picked, another, outbound.class, limits).await;
    // It is noted by now which engines could not be reached.
    let link = link.ok_or(AttemptFailure::Unreachable)?;
    let engine = &picked.facts;
    let began = state.now();
    let result = try_attempt(state, dialect, engine, outbound, limits, link).await;
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
            state.note_reached(&engine.id, began, Sign::Answer);
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
        AttemptFailure::Broken => state.doubt(engine, Doubt::Failed),
        AttemptFailure::Unreachable | AttemptFailure::Withheld => {}
    }
}

/// Whether an engine failed a request by its own fault. A 504 is the fault of too
/// little time, and a batch item may be one that no engine can do.
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
    if reply.facts.displaced {
        engines.displaced(engine, now);
        state.pool.forget(engine);
    } else if reply.facts.not_run {
        engines.failed(engine, Failure::Full, now);
    } else if reply.head.status < 500 {
        engines.succeeded(engine, now);
        reply.body.occupied.serves();
    }
}

async fn try_attempt<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    engine: &EngineFacts,
    outbound: &Outbound,
    limits: AttemptLimits,
    link: Link,
) -> Result<EngineReply, AttemptFailure> {
    let Link {
        mut connection,
        occupied,
    } = link;
    // The engine may have left while the connection came up.
    if !state.engines.borrow().is_present(&engine.id) {
        return Err(AttemptFailure::Unreachable);
    }
    if !state.may_start(outbound.class) {
        return Err(AttemptFailure::Withheld);
    }
    let left = limits.ends.since(state.now());
    let message = message(dialect, engine, outbound, limits.after_event, left);
    let mut sent = false;
    let exchange = exchange(dialect, outbound, &mut connection, &message, &mut sent);
    let late = async {
        let silent = limits.silence.map(|silence| state.now() + silence);
        let until = silent.map_or(limits.ends, |silent| silent.min(limits.ends));
        state.clock.wait_until(until).await;
        Err(AttemptFailure::Silent)
    };
    let cut_off = async {
        match limits.silence {
            Some(_) => state.out_of_reach(&engine.id).await,
            None => future::pending().await,
        }
        Err(AttemptFailure::Silent)
    };
    let given_up = future::or(late, cut_off);
    let (head, facts) = future::or(exchange, given_up).await?;
    if !facts.not_run {
        occupied.began();
    }
    let Some(framing) = Framing::of_response(&head, &outbound.method) else {
        return Err(AttemptFailure::Broken);
    };
    let body = EngineBody {
        engine: engine.id.clone(),
        reader: BodyReader::new(framing),
        framing,
        reusable: sent && head.keeps_alive() && framing != Framing::UntilClose,
        keep_alive: facts.keep_alive,
        connection,
        occupied,
        times: EventTimes::default(),
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
        engine: EngineLife::of(&engine.id).name,
        after_event,
    };
    dialect.address_engine(&mut headers, &call);
    headers.set("Content-Length", outbound.body.len().to_string());
    let mut message = h1::encode_request(&outbound.method, &outbound.target, &headers);
    message.extend_from_slice(&outbound.body);
    message
}

/// Sends the message while reading, since an engine may answer before it has
/// read all of it. `sent` tells whether all of it was sent by then.
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
        // What the engine answered before it broke off still counts.
        future::pending().await
    };
    let receive = async {
        for _ in 0..=MOST_LATE_ANSWERS {
            let head = connection
                .response_head(HEAD_BYTES)
                .await
                .map_err(failure_of)?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let facts = dialect.engine_answer(&head);
            if facts.request.as_ref().is_none_or(|id| *id == outbound.id) {
                return Ok((head, facts));
            }
            pass_over(connection, &head, &outbound.method).await?;
        }
        Err(AttemptFailure::Broken)
    };
    future::or(receive, send).await
}

fn failure_of(_error: HeadError) -> AttemptFailure {
    AttemptFailure::Broken
}

/// Reads a late answer to an earlier request to its end.
async fn pass_over(
    connection: &mut Connection,
    head: &ResponseHead,
    method: &str,
) -> Result<(), AttemptFailure> {
    let framing = Framing::of_response(head, method).filter(|one| *one != Framing::UntilClose);
    let mut reader = BodyReader::new(framing.ok_or(AttemptFailure::Broken)?);
    let body = reader.collect(connection, LATE_ANSWER_BYTES).await;
    body.map(drop).map_err(|_| AttemptFailure::Broken)
}
