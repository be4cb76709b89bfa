//! Discrete-event simulation on virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use minicbor::bytes::ByteVec;
use molespan_emulator::engine::{EngineCore, EngineSettings, Output, Submission};
use molespan_routing::batch::{
    BatchInput, BatchOutput, GroupReply, ItemEnd, OnlineNotice, OwnedEngine, RequestNumber,
    StreamId,
};
use molespan_routing::pick::{Finish, LoadSample};
use molespan_types::{
    BackendId, Incarnation, ItemIndex, JobId, NodeId, Priority, ServiceName, Timestamp,
};

use crate::arms::Arm;
use crate::gateway::{Gateway, Online, delay, hashes_of, zone_of};
use crate::jobs::JobGroup;
use crate::load::{OnlineRequest, Profile, ZONES, item_prompt, online_requests};
use crate::report::Figures;

const MODEL: &str = "model";
/// Interval between load reports of an engine to its owner.
const LOAD_POLL: Duration = Duration::from_millis(100);
/// Interval between reads of an engine's cache events by each gateway.
const CACHE_POLL: Duration = Duration::from_millis(200);
/// Time that a job group takes to commit a command and reply.
const GROUP_REPLY: Duration = Duration::from_millis(4);
/// Interval, in tokens, at which the progress of a batch stream is reported.
const PROGRESS_TOKENS: u32 = 8;

/// Origin of an attempt.
#[derive(Clone, Copy, Debug)]
enum Source {
    Online { gateway: u32, number: usize },
    Batch { gateway: u32, stream: StreamId },
}

/// A call to an engine.
enum Call {
    Submit {
        source: Source,
        submission: Submission,
    },
    Pause(Arc<str>),
    Resume(Arc<str>),
    Cancel(Arc<str>),
}

enum Event {
    Arrival(usize),
    JobWave,
    Call {
        backend: BackendId,
        call: Call,
    },
    Step(BackendId),
    OnlineToken {
        gateway: u32,
        number: usize,
    },
    OnlineDone {
        gateway: u32,
        number: usize,
        prompt: u32,
        cached: u32,
    },
    Notice {
        gateway: u32,
        notice: OnlineNotice,
    },
    PollLoad(BackendId),
    Load {
        gateway: u32,
        sample: LoadSample,
    },
    PollCache {
        gateway: u32,
        backend: BackendId,
        after: u64,
    },
    Batch {
        gateway: u32,
        input: BatchInput,
    },
    Tick {
        gateway: u32,
    },
}

struct Engine {
    core: EngineCore,
    sources: HashMap<Arc<str>, Source>,
    scheduled: Option<Timestamp>,
    busy_since: Option<Timestamp>,
}

/// One run of an arm of the experiment.
pub struct World<'a> {
    profile: &'a Profile,
    arm: &'a Arm,
    now: Timestamp,
    start: Timestamp,
    end: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    jobs: JobGroup,
    requests: Vec<OnlineRequest>,
    figures: Figures,
}

