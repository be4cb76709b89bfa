//! The attempts of a request, until one engine answers.

mod permission;

use std::cell::{Cell, OnceCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use molespan_http::h1::Headers;
use molespan_routing::dispatch::{NoEngine, Pick, Picked, PromptCost, Standing, WorkClass};
use molespan_routing::queue::{QueueRequest, Rank, Refused, retry_after};
use molespan_state::declared::{Route, RouteKind};
use molespan_types::{SoftwareVersion, Timestamp};
use slog::{debug, info};

use crate::attempt::{AttemptFailure, AttemptLimits, EngineReply, Outbound, attempt, version_text};
use crate::bar_trials::BarTrial;
use crate::bars::Permit;
use crate::dialect::{GatewayDialect, Refusal, RequestFacts};
use crate::metrics::Resumed;
use crate::queue::{Waiter, Woken};
use crate::request::CallerRequest;
use crate::state::GatewayState;

/// Maximum number of attempts that did not run the request before it is refused. Answers
/// without capacity do not count for services whose slots free up soon.
const MAX_REJECTIONS: u32 = 6;
/// Interval at which the batch item that has the turn tries to pick an engine.
const BATCH_PICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of a batch item's turn; afterwards its route is looked up again, and
/// another item may be more urgent.
const MAX_TURN: Duration = Duration::from_secs(1);
/// Share of the target latency within which an engine has to begin a request; the rest is
/// for producing and passing on its first output.
const BEGIN_SHARE: f64 = 0.8;
/// Share of the caller's time limit for which a late request waits for a slot; the rest is
/// for its answer.
const WAIT_SHARE: f64 = 0.7;
/// Minimum time for which a request that returns from an engine tries to pick another one,
/// even beyond [`WAIT_SHARE`].
const MIN_REPICK_TIME: Duration = Duration::from_millis(50);
/// Minimum time without an answer after which a repeatable request goes to another engine.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time without an answer after which a batch item goes to another engine, and how
/// often the first limit is doubled until then.
const MAX_ITEM_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_DOUBLINGS: u32 = 8;

/// The attempts of one request.
pub(crate) struct Dispatch<'a, D> {
    pub state: &'a Rc<GatewayState>,
    pub dialect: &'a D,
    pub route: &'a Route,
    pub service: String,
    pub outbound: Outbound,
    pub facts: RequestFacts,
    /// When the request's time ends.
    pub deadline: Timestamp,
    /// Deadline of a batch item, in milliseconds since 1970.
    pub due_ms: Option<u64>,
    pub arrived: Timestamp,
    /// Whether the request was counted against its tenant's limit.
    pub counted: bool,
    /// Priority among the waiting online requests.
    pub rank: Rank,
    /// Software version that began the request's stream, the only one that may go on with
    /// it; `None` while any may run the request.
    pub version: Option<SoftwareVersion>,
    /// Engines that ran or failed the request, or will not run it.
    tried: BTreeSet<String>,
    /// Number of engines that may have run the request.
    pub runs: u32,
    /// Number of attempts that did not run the request: rejected, or not connected.
    pub rejections: u32,
    /// How many of these were rejected for lack of capacity.
    capacity_rejections: u32,
    /// Rejections for lack of capacity that do not count towards [`MAX_REJECTIONS`].
    uncounted_rejections: u32,
    /// The right to send the request though it is barred.
    bar_trial: Option<BarTrial>,
}

