//! The attempts of a request, until one engine answers.

use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use molespan_http::h1::Headers;
use molespan_routing::dispatch::{NoEngine, Pick, Picked, PromptCost, Standing, WorkClass};
use molespan_routing::queue::{Rank, Refused, Want, retry_after};
use molespan_state::declared::{Route, RouteKind};
use molespan_types::Timestamp;
use slog::{debug, info};

use crate::attempt::{AttemptFailure, AttemptLimits, EngineReply, Outbound, attempt};
use crate::bars::Permit;
use crate::dialect::{GatewayDialect, Refusal, RequestFacts};
use crate::queue::{Waiter, Woken};
use crate::request::CallerRequest;
use crate::state::GatewayState;

/// Attempts at engines that were of no use before a request is refused; those without
/// room do not count where they soon have some.
const MOST_TURNED_AWAY: u32 = 6;
/// Time between two looks of the batch item whose turn it is.
const LOOK_AGAIN_IN_TURN: Duration = Duration::from_millis(20);
/// How long the turn of a batch item lasts at the most: then its route is looked
/// up anew, and another item may be the most urgent one.
const TURN: Duration = Duration::from_secs(1);
/// When a caller should come back whose request engines end under: a bar holds for
/// hours unless an operator lifts it, which one who waits for that sees within this.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Part of the target latency within which an engine has to begin with a request:
/// the rest is for its first answer to be made and passed on.
const BEGINS_WITHIN: f64 = 0.8;
/// Part of a caller's patience for which a late request waits for a slot: there is
/// time for its answer behind it.
const WAITS_SHARE: f64 = 0.7;
/// Least time for which a request looks that comes back from an engine, also later than
/// that.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// Shortest silence of an engine after which a repeatable request goes
/// elsewhere.
const SHORTEST_SILENCE: Duration = Duration::from_millis(250);

/// The attempts of one request.
pub(crate) struct Dispatch<'a, D> {
    pub state: &'a Rc<GatewayState>,
    pub dialect: &'a D,
    pub route: &'a Route,
    pub service: String,
    pub outbound: Outbound,
    pub facts: RequestFacts,
    /// When its time is over.
    pub ends: Timestamp,
    /// Milliseconds since 1970 by which a batch item is to be done.
    pub due_ms: Option<u64>,
    pub arrived: Timestamp,
    /// Whether it counts against its tenant's limit.
    pub counts: bool,
    /// How urgent it is among the online requests that wait.
    pub rank: Rank,
    /// Engines that ran it, failed it, or will not run it.
    tried: BTreeSet<String>,
    /// Engines that may have run it.
    pub runs: u32,
    /// Attempts that did not run it: turned away, or not connected.
    pub turned_away: u32,
    /// How many of them had no room.
    without_room: u32,
    /// Answers without room that do not count towards [`MOST_TURNED_AWAY`].
    excused: u32,
}