impl<'a> World<'a> {
    pub fn new(
        profile: &'a Profile,
        arm: &'a Arm,
        seed: u64,
        start: Duration,
        end: Duration,
    ) -> Self {
        let gateways = (0..ZONES).map(|number| Gateway::new(profile, arm, number, seed));
        let engines = (0..profile.engines).map(|number| Engine::new(profile, arm, number, seed));
        let mut world = Self {
            profile,
            arm,
            now: Timestamp::ZERO,
            start: Timestamp::ZERO + start,
            end: Timestamp::ZERO + end,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            engines: engines.collect(),
            gateways: gateways.collect(),
            jobs: JobGroup::default(),
            requests: online_requests(profile, seed, end),
            figures: Figures::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        if self.arm.online {
            self.after(Duration::ZERO, Event::Arrival(0));
        }
        if self.arm.batch {
            self.after(Duration::ZERO, Event::JobWave);
        }
        for number in 0..self.profile.engines {
            let backend = BackendId(number);
            // Staggers the reports of different engines.
            let offset = LOAD_POLL / self.profile.engines * number;
            self.after(offset, Event::PollLoad(backend));
            for gateway in 0..ZONES {
                let event = Event::PollCache {
                    gateway,
                    backend,
                    after: 0,
                };
                self.after(offset, event);
            }
            let owned = OwnedEngine {
                backend,
                incarnation: Incarnation(1),
                service: ServiceName::from("captions"),
            };
            if self.arm.batch {
                self.feed(zone_of(backend), BatchInput::Acquired(owned));
            }
        }
    }

    /// Runs the simulation to its end and returns the figures.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = self.end;
        for number in 0..self.engines.len() {
            self.record_busy(BackendId(number as u32), false);
        }
        let time = self.end.since(self.start).as_secs_f64();
        self.figures.time = time;
        self.figures.engine_time = time * f64::from(self.profile.engines);
        self.figures
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        let at = self.now + delay;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn measuring(&self) -> bool {
        self.now >= self.start
    }

    fn delay(&self, gateway: u32, backend: BackendId) -> Duration {
        delay(self.profile, gateway, zone_of(backend))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.arrival(number),
            Event::JobWave => {
                self.jobs.add_wave(self.profile.wave_items);
                let service = ServiceName::from("captions");
                for gateway in 0..ZONES {
                    self.feed(gateway, BatchInput::WorkAvailable(service.clone()));
                }
                self.after(self.profile.wave_interval, Event::JobWave);
            }
            Event::Call { backend, call } => self.call(backend, call),
            Event::Step(backend) => self.step_engine(backend),
            Event::OnlineToken { gateway, number } => self.online_token(gateway, number),
            Event::OnlineDone {
                gateway,
                number,
                prompt,
                cached,
            } => {
                if self.measuring() {
                    self.figures.prompt_tokens += u64::from(prompt);
                    self.figures.cached_tokens += u64::from(cached);
                }
                self.online_done(gateway, number);
            }
            Event::Notice { gateway, notice } => {
                self.feed(gateway, BatchInput::OnlineNotice(notice));
            }
            Event::PollLoad(backend) => self.poll_load(backend),
            Event::Load { gateway, sample } => {
                self.gateways[gateway as usize].picker.observe_load(sample);
                self.retry_waiting(gateway);
            }
            Event::PollCache {
                gateway,
                backend,
                after,
            } => self.poll_cache(gateway, backend, after),
            Event::Batch { gateway, input } => self.feed(gateway, input),
            Event::Tick { gateway } => {
                let due = self.gateways[gateway as usize].tick_at;
                if due.is_some_and(|at| at <= self.now) {
                    self.gateways[gateway as usize].tick_at = None;
                    self.feed(gateway, BatchInput::Tick);
                }
            }
        }
    }

    fn arrival(&mut self, number: usize) {
        if let Some(next) = self.requests.get(number + 1) {
            let wait = next.at.since(self.now);
            self.after(wait, Event::Arrival(number + 1));
        }
        let request = &self.requests[number];
        let gateway = request.gateway;
        let online = Online {
            number,
            arrived: self.now,
            sent: self.now,
            backend: BackendId(0),
            hashes: hashes_of(&request.prompt),
            last_token: None,
        };
        let waiting = &mut self.gateways[gateway as usize].waiting;
        waiting.push_back(online);
        self.retry_waiting(gateway);
    }

    /// Sends waiting requests until all engines are at their limit.
    fn retry_waiting(&mut self, gateway: u32) {
        let now = self.now;
        loop {
            let state = &mut self.gateways[gateway as usize];
            let Some(mut request) = state.waiting.pop_front() else {
                return;
            };
            if !state.place(now, &mut request) {
                state.waiting.push_front(request);
                return;
            }
            self.send_online(gateway, request);
        }
    }

    fn send_online(&mut self, gateway: u32, request: Online) {
        let backend = request.backend;
        let number = request.number;
        let prompt_tokens = 16 * request.hashes.len() as u32 + 1;
        self.gateways[gateway as usize]
            .online
            .insert(number, request);
        self.notify_owner(gateway, backend, prompt_tokens);
        let load = &self.requests[number];
        let submission = Submission {
            attempt: Arc::from(format!("online-{number}")),
            priority: Priority::Online,
            model: MODEL.to_owned(),
            adapter: None,
            prompt: load.prompt.clone(),
            max_tokens: load.answer,
            stream: true,
        };
        let source = Source::Online { gateway, number };
        let call = Call::Submit { source, submission };
        self.after(self.delay(gateway, backend), Event::Call { backend, call });
    }

