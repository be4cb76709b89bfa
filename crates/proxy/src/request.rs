//! A caller's request: its route, and the attempts until one engine answers.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use molespan_http::h1::{BodyReader, Connection, Headers, RequestHead};
use molespan_routing::dispatch::{NoEngine, Pick, Picked, PromptCost, WorkClass};
use molespan_state::declared::{Route, RouteKind};
use slog::{debug, info};

use crate::attempt::{AttemptFailure, AttemptLimits, EngineReply, Outbound, attempt};
use crate::batch::{self, give_way};
use crate::dialect::{GatewayDialect, Refusal, RequestFacts};
use crate::relay::{Relayed, relay, write};
use crate::resume::relay_resumable;
use crate::state::GatewayState;

/// Attempts that engines turned away before a request is refused.
const MOST_TURNED_AWAY: u32 = 6;
/// Time between two looks for an engine with room.
const LOOK_AGAIN: Duration = Duration::from_millis(8);
/// When a refused caller should come back.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// When a caller should come back to a cluster that has just started: an
/// election and a watch take about as long.
const KNOWS_SOON: Duration = Duration::from_millis(1_200);
/// Part of the target latency for which a request looks for an engine.
const LOOKING_SHARE: f64 = 0.2;
/// An answer in whole is held up to this length, so that a request that may be
/// repeated can be when its engine breaks off.
const HELD_BYTES: u64 = 256 << 10;
/// Shortest silence of an engine after which a repeatable request goes
/// elsewhere.
const SHORTEST_SILENCE: Duration = Duration::from_millis(250);

/// A request of a caller that was read whole.
pub(crate) struct CallerRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// When its head was there.
    pub arrived: Instant,
}

/// Whether the caller's connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    KeepAlive,
    Close,
}

/// Serves one request.
pub(crate) async fn serve<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    caller: &Connection,
    request: CallerRequest,
    keep_alive: bool,
) -> After {
    let Some(in_force) = state.in_force() else {
        let refusal = Refusal::NoConfiguration {
            retry_after: KNOWS_SOON,
        };
        return refuse(dialect, caller, refusal, keep_alive).await;
    };
    if let Some(call) = dialect.batch_call(&request.head) {
        let answer = batch::call(state, dialect, call).await;
        return finish(caller, &answer.encode(keep_alive), keep_alive).await;
    }
    let host = request.head.host();
    let Some(route) = in_force.model.route(&host, request.head.path()) else {
        info!(state.logger, "no route"; "host" => host, "path" => request.head.path(),
            "version" => in_force.version);
        return refuse(dialect, caller, Refusal::NoRoute, keep_alive).await;
    };
    if route.kind == RouteKind::Batch {
        let answer = batch::submit(state, dialect, &request).await;
        return finish(caller, &answer.encode(keep_alive), keep_alive).await;
    }
    let Some(service) = in_force.service(route) else {
        return refuse(dialect, caller, Refusal::NoRoute, keep_alive).await;
    };
    let minor = request.head.minor;
    let mut dispatch = Dispatch::online(state, dialect, route, service, request);
    let served = dispatch.answer(caller, minor, keep_alive);
    let gone = async {
        caller.gone().await;
        After::Close
    };
    // The answer goes first: while it is written the caller is watched too.
    future::or(served, gone).await
}

async fn refuse<D: GatewayDialect>(
    dialect: &D,
    caller: &Connection,
    refusal: Refusal,
    keep_alive: bool,
) -> After {
    let answer = dialect.refusal(refusal).encode(keep_alive);
    finish(caller, &answer, keep_alive).await
}

async fn finish(caller: &Connection, bytes: &[u8], keep_alive: bool) -> After {
    match caller.write(bytes).await {
        Ok(()) if keep_alive => After::KeepAlive,
        _ => After::Close,
    }
}

/// The attempts of one request.
pub(crate) struct Dispatch<'a, D> {
    pub state: &'a Rc<GatewayState>,
    pub dialect: &'a D,
    pub route: &'a Route,
    pub service: String,
    pub outbound: Outbound,
    pub facts: RequestFacts,
    /// When its time is over.
    pub ends: Instant,
    arrived: Instant,
    tried: BTreeSet<String>,
    /// Engines that may have run it.
    runs: u32,
    /// Engines that said they did not run it, or could not be reached.
    turned_away: u32,
}