impl<'a, D: GatewayDialect> Dispatch<'a, D> {
    /// Creates the attempts of a caller's request.
    pub fn online(
        state: &'a Rc<GatewayState>,
        dialect: &'a D,
        route: &'a Route,
        service: String,
        tenant: Option<Rc<str>>,
        request: CallerRequest,
    ) -> Self {
        let facts = dialect.request_facts(&request.head.headers);
        let timeout = Duration::from_millis(u64::from(route.timeout_ms));
        let time_limit = facts.time_left.unwrap_or(timeout).min(timeout);
        let mut headers = Headers::new();
        headers.extend_end_to_end(&request.head.headers);
        headers.remove("expect");
        let outbound = Outbound {
            id: facts.id.clone(),
            service: service.clone(),
            tenant,
            host: request.head.host(),
            method: request.head.method,
            target: request.head.target,
            headers,
            body: request.body,
            class: WorkClass::Online,
            expects_events: route.kind == RouteKind::Stream,
            resumes: facts.resumption.is_some(),
            prompt: facts.prompt.clone(),
            progress: Rc::default(),
            bar_trial: Cell::default(),
            features: OnceCell::new(),
        };
        let deadline = request.arrived + time_limit;
        state
            .engines
            .borrow_mut()
            .record_arrival(&service, request.arrived);
        Self::new(state, dialect, route, service, outbound, facts, deadline)
    }

    /// Creates the attempts of a request to `service`.
    pub fn new(
        state: &'a Rc<GatewayState>,
        dialect: &'a D,
        route: &'a Route,
        service: String,
        outbound: Outbound,
        facts: RequestFacts,
        deadline: Timestamp,
    ) -> Self {
        Self {
            state,
            dialect,
            route,
            service,
            outbound,
            facts,
            deadline,
            due_ms: None,
            arrived: state.now(),
            counted: false,
            rank: Rank::new(None, route.priority),
            version: None,
            tried: BTreeSet::new(),
            runs: 0,
            rejections: 0,
            capacity_rejections: 0,
            uncounted_rejections: 0,
            bar_trial: None,
        }
    }

    /// Returns the time since the request arrived.
    pub fn age(&self) -> Duration {
        self.state.now().since(self.arrived)
    }

    /// Whether another engine may run the request.
    pub fn may_run_again(&self) -> bool {
        let batch = self.outbound.class == WorkClass::Batch;
        batch || (self.route.is_repeatable() && self.runs < self.route.max_attempts)
    }

    /// Records that an engine broke off an answer that it had begun.
    pub fn note_broken(&mut self, engine: &str, version: Option<&SoftwareVersion>) {
        self.tried.insert(engine.to_owned());
        self.state.note_broken(engine);
        self.state.check_engine(engine, &self.outbound);
        info!(self.state.logger, "answer broken off by its engine";
            "request" => &self.outbound.id, "digest" => %self.outbound.digest(),
            "engine" => engine, "version" => version_text(version), "runs" => self.runs);
    }

    /// Sends the request to engines until one answers.
    ///
    /// # Errors
    /// The refusal for the caller, if none does.
    pub async fn next_reply(&mut self, after_event: Option<u64>) -> Result<EngineReply, Refusal> {
        loop {
            self.wait_until_permitted().await?;
            if self.state.now() >= self.deadline {
                return Err(self.out_of_time());
            }
            let mut picked = match self.outbound.class {
                WorkClass::Online => self.pick().await?,
                WorkClass::Batch => self.pick_in_turn().await?,
            };
            // Engines elsewhere may have ended under the request while it waited for its
            // turn.
            let trial = match self.state.permit(&self.outbound) {
                Permit::Granted => None,
                Permit::Trial(part) => Some(self.state.begin_trial(part)),
                Permit::Barred(_) if self.has_bar_trial() => None,
                Permit::Later(_) | Permit::Barred(_) => continue,
            };
            if let Some(trial) = &self.bar_trial {
                trial.begin_send(&self.outbound, &picked.facts.id);
            }
            let limits = AttemptLimits {
                deadline: self.deadline,
                head_timeout: self.head_timeout(),
                slow_after: self.slow_connect_after(&picked),
                after_event,
            };
            if self.runs + self.rejections == 0 && self.outbound.class == WorkClass::Online {
                self.state.metrics.observe_engine_wait(self.age());
            }
            let engine = &picked.facts;
            debug!(self.state.logger, "attempt"; "request" => &self.outbound.id,
                "engine" => &engine.id, "load" => picked.load,
                "unread" => picked.unread_tokens, "before" => picked.queued_tokens,
                "runs" => self.runs);
            let another = |first: &Picked| self.pick_alternative(first);
            let (state, dialect) = (self.state, self.dialect);
            let outbound = &self.outbound;
            let result = attempt(state, dialect, &mut picked, another, outbound, limits).await;
            drop(trial);
            let engine = &picked.facts;
            match result {
                Ok(reply) if reply.facts.not_run || reply.facts.misdirected => {
                    self.note_not_run();
                    self.note_rejection(&engine.id, &reply)?;
                }
                Ok(reply) => {
                    self.tried.insert(engine.id.clone());
                    self.runs += 1;
                    self.note_accepted();
                    self.note_cached_prompt(&engine.id);
                    debug!(self.state.logger, "answer begins"; "request" => &self.outbound.id,
                        "engine" => &engine.id, "status" => reply.head.status,
                        "version" => version_text(engine.version.as_ref()),
                        "after_ms" => self.age().as_millis() as u64);
                    let failed = matches!(reply.head.status, 500 | 502 | 504);
                    if failed && self.route.kind == RouteKind::Safe && self.may_run_again() {
                        self.discard(reply).await;
                        continue;
                    }
                    return Ok(reply);
                }
                // The item waits for its turn again; the engine is not at fault.
                Err(AttemptFailure::Withheld) => self.note_not_run(),
                Err(failure) => {
                    if !failure.may_have_run() {
                        self.note_not_run();
                    }
                    self.tried.insert(engine.id.clone());
                    self.note_failure(&engine.id, failure)?;
                }
            }
        }
    }