    /// Notifies the owner of `backend` that an online request started or, with 0
    /// `prompt_tokens`, finished there.
    fn notify_owner(&mut self, gateway: u32, backend: BackendId, prompt_tokens: u32) {
        if !self.arm.preempts || !self.arm.batch {
            return;
        }
        let owner = zone_of(backend);
        if owner == gateway {
            let input = match prompt_tokens {
                0 => BatchInput::OnlineFinished { backend },
                _ => BatchInput::OnlineStarted { backend },
            };
            self.feed(gateway, input);
            return;
        }
        let notice = OnlineNotice {
            from: NodeId(gateway),
            backend,
            in_flight: self.gateways[gateway as usize]
                .picker
                .own_in_flight(backend),
            prompt_tokens,
        };
        let wait = delay(self.profile, gateway, owner);
        self.after(
            wait,
            Event::Notice {
                gateway: owner,
                notice,
            },
        );
    }

    fn online_token(&mut self, gateway: u32, number: usize) {
        let now = self.now;
        let measuring = self.measuring();
        let Some(request) = self.gateways[gateway as usize].online.get_mut(&number) else {
            return;
        };
        let last = request.last_token.replace(now);
        let (backend, arrived, sent) = (request.backend, request.arrived, request.sent);
        if let Some(last) = last {
            if measuring {
                self.figures
                    .between_tokens
                    .push(now.since(last).as_secs_f64());
            }
            return;
        }
        if measuring {
            self.figures
                .first_token
                .push(now.since(arrived).as_secs_f64());
        }
        let notified = self.arm.preempts && self.arm.batch && zone_of(backend) == gateway;
        if notified {
            let after = now.since(sent);
            self.feed(gateway, BatchInput::OnlineFirstToken { backend, after });
        }
    }

    fn online_done(&mut self, gateway: u32, number: usize) {
        let now = self.now;
        let state = &mut self.gateways[gateway as usize];
        let Some(request) = state.online.remove(&number) else {
            return;
        };
        // The daemon observes the time to the first byte; the simulation uses the time to
        // the first token instead.
        state
            .picker
            .finished(now, request.backend, request.sent, Finish::Other);
        if self.measuring() {
            self.figures.online += 1;
        }
        self.notify_owner(gateway, request.backend, 0);
        self.retry_waiting(gateway);
    }

    fn call(&mut self, backend: BackendId, call: Call) {
        let now = self.now;
        let engine = &mut self.engines[backend.0 as usize];
        let result = match call {
            Call::Submit { source, submission } => {
                let attempt = submission.attempt.clone();
                engine.sources.insert(attempt, source);
                engine.core.submit(now, submission)
            }
            Call::Pause(attempt) => engine.core.pause(now, &attempt).map(drop),
            Call::Resume(attempt) => engine.core.resume(now, &attempt).map(drop),
            Call::Cancel(attempt) => {
                engine.sources.remove(&attempt);
                engine.core.cancel(now, &attempt).map(drop)
            }
        };
        if let Err(refusal) = result {
            panic!("engine {backend} rejected a call: {refusal}");
        }
        self.step_engine(backend);
    }

    /// Handles an engine's outputs and schedules its next step.
    fn step_engine(&mut self, backend: BackendId) {
        let now = self.now;
        let engine = &mut self.engines[backend.0 as usize];
        let outputs = engine.core.step(now);
        let next = engine.core.next_step_at();
        let again = next.is_some() && next != engine.scheduled;
        engine.scheduled = next;
        if let (true, Some(next)) = (again, next) {
            self.after(next.since(now), Event::Step(backend));
        }
        self.record_busy(backend, next.is_some());
        for output in outputs {
            self.engine_output(backend, output);
        }
    }