impl<'a, D: GatewayDialect> Dispatch<'a, D> {
    /// Attempts of a caller's request.
    pub fn online(
        state: &'a Rc<GatewayState>,
        dialect: &'a D,
        route: &'a Route,
        service: String,
        tenant: Option<Rc<str>>,
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
            tenant,
            host: request.head.host(),
            method: request.head.method,
            target: request.head.target,
            headers,
            body: request.body,
            class: WorkClass::Online,
            digest: OnceCell::new(),
        };
        let ends = request.arrived + patience;
        state.engines.borrow_mut().asked(&service, request.arrived);
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
        ends: Timestamp,
    ) -> Self {
        Self {
            state,
            dialect,
            route,
            service,
            outbound,
            facts,
            ends,
            due_ms: None,
            arrived: state.now(),
            counts: false,
            rank: Rank::new(None, route.priority),
            tried: BTreeSet::new(),
            runs: 0,
            turned_away: 0,
            without_room: 0,
            excused: 0,
        }
    }

    /// How long ago it arrived.
    pub fn age(&self) -> Duration {
        self.state.now().since(self.arrived)
    }

    /// Whether another engine may run it.
    pub fn may_run_again(&self) -> bool {
        let batch = self.outbound.class == WorkClass::Batch;
        batch || (self.route.is_repeatable() && self.runs < self.route.max_attempts)
    }

    /// An engine that had begun broke off.
    pub fn note_broken(&mut self, engine: &str) {
        self.tried.insert(engine.to_owned());
        self.state.note_broken(engine);
        self.state.look_into(engine, &self.outbound);
        info!(self.state.logger, "answer broken off";
            "request" => &self.outbound.id, "digest" => %self.outbound.digest(),
            "engine" => engine, "runs" => self.runs);
    }

    /// Brings the request to engines until one answers.
    ///
    /// # Errors
    /// Why none does, as the caller should hear it.
    pub async fn next_reply(&mut self, after_event: Option<u64>) -> Result<EngineReply, Refusal> {
        loop {
            self.permitted().await?;
            if self.state.now() >= self.ends {
                return Err(self.out_of_time());
            }
            let mut picked = match self.outbound.class {
                WorkClass::Online => self.pick().await?,
                WorkClass::Batch => self.pick_in_turn().await?,
            };
            // Engines may have ended under it elsewhere while it waited for its turn.
            if self.state.permit(&self.outbound) != Permit::Granted {
                continue;
            }
            let limits = AttemptLimits {
                ends: self.ends,
                silence: self.silence(),
                slow: self.slow(&picked),
                after_event,
            };
            if self.runs + self.turned_away == 0 && self.outbound.class == WorkClass::Online {
                self.state.metrics.waited(self.age());
            }
            let engine = &picked.facts;
            debug!(self.state.logger, "attempt"; "request" => &self.outbound.id,
                "engine" => &engine.id, "load" => picked.load,
                "unread" => picked.unread_tokens, "before" => picked.before_tokens,
                "runs" => self.runs);
            let another = |first: &Picked| self.pick_beside(first);
            let (state, dialect) = (self.state, self.dialect);
            let outbound = &self.outbound;
            let result = attempt(state, dialect, &mut picked, another, outbound, limits).await;
            let engine = &picked.facts;
            match result {
                Ok(reply) if reply.facts.not_run || reply.facts.displaced => {
                    self.note_turned_away(&engine.id, &reply)?;
                }
                Ok(reply) => {
                    self.tried.insert(engine.id.clone());
                    self.runs += 1;
                    self.note_taken();
                    self.note_held(&engine.id);
                    debug!(self.state.logger, "answer begins"; "request" => &self.outbound.id,
                        "engine" => &engine.id, "status" => reply.head.status,
                        "after_ms" => self.age().as_millis() as u64);
                    let failed = matches!(reply.head.status, 500 | 502 | 504);
                    if failed && self.route.kind == RouteKind::Safe && self.may_run_again() {
                        self.state.note_whole(&self.outbound);
                        continue;
                    }
                    return Ok(reply);
                }
                // It waits for its turn again; the engine has nothing to do with it.
                Err(AttemptFailure::Withheld) => {}
                Err(failure) => {
                    self.tried.insert(engine.id.clone());
                    self.note_failure(&engine.id, failure)?;
                }
            }
        }
    }

    /// An engine did not run it. One without room may have some soon, so that it is asked
    /// again as long as there is time; whoever else did not run it is not.
    fn note_turned_away(&mut self, engine: &str, reply: &EngineReply) -> Result<(), Refusal> {
        self.turned_away += 1;
        if reply.has_no_room() && self.outbound.class == WorkClass::Online {
            self.state.note_turned_away(&self.service);
            self.without_room += 1;
            // Where slots are held for long, so are those of the engines asked next.
            if self.state.is_short(&self.service) {
                self.excused += 1;
            }
            return self.give_up_if_unusable();
        }
        self.tried.insert(engine.to_owned());
        self.give_up_if_unusable()
    }

    /// An engine took it.
    fn note_taken(&self) {
        if self.outbound.class != WorkClass::Online {
            return;
        }
        self.state.note_taken(&self.service);
        if self.without_room > 0 {
            self.state.metrics.room.waited(self.age());
        }
    }

    /// Gives up once too many engines turned out to be of no use to it.
    fn give_up_if_unusable(&self) -> Result<(), Refusal> {
        match self.turned_away - self.excused >= MOST_TURNED_AWAY {
            true => Err(self.give_up()),
            false => Ok(()),
        }
    }

    /// Waits until it shows whether engines may have it, if that is open.
    async fn permitted(&self) -> Result<(), Refusal> {
        loop {
            match self.state.permit(&self.outbound) {
                Permit::Granted => return Ok(()),
                Permit::Later(until) => self.state.settle(until).await,
                Permit::Denied if self.runs > 0 => return Err(Refusal::AnswerLost),
                Permit::Denied => {
                    return Err(Refusal::Barred {
                        retry_after: BARRED_RETRY_AFTER,
                    });
                }
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
            "digest" => %self.outbound.digest(), "engine" => engine, "failure" => %failure, "runs" => self.runs);
        if !failure.may_have_run() {
            self.turned_away += 1;
            return self.give_up_if_unusable();
        }
        self.runs += 1;
        if failure == AttemptFailure::Broken {
            self.state.look_into(engine, &self.outbound);
        }
        if self.state.now() >= self.ends {
            return Err(Refusal::TimedOut);
        }
        match self.may_run_again() {
            true => Ok(()),
            false => Err(Refusal::AnswerLost),
        }
    }

    /// No engine takes it. It may be said not to have run only if none did.
    fn give_up(&self) -> Refusal {
        let room_in = self.state.queue(&self.service).room_in();
        self.not_now(room_in)
    }

    /// The same where it is known when room returns.
    fn not_now(&self, room_in: Option<Duration>) -> Refusal {
        let left = self.ends.since(self.state.now());
        match self.runs {
            0 => Refusal::Busy {
                retry_after: retry_after(room_in, left, rand::random()),
            },
            _ => Refusal::AnswerLost,
        }
    }

    /// Its turn cannot come.
    fn no_turn(&self, refused: Refused) -> Refusal {
        self.state.metrics.queue.refused(refused.reason);
        let refusal = self.not_now(refused.room_in);
        info!(self.state.logger, "no turn"; "request" => &self.outbound.id,
            "service" => &self.service, "reason" => %refused.reason,
            "ahead" => refused.ahead,
            "begin_per_s" => format!("{:.1}", refused.rates.begin),
            "come_per_s" => format!("{:.1}", refused.rates.come),
            "room_in_ms" => refused.room_in.map(|room_in| room_in.as_millis() as u64),
            "left_ms" => self.ends.since(self.state.now()).as_millis() as u64,
            "tried" => self.tried.len(), "runs" => self.runs,
            "after_ms" => self.age().as_millis() as u64, "refusal" => ?refusal);
        refusal
    }

    fn out_of_time(&self) -> Refusal {
        match self.runs {
            0 => Refusal::TooLate,
            _ => Refusal::TimedOut,
        }
    }

    /// Waits for its turn and chooses an engine: one that begins in time, as long as
    /// there can be one, and then whichever has a slot that no request wants that can
    /// be in time. Who waits in an engine's queue cannot let others go before it; here
    /// it does.
    async fn pick(&mut self) -> Result<Picked, Refusal> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        let begins_by = self.arrived + target.mul_f64(BEGINS_WITHIN);
        if self.has_left() {
            return Err(self.no_engine_left());
        }
        let waiter = self.wait_for_turn(begins_by)?;
        let mut waiting = Some(self.state.begin_to_wait(&self.service));
        loop {
            let standing = match waiter.woken().await {
                Woken::Refused(refused) => return Err(self.no_turn(refused)),
                Woken::Looks(_) => self.standing(begins_by),
            };
            if standing == Standing::Late {
                // Late ones want what is left, and no part of the room.
                drop(waiting.take());
            }
            match self.pick_now(standing) {
                Ok(picked) => {
                    let begun = waiter.begins();
                    let queue = &self.state.metrics.queue;
                    queue.began(begun.in_time, self.age(), begun.error);
                    return Ok(picked);
                }
                Err(NoEngine::Tried) => return Err(self.give_up()),
                Err(NoEngine::None) if self.has_left() => return Err(self.no_engine_left()),
                Err(_) => {}
            }
        }
    }

    fn has_left(&self) -> bool {
        self.state.engines.borrow().has_left(&self.service)
    }

    /// When another engine comes nobody knows: the caller hears it at once, and comes back
    /// as late as leaves time for an answer.
    fn no_engine_left(&self) -> Refusal {
        let left = self.ends.since(self.state.now());
        let refusal = self.not_now(Some(left / 2));
        info!(self.state.logger, "no engine is left"; "request" => &self.outbound.id,
            "service" => &self.service, "left_ms" => left.as_millis() as u64,
            "runs" => self.runs, "refusal" => ?refusal);
        refusal
    }

    fn wait_for_turn(&self, begins_by: Timestamp) -> Result<Waiter, Refusal> {
        let again = self.runs + self.turned_away > 0;
        let patience = self.ends.since(self.arrived);
        let waits_until = self.arrived + patience.mul_f64(WAITS_SHARE);
        let last_look = self.state.now() + LAST_LOOK;
        let want = Want {
            tenant: self.outbound.tenant.as_deref(),
            weight: 1,
            rank: self.rank,
            size: self.facts.answer_tokens,
            begins_by,
            leaves_at: match again {
                true => waits_until.max(last_look),
                false => waits_until,
            },
            again,
        };
        let queue = self.state.queue(&self.service);
        queue.ask(&want).map_err(|refused| self.no_turn(refused))
    }

    fn standing(&self, begins_by: Timestamp) -> Standing {
        let left = begins_by.since(self.state.now());
        match left.is_zero() {
            true => Standing::Late,
            false => Standing::InTime { left },
        }
    }

    /// Chooses an engine when this is the most urgent batch item that waits
    /// here, and waits with it for room.
    async fn pick_in_turn(&mut self) -> Result<Picked, Refusal> {
        let _turn = self.state.batch_turns.take(self.due_ms).await;
        let looks_until = self.state.now() + TURN;
        loop {
            let picked = match self.state.may_start(WorkClass::Batch) {
                true => self.pick_now(Standing::Late),
                false => Err(NoEngine::Busy),
            };
            match picked {
                Ok(picked) => return Ok(picked),
                Err(_) if self.state.now() < looks_until => {
                    Timer::after(LOOK_AGAIN_IN_TURN).await;
                }
                Err(_) => return Err(self.give_up()),
            }
        }
    }

    fn pick_now(&self, standing: Standing) -> Result<Picked, NoEngine> {
        let pick = Pick {
            service: &self.service,
            class: self.outbound.class,
            standing,
            prompt: PromptCost::of(&self.facts.prompt),
            tried: &self.tried,
            suspect: self.state.is_suspect(&self.outbound),
        };
        let now = self.state.now();
        self.state.engines.borrow_mut().pick(&pick, now)
    }

    /// Another engine for an online request whose connection to the first one does not
    /// come up.
    fn pick_beside(&self, first: &Picked) -> Option<Picked> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        let now = self.state.now();
        let left = (self.arrived + target.mul_f64(BEGINS_WITHIN)).since(now);
        let standing = match left.is_zero() {
            true => Standing::Late,
            false => Standing::InTime { left },
        };
        let first = &first.facts.id;
        let mut tried = self.tried.clone();
        tried.insert(first.clone());
        let pick = Pick {
            service: &self.service,
            class: self.outbound.class,
            standing,
            prompt: PromptCost::of(&self.facts.prompt),
            tried: &tried,
            suspect: self.state.is_suspect(&self.outbound),
        };
        let mut engines = self.state.engines.borrow_mut();
        engines.pick_beside(&pick, first, now)
    }

    /// How long a connect may take before another engine is tried beside it. Batch work
    /// has time.
    fn slow(&self, picked: &Picked) -> Option<Duration> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        if self.outbound.class == WorkClass::Batch || target.is_zero() {
            return None;
        }
        let engines = self.state.engines.borrow();
        Some(engines.connect_is_slow_after(&picked.facts.id, target))
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
}