impl<'a, D: GatewayDialect> Dispatch<'a, D> {
    fn online(
        state: &'a Rc<GatewayState>,
        dialect: &'a D,
        route: &'a Route,
        service: String,
        request: CallerRequest,
    ) -> Self {
        let facts = dialect.facts(&request.head.headers);
        let timeout = Duration::from_millis(u64::from(route.timeout_ms));
        let patience = facts.patience.unwrap_or(timeout).min(timeout);
        let mut headers = Headers::new();
        headers.extend_end_to_end(&request.head.headers);
        headers.remove("expect");
        let outbound = Outbound {
            id: facts.id.clone(),
            method: request.head.method,
            target: request.head.target,
            headers,
            body: request.body,
            class: WorkClass::Online,
        };
        let ends = request.arrived + patience;
        Self::new(state, dialect, route, service, outbound, facts, ends)
    }

    /// Attempts of a request that goes to `service`.
    pub fn new(
        state: &'a Rc<GatewayState>,
        dialect: &'a D,
        route: &'a Route,
        service: String,
        outbound: Outbound,
        facts: RequestFacts,
        ends: Instant,
    ) -> Self {
        Self {
            state,
            dialect,
            route,
            service,
            outbound,
            facts,
            ends,
            arrived: Instant::now(),
            tried: BTreeSet::new(),
            runs: 0,
            turned_away: 0,
        }
    }

    /// Whether another engine may run it.
    pub fn may_run_again(&self) -> bool {
        let batch = self.outbound.class == WorkClass::Batch;
        batch || (self.route.is_repeatable() && self.runs < self.route.max_attempts)
    }

    /// An engine that had begun broke off.
    pub fn note_broken(&mut self, engine: &str) {
        self.tried.insert(engine.to_owned());
        info!(self.state.logger, "answer broken off";
            "request" => &self.outbound.id, "engine" => engine, "runs" => self.runs);
    }

    /// Brings the request to engines until one answers.
    ///
    /// # Errors
    /// Why none does, as the caller should hear it.
    pub async fn next_reply(&mut self, after_event: Option<u64>) -> Result<EngineReply, Refusal> {
        loop {
            if Instant::now() >= self.ends {
                return Err(self.out_of_time());
            }
            let picked = self.pick().await?;
            let limits = AttemptLimits {
                ends: self.ends,
                silence: self.silence(),
                after_event,
            };
            let engine = &picked.facts;
            if self.outbound.class == WorkClass::Online {
                give_way(self.state);
            }
            debug!(self.state.logger, "attempt"; "request" => &self.outbound.id,
                "engine" => &engine.id, "load" => picked.load,
                "unread" => picked.unread_tokens, "before" => picked.before_tokens,
                "runs" => self.runs);
            let result = attempt(self.state, self.dialect, &picked, &self.outbound, limits).await;
            self.tried.insert(engine.id.clone());
            match result {
                Ok(reply) if reply.facts.not_run || reply.facts.displaced => {
                    self.turned_away += 1;
                    if self.turned_away >= MOST_TURNED_AWAY {
                        return Err(self.give_up());
                    }
                }
                Ok(reply) => {
                    self.runs += 1;
                    self.note_held(&engine.id);
                    let failed = matches!(reply.head.status, 500 | 502 | 504);
                    if failed && self.route.kind == RouteKind::Safe && self.may_run_again() {
                        continue;
                    }
                    return Ok(reply);
                }
                Err(failure) => self.note_failure(&engine.id, failure)?,
            }
        }
    }

    /// The engine read the prompt, and holds what of it is shared.
    fn note_held(&self, engine: &str) {
        if let Some(shared) = PromptCost::of(&self.facts.prompt).shared {
            let now = self.state.now();
            self.state
                .engines
                .borrow_mut()
                .holds(engine, shared.key, now);
        }
    }

    fn note_failure(&mut self, engine: &str, failure: AttemptFailure) -> Result<(), Refusal> {
        info!(self.state.logger, "attempt failed"; "request" => &self.outbound.id,
            "engine" => engine, "failure" => %failure, "runs" => self.runs);
        if !failure.may_have_run() {
            self.turned_away += 1;
            return match self.turned_away >= MOST_TURNED_AWAY {
                true => Err(self.give_up()),
                false => Ok(()),
            };
        }
        self.runs += 1;
        if Instant::now() >= self.ends {
            return Err(Refusal::TimedOut);
        }
        match self.may_run_again() {
            true => Ok(()),
            false => Err(Refusal::AnswerLost),
        }
    }

    /// No engine takes it. It may be said not to have run only if none did.
    fn give_up(&self) -> Refusal {
        match self.runs {
            0 => Refusal::Busy {
                retry_after: RETRY_AFTER,
            },
            _ => Refusal::AnswerLost,
        }
    }