    fn record_busy(&mut self, backend: BackendId, busy: bool) {
        let (now, start) = (self.now, self.start);
        let engine = &mut self.engines[backend.0 as usize];
        if let Some(since) = engine.busy_since {
            self.figures.busy += now.since(since.max(start)).as_secs_f64();
        }
        engine.busy_since = busy.then_some(now);
    }

    fn engine_output(&mut self, backend: BackendId, output: Output) {
        let sources = &mut self.engines[backend.0 as usize].sources;
        match output {
            Output::Token {
                attempt, offset, ..
            } => {
                let Some(source) = sources.get(&attempt).copied() else {
                    return;
                };
                self.token(backend, source, offset);
            }
            Output::Completed { attempt, usage, .. } => {
                let Some(source) = sources.remove(&attempt) else {
                    return;
                };
                let (gateway, event) = match source {
                    Source::Online { gateway, number } => {
                        let (prompt, cached) = (usage.prompt_tokens, usage.cached_tokens);
                        (
                            gateway,
                            Event::OnlineDone {
                                gateway,
                                number,
                                prompt,
                                cached,
                            },
                        )
                    }
                    Source::Batch { gateway, stream } => {
                        let end = ItemEnd::Completed(ByteVec::from(Vec::new()));
                        let input = BatchInput::Ended { stream, end };
                        (gateway, Event::Batch { gateway, input })
                    }
                };
                self.after(self.delay(gateway, backend), event);
            }
            Output::Cancelled { .. } | Output::FetchWeights(_) => {}
        }
    }

    fn token(&mut self, backend: BackendId, source: Source, offset: u32) {
        match source {
            Source::Online { gateway, number } => {
                let wait = self.delay(gateway, backend);
                self.after(wait, Event::OnlineToken { gateway, number });
            }
            Source::Batch { gateway, stream } if offset.is_multiple_of(PROGRESS_TOKENS) => {
                let tokens = offset + 1;
                let input = BatchInput::Progress { stream, tokens };
                self.after(
                    self.delay(gateway, backend),
                    Event::Batch { gateway, input },
                );
            }
            Source::Batch { .. } => {}
        }
    }

    fn poll_load(&mut self, backend: BackendId) {
        self.after(LOAD_POLL, Event::PollLoad(backend));
        let now = self.now;
        let report = self.engines[backend.0 as usize].core.load_report(now);
        let age = Duration::from_millis(u64::from(report.age_ms));
        let observed = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
        let sample = LoadSample::from_report(&report, observed);
        let owner = zone_of(backend);
        let to_owner = self.delay(owner, backend);
        if self.arm.batch {
            let mut seen = sample.clone();
            if !self.arm.preempts {
                seen.online = 0;
                seen.online_waiting = 0;
            }
            let input = BatchInput::Load(seen);
            self.after(
                to_owner,
                Event::Batch {
                    gateway: owner,
                    input,
                },
            );
        }
        for gateway in 0..ZONES {
            let wait = to_owner + delay(self.profile, owner, gateway);
            let sample = sample.clone();
            self.after(wait, Event::Load { gateway, sample });
        }
    }

    fn poll_cache(&mut self, gateway: u32, backend: BackendId, after: u64) {
        let page = self.engines[backend.0 as usize]
            .core
            .cache_events(self.now, after);
        let last = page.events.last().map_or(after, |event| event.sequence);
        let picker = &mut self.gateways[gateway as usize].picker;
        picker.observe_cache(backend, &page);
        let event = Event::PollCache {
            gateway,
            backend,
            after: last,
        };
        self.after(CACHE_POLL, event);
    }

    /// Feeds the batch owner of a gateway and carries out its outputs.
    fn feed(&mut self, gateway: u32, input: BatchInput) {
        let now = self.now;
        let state = &mut self.gateways[gateway as usize];
        if let BatchInput::Ended { stream, .. } = &input {
            state.streams.remove(stream);
        }
        let outputs = state.owner.handle(now, input);
        for output in outputs {
            self.execute(gateway, output);
        }
        self.schedule_tick(gateway);
    }