    /// Discards a failure in place of which another engine is asked.
    async fn discard(&mut self, reply: EngineReply) {
        let engine = reply.body.engine.clone();
        let version = reply.body.version.clone();
        match reply.body.discard(self.state).await {
            true => self.state.note_complete(&self.outbound),
            false => self.note_broken(&engine, version.as_ref()),
        }
    }

    /// Records that an engine did not run the request. An engine without capacity may have
    /// some soon and is asked again while there is time; any other engine is not.
    fn note_rejection(&mut self, engine: &str, reply: &EngineReply) -> Result<(), Refusal> {
        self.rejections += 1;
        if reply.lacks_capacity() && self.outbound.class == WorkClass::Online {
            self.state.note_rejection(&self.service);
            self.capacity_rejections += 1;
            // Where slots are held for long, the next engines asked are full for as long,
            // so the rejection counts.
            if self.state.has_short_requests(&self.service) {
                self.uncounted_rejections += 1;
            }
            return self.give_up_if_rejected_too_often();
        }
        self.tried.insert(engine.to_owned());
        self.give_up_if_rejected_too_often()
    }

    /// Records that an engine accepted the request.
    fn note_accepted(&self) {
        if self.outbound.class != WorkClass::Online {
            return;
        }
        self.state.note_accepted(&self.service);
        if self.capacity_rejections > 0 {
            self.state
                .metrics
                .capacity
                .observe_capacity_wait(self.age());
        }
    }

    /// Returns an error once too many attempts did not run the request.
    fn give_up_if_rejected_too_often(&self) -> Result<(), Refusal> {
        match self.rejections - self.uncounted_rejections >= MAX_REJECTIONS {
            true => Err(self.give_up()),
            false => Ok(()),
        }
    }