    fn out_of_time(&self) -> Refusal {
        match self.runs {
            0 => Refusal::TooLate,
            _ => Refusal::TimedOut,
        }
    }

    /// Chooses an engine, and looks again for a short while if there is none.
    async fn pick(&mut self) -> Result<Picked, Refusal> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        let looks_until = self.arrived + target.mul_f64(LOOKING_SHARE);
        let prompt = PromptCost::of(&self.facts.prompt);
        loop {
            let pick = Pick {
                service: &self.service,
                class: self.outbound.class,
                prompt,
                tried: &self.tried,
            };
            let now = self.state.now();
            let picked = self.state.engines.borrow_mut().pick(&pick, now);
            match picked {
                Ok(picked) => return Ok(picked),
                Err(NoEngine::None | NoEngine::Busy) if Instant::now() < looks_until => {
                    Timer::after(LOOK_AGAIN).await;
                }
                Err(reason) => {
                    info!(self.state.logger, "no engine"; "request" => &self.outbound.id,
                        "service" => &self.service, "reason" => ?reason,
                        "tried" => self.tried.len(), "runs" => self.runs);
                    return Err(self.give_up());
                }
            }
        }
    }

    /// Longest silence before the head of the answer. Without another attempt
    /// left, only the request's time counts: a silent engine may yet answer.
    fn silence(&self) -> Option<Duration> {
        let another = self.route.is_repeatable() && self.runs + 1 < self.route.max_attempts;
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        another.then(|| match self.route.kind {
            RouteKind::Safe => (target * 3 / 2).max(SHORTEST_SILENCE),
            _ => target * 4,
        })
    }

    /// Answers the caller.
    async fn answer(&mut self, caller: &Connection, minor: u8, keep_alive: bool) -> After {
        loop {
            let reply = match self.next_reply(None).await {
                Ok(reply) => reply,
                Err(refusal) => return self.refuse(caller, refusal, keep_alive).await,
            };
            let held = self.route.kind == RouteKind::Safe && self.may_run_again();
            if held {
                match self.relay_held(reply, caller, keep_alive).await {
                    Some(after) => return after,
                    None => continue,
                }
            }
            let resumable = self.route.kind == RouteKind::Stream && self.route.resumable;
            let ended = if resumable && reply.head.status == 200 {
                relay_resumable(self, reply, caller, minor, keep_alive).await
            } else {
                let ends = self.ends;
                relay(self.state, reply, caller, minor, keep_alive, ends).await
            };
            if ended != Relayed::Whole {
                info!(self.state.logger, "answer not whole";
                    "request" => &self.outbound.id, "ended" => ?ended, "runs" => self.runs);
            }
            return match ended {
                Relayed::Whole if keep_alive => After::KeepAlive,
                _ => After::Close,
            };
        }
    }

    /// Reads a short answer whole before passing it on; `None` when its engine
    /// broke off and another one may run the request.
    async fn relay_held(
        &mut self,
        reply: EngineReply,
        caller: &Connection,
        keep_alive: bool,
    ) -> Option<After> {
        let EngineReply { head, mut body, .. } = reply;
        let mut reader = std::mem::replace(&mut body.reader, BodyReader::new(body.framing));
        let reading = async { Some(reader.collect(&mut body.connection, HELD_BYTES).await) };
        let late = async {
            Timer::at(self.ends).await;
            None
        };
        let whole = match future::or(reading, late).await {
            Some(Ok(whole)) => whole,
            Some(Err(_)) if self.may_run_again() => {
                self.note_broken(&body.engine);
                return None;
            }
            _ => return Some(After::Close),
        };
        body.reader = reader;
        body.finish(self.state);
        let mut headers = Headers::new();
        headers.extend_end_to_end(&head.headers);
        headers.push("Content-Length", whole.len().to_string());
        if !keep_alive {
            headers.push("Connection", "close");
        }
        let mut bytes = molespan_http::h1::encode_response(head.status, &head.reason, &headers);
        bytes.extend_from_slice(&whole);
        let written = write(caller, &bytes, self.ends).await;
        Some(match written {
            Ok(()) if keep_alive => After::KeepAlive,
            _ => After::Close,
        })
    }

    async fn refuse(&self, caller: &Connection, refusal: Refusal, keep_alive: bool) -> After {
        info!(self.state.logger, "refused"; "request" => &self.outbound.id,
            "refusal" => ?refusal, "runs" => self.runs, "turned_away" => self.turned_away,
            "after_ms" => self.arrived.elapsed().as_millis() as u64);
        refuse(self.dialect, caller, refusal, keep_alive).await
    }
}