    fn schedule_tick(&mut self, gateway: u32) {
        let now = self.now;
        let state = &mut self.gateways[gateway as usize];
        let Some(wakeup) = state.owner.next_wakeup(now) else {
            return;
        };
        let wakeup = wakeup.max(now + Duration::from_micros(100));
        if state.tick_at.is_none_or(|at| wakeup < at) {
            state.tick_at = Some(wakeup);
            self.after(wakeup.since(now), Event::Tick { gateway });
        }
    }

    fn execute(&mut self, gateway: u32, output: BatchOutput) {
        match output {
            BatchOutput::Pause(stream) => self.call_stream(gateway, stream, Call::Pause),
            BatchOutput::Resume(stream) => self.call_stream(gateway, stream, Call::Resume),
            BatchOutput::Cancel(stream) => {
                if self.measuring() {
                    self.figures.stopped += 1;
                }
                self.call_stream(gateway, stream, Call::Cancel);
                self.gateways[gateway as usize].streams.remove(&stream);
            }
            BatchOutput::Dispatch {
                stream,
                backend,
                job,
                item,
                ..
            } => self.dispatch(gateway, stream, backend, job, item),
            BatchOutput::LeaseItems {
                request, max_items, ..
            } => {
                let reply = self.jobs.lease(max_items);
                self.reply(gateway, request, reply);
            }
            BatchOutput::Renew { request, .. } => {
                let reply = GroupReply::Renewed {
                    lost: Vec::new(),
                    cancelled: Vec::new(),
                };
                self.reply(gateway, request, reply);
            }
            BatchOutput::Record {
                request,
                lease,
                results,
                ..
            } => {
                let items: Vec<ItemIndex> = results.iter().map(|result| result.item).collect();
                let before = self.jobs.recorded;
                let reply = self.jobs.record(lease, &items);
                if self.measuring() {
                    self.figures.items += self.jobs.recorded - before;
                }
                self.reply(gateway, request, reply);
            }
            BatchOutput::Return {
                request,
                lease,
                items,
                ..
            } => {
                let reply = self.jobs.return_items(lease, &items);
                self.reply(gateway, request, reply);
            }
            BatchOutput::Decision(_) | BatchOutput::Drained => {}
        }
    }

    fn reply(&mut self, gateway: u32, request: RequestNumber, reply: GroupReply) {
        let input = BatchInput::Reply { request, reply };
        self.after(GROUP_REPLY, Event::Batch { gateway, input });
    }

    fn dispatch(
        &mut self,
        gateway: u32,
        stream: StreamId,
        backend: BackendId,
        job: JobId,
        item: ItemIndex,
    ) {
        let state = &mut self.gateways[gateway as usize];
        state.streams.insert(stream, backend);
        let submission = Submission {
            attempt: attempt_of(gateway, stream),
            priority: Priority::Batch,
            model: MODEL.to_owned(),
            adapter: None,
            prompt: item_prompt(self.profile, job.0, item.0),
            max_tokens: self.profile.item.answer,
            stream: true,
        };
        let source = Source::Batch { gateway, stream };
        let call = Call::Submit { source, submission };
        self.after(self.delay(gateway, backend), Event::Call { backend, call });
    }

    fn call_stream(&mut self, gateway: u32, stream: StreamId, call: impl Fn(Arc<str>) -> Call) {
        let Some(backend) = self.gateways[gateway as usize].streams.get(&stream) else {
            return;
        };
        let backend = *backend;
        let call = call(attempt_of(gateway, stream));
        self.after(self.delay(gateway, backend), Event::Call { backend, call });
    }
}

fn attempt_of(gateway: u32, stream: StreamId) -> Arc<str> {
    Arc::from(format!("batch-{gateway}-{stream}"))
}

impl Engine {
    fn new(profile: &Profile, arm: &Arm, number: u32, seed: u64) -> Self {
        let settings = EngineSettings {
            backend: BackendId(number),
            incarnation: Incarnation(1),
            model: profile.model.clone(),
            models: vec![MODEL.to_owned()],
        };
        let seed = seed * 1_000 + u64::from(number);
        let mut core = EngineCore::new(settings, seed, Timestamp::ZERO);
        core.set_priority(arm.engine_priority);
        Self {
            core,
            sources: HashMap::new(),
            scheduled: None,
            busy_since: None,
        }
    }
}