    /// Records that the engine has read the prompt and caches its shared part.
    fn note_cached_prompt(&self, engine: &str) {
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
            self.rejections += 1;
            return self.give_up_if_rejected_too_often();
        }
        self.runs += 1;
        if failure == AttemptFailure::Broken {
            self.state.check_engine(engine, &self.outbound);
        }
        if self.state.now() >= self.deadline {
            return Err(Refusal::TimedOut);
        }
        match self.may_run_again() {
            true => Ok(()),
            false => Err(Refusal::AnswerLost),
        }
    }

    /// Returns the refusal when no engine takes the request. It may be reported as not run
    /// only if no engine may have run it.
    fn give_up(&self) -> Refusal {
        let capacity_in = self.state.queue(&self.service).capacity_in();
        self.no_engine_refusal(capacity_in)
    }

    /// The same, where it is known when capacity returns.
    fn no_engine_refusal(&self, capacity_in: Option<Duration>) -> Refusal {
        let left = self.deadline.since(self.state.now());
        match self.runs {
            0 => Refusal::Busy {
                retry_after: retry_after(capacity_in, left, rand::random()),
            },
            _ => Refusal::AnswerLost,
        }
    }

    /// Logs and returns the refusal of a request whose turn cannot come.
    fn refused_by_queue(&self, refused: Refused) -> Refusal {
        self.state.metrics.queue.count_refusal(refused.reason);
        let refusal = self.no_engine_refusal(refused.capacity_in);
        info!(self.state.logger, "queue refused the request"; "request" => &self.outbound.id,
            "service" => &self.service, "reason" => %refused.reason,
            "ahead" => refused.ahead,
            "begin_per_s" => format!("{:.1}", refused.rates.dispatch),
            "come_per_s" => format!("{:.1}", refused.rates.arrival),
            "room_in_ms" => refused.capacity_in.map(|capacity_in| capacity_in.as_millis() as u64),
            "left_ms" => self.deadline.since(self.state.now()).as_millis() as u64,
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

    /// Waits for the request's turn and chooses an engine: while the target can be met, one
    /// that begins in time, and afterwards any with a slot that no request still in time
    /// needs. The request waits here, because in an engine's queue it could not let more
    /// urgent ones pass.
    async fn pick(&mut self) -> Result<Picked, Refusal> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        let start_by = self.arrived + target.mul_f64(BEGIN_SHARE);
        if self.version.is_none() && self.has_left() {
            return Err(self.no_engine_left());
        }
        let waiter = self.enqueue(start_by)?;
        let mut waiting = Some(self.state.count_waiting_request(&self.service));
        loop {
            let standing = match waiter.woken().await {
                Woken::Refused(refused) => return Err(self.refused_by_queue(refused)),
                Woken::MayPick(_) => self.standing(start_by),
            };
            if standing == Standing::Late {
                // A late request only takes spare slots and claims no share of the
                // capacity.
                drop(waiting.take());
            }
            match self.pick_now(standing) {
                Ok(picked) => {
                    let wait = waiter.finish();
                    let queue = &self.state.metrics.queue;
                    queue.observe_wait(wait.in_time, self.age(), wait.forecast_error);
                    return Ok(picked);
                }
                Err(NoEngine::Tried) => return Err(self.give_up()),
                Err(NoEngine::Version) => return Err(self.no_engine_of_version()),
                Err(NoEngine::None) if self.has_left() => return Err(self.no_engine_left()),
                Err(_) => {}
            }
        }
    }

    fn has_left(&self) -> bool {
        self.state.engines.borrow().has_left(&self.service)
    }

    /// Refuses a request for a service whose last engine is leaving. It is unknown when
    /// another engine comes, so the caller is told at once, with a retry delay that still
    /// leaves time for an answer.
    fn no_engine_left(&self) -> Refusal {
        let left = self.deadline.since(self.state.now());
        let refusal = self.no_engine_refusal(Some(left / 2));
        info!(self.state.logger, "no engine of the service is left"; "request" => &self.outbound.id,
            "service" => &self.service, "left_ms" => left.as_millis() as u64,
            "runs" => self.runs, "refusal" => ?refusal);
        refusal
    }

    /// Refuses a request whose stream only engines that are gone or out of reach may go on
    /// with.
    fn no_engine_of_version(&self) -> Refusal {
        let left = self.deadline.since(self.state.now());
        let refusal = self.no_engine_refusal(Some(left / 2));
        self.state.metrics.streams.count(Resumed::NoEngine);
        info!(self.state.logger, "no engine of the version that began the stream";
            "request" => &self.outbound.id, "service" => &self.service,
            "version" => version_text(self.version.as_ref()),
            "left_ms" => left.as_millis() as u64, "runs" => self.runs, "refusal" => ?refusal);
        refusal
    }

    fn enqueue(&self, start_by: Timestamp) -> Result<Waiter, Refusal> {
        let returned = self.runs + self.rejections > 0;
        let time_limit = self.deadline.since(self.arrived);
        let waits_until = self.arrived + time_limit.mul_f64(WAIT_SHARE);
        let min_pick_until = self.state.now() + MIN_REPICK_TIME;
        let request = QueueRequest {
            tenant: self.outbound.tenant.as_deref(),
            weight: 1,
            rank: self.rank,
            size: self.facts.answer_tokens,
            start_by,
            useful_until: match returned {
                true => waits_until.max(min_pick_until),
                false => waits_until,
            },
            returned,
        };
        let version = self.version.as_ref();
        let queue = self.state.version_queue(&self.service, version);
        queue
            .enqueue(&request)
            .map_err(|refused| self.refused_by_queue(refused))
    }

    fn standing(&self, start_by: Timestamp) -> Standing {
        let left = start_by.since(self.state.now());
        match left.is_zero() {
            true => Standing::Late,
            false => Standing::InTime { left },
        }
    }

    /// Waits until this is the most urgent waiting batch item, and then until an engine has
    /// capacity.
    async fn pick_in_turn(&mut self) -> Result<Picked, Refusal> {
        let turns = self.state.turns(&self.service, self.version.as_ref());
        let _turn = turns.acquire(self.due_ms).await;
        let turn_ends = self.state.now() + MAX_TURN;
        loop {
            let picked = match self.state.may_start(WorkClass::Batch) {
                true => self.pick_now(Standing::Late),
                false => Err(NoEngine::Busy),
            };
            match picked {
                Ok(picked) => return Ok(picked),
                Err(_) if self.state.now() < turn_ends => {
                    Timer::after(BATCH_PICK_INTERVAL).await;
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
            version: self.version.as_ref(),
        };
        let now = self.state.now();
        self.state.engines.borrow_mut().pick(&pick, now)
    }

    /// Chooses a second engine for an online request whose connection to the first one is
    /// slow.
    fn pick_alternative(&self, first: &Picked) -> Option<Picked> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        let now = self.state.now();
        let left = (self.arrived + target.mul_f64(BEGIN_SHARE)).since(now);
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
            version: self.version.as_ref(),
        };
        let mut engines = self.state.engines.borrow_mut();
        engines.pick_alternative(&pick, first, now)
    }

    /// Returns the connect time after which another engine is tried in parallel; `None` for
    /// batch work, which has time, and for routes without a target latency.
    fn slow_connect_after(&self, picked: &Picked) -> Option<Duration> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        if self.outbound.class == WorkClass::Batch || target.is_zero() {
            return None;
        }
        let engines = self.state.engines.borrow();
        Some(engines.connect_is_slow_after(&picked.facts.id, target))
    }

    /// Returns the maximum time to wait for the head of the answer. If no other attempt of a
    /// caller's request is left, only the request's time counts: a silent engine may still
    /// answer. A batch item may always go on elsewhere, so each of its attempts has an end; it
    /// waits longer each time, since all engines may be slow.
    fn head_timeout(&self) -> Option<Duration> {
        let target = Duration::from_millis(u64::from(self.route.target_latency_ms));
        if self.outbound.class == WorkClass::Batch {
            let first = (target * 4).max(MIN_HEAD_TIMEOUT);
            let doubled = first * 2_u32.pow(self.runs.min(MAX_DOUBLINGS));
            return Some(doubled.min(MAX_ITEM_HEAD_TIMEOUT.max(first)));
        }
        let another = self.route.is_repeatable() && self.runs + 1 < self.route.max_attempts;
        another.then(|| match self.route.kind {
            RouteKind::Safe => (target * 3 / 2).max(MIN_HEAD_TIMEOUT),
            _ => target * 4,
        })
    }
}
