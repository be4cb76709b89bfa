//! The engine core: the contract of each operation, and invariants under random
//! sequences of operations.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_emulator::engine::{
    EngineCore, EngineModel, EngineSettings, Output, Refusal, Submission, WeightsNeeded,
    expected_answer,
};
use molespan_emulator::faults::EngineFaults;
use molespan_engine_api::{
    CacheEventKind, Order, OrderAction, RequestState, block_hashes, token_ends,
};
use molespan_types::{BackendId, FencingToken, Incarnation, Priority, RunOutcome, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MODEL: &str = "caption";
const INCARNATION: Incarnation = Incarnation(1);

fn small_model() -> EngineModel {
    EngineModel {
        max_running: 4,
        max_waiting: 1_000,
        kv_blocks: 24,
        prefill_chunk_tokens: 32,
        cache_event_loss: 0.0,
        ..EngineModel::archive()
    }
}

fn engine(model: EngineModel) -> EngineCore {
    let settings = EngineSettings {
        backend: BackendId(1),
        incarnation: INCARNATION,
        model,
        models: vec![MODEL.to_owned()],
    };
    EngineCore::new(settings, 7, Timestamp::ZERO)
}

fn submission(attempt: &str, priority: Priority, prompt: &str, max_tokens: u32) -> Submission {
    Submission {
        attempt: attempt.into(),
        priority,
        model: MODEL.to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

fn words(count: usize, salt: u64) -> String {
    (0..count).map(|word| format!("w{salt}x{word} ")).collect()
}

/// Steps until the engine is idle; returns the outputs and the end time.
fn run_until_idle(engine: &mut EngineCore) -> (Vec<Output>, Timestamp) {
    let mut outputs = Vec::new();
    let mut now = Timestamp::ZERO;
    while let Some(at) = engine.next_step_at() {
        now = at;
        outputs.extend(engine.step(at));
    }
    outputs.extend(engine.step(now));
    (outputs, now)
}

fn first_token_at(engine: &mut EngineCore, attempt: &str) -> Timestamp {
    while let Some(at) = engine.next_step_at() {
        for output in engine.step(at) {
            if let Output::Token { attempt: found, .. } = output
                && &*found == attempt
            {
                return at;
            }
        }
    }
    panic!("{attempt} generated no token");
}

#[test]
fn an_answer_is_complete_and_matches_its_prompt() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "a red barn", 5);
    engine.submit(Timestamp::ZERO, request).unwrap();
    let (outputs, now) = run_until_idle(&mut engine);
    let mut text = String::new();
    for output in &outputs {
        if let Output::Token {
            offset,
            text: source,
            ..
        } = output
        {
            source.append_token(*offset, &mut text);
        }
    }
    assert_eq!(text, expected_answer("a red barn", 5));
    let answer = engine.answer(now, "a").unwrap();
    assert_eq!(answer.status.state, RequestState::Completed);
    assert_eq!(answer.text.first(answer.status.generated), text);
    assert_ne!(text, expected_answer("a red bar", 5));
}

#[test]
fn the_same_attempt_runs_once() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "prompt", 3);
    engine.submit(Timestamp::ZERO, request.clone()).unwrap();
    let again = engine.submit(Timestamp::ZERO, request.clone());
    let running = RequestState::Running;
    assert_eq!(again, Err(Refusal::Duplicate { state: running }));
    let (_, now) = run_until_idle(&mut engine);
    let after = engine.submit(now, request.clone()).unwrap_err();
    assert_eq!(after.outcome(), RunOutcome::Completed);
    let late = now + Duration::from_secs(3_600);
    assert_eq!(engine.submit(late, request), Err(Refusal::Forgotten));
    assert_eq!(engine.executions().of_attempt("a").started, 1);
}

#[test]
fn never_seen_is_reported_only_for_unknown_attempts() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "prompt", 1);
    engine.submit(Timestamp::ZERO, request).unwrap();
    let (_, now) = run_until_idle(&mut engine);
    let late = now + Duration::from_secs(3_600);
    assert_eq!(engine.status(late, "a"), Err(Refusal::Forgotten));
    assert_eq!(engine.status(late, "b"), Err(Refusal::NeverSeen));
    assert_eq!(Refusal::Forgotten.outcome(), RunOutcome::Unknown);
    assert_eq!(Refusal::NeverSeen.outcome(), RunOutcome::NotRun);
}

#[test]
fn refusals_report_not_run_and_start_nothing() {
    let refuse = EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    };
    let leave = Order {
        token: FencingToken(1),
        incarnation: INCARNATION,
        action: OrderAction::Leave,
    };
    type Prepare = Box<dyn Fn(&mut EngineCore, &mut Submission)>;
    let cases: Vec<(&str, Prepare)> = vec![
        (
            "refusing",
            Box::new(move |engine, _| engine.set_faults(Timestamp::ZERO, refuse.clone())),
        ),
        (
            "leaving",
            Box::new(move |engine, _| {
                assert!(engine.order(leave.clone()).accepted);
            }),
        ),
        (
            "model_not_loaded",
            Box::new(|_, request| request.model = "other".to_owned()),
        ),
        (
            "adapter_not_loaded",
            Box::new(|_, request| request.adapter = Some("kebele".to_owned())),
        ),
        (
            "too_large",
            Box::new(|_, request| request.max_tokens = 1_000_000),
        ),
    ];
    for (code, prepare) in cases {
        let mut engine = engine(small_model());
        let mut request = submission("a", Priority::Batch, "prompt", 2);
        prepare(&mut engine, &mut request);
        let refusal = engine.submit(Timestamp::ZERO, request).unwrap_err();
        assert_eq!(refusal.code(), code);
        assert_eq!(refusal.outcome(), RunOutcome::NotRun, "{code}");
        assert!(engine.is_idle(), "{code}");
        assert_eq!(engine.executions().attempts.len(), 0, "{code}");
        assert_eq!(engine.status(Timestamp::ZERO, "a"), Err(Refusal::NeverSeen));
    }
}

#[test]
fn online_preempts_batch_under_priority() {
    let mut first_tokens = BTreeMap::new();
    for priority in [true, false] {
        let model = EngineModel {
            priority,
            ..small_model()
        };
        let mut engine = engine(model);
        for item in 0..20 {
            let request = submission(&format!("b{item}"), Priority::Batch, &words(8, item), 40);
            engine.submit(Timestamp::ZERO, request).unwrap();
        }
        let request = submission("online", Priority::Online, "hint", 1);
        engine.submit(Timestamp::ZERO, request).unwrap();
        first_tokens.insert(priority, first_token_at(&mut engine, "online"));
    }
    let step = EngineModel::archive().step_duration(4, 512);
    assert!(first_tokens[&true] <= Timestamp::ZERO + step * 2);
    assert!(first_tokens[&false] > first_tokens[&true] + step * 20);
}

#[test]
fn a_prefill_chunk_in_progress_delays_the_first_online_token() {
    let model = EngineModel {
        prefill_chunk_tokens: 512,
        kv_blocks: 1_000,
        ..small_model()
    };
    let chunk = model.step_duration(0, 512);
    let mut engine = engine(model);
    let long = submission("b", Priority::Batch, &words(600, 1), 1);
    engine.submit(Timestamp::ZERO, long).unwrap();
    let online = submission("o", Priority::Online, "hint", 1);
    engine.submit(Timestamp::from_millis(1), online).unwrap();
    let at = first_token_at(&mut engine, "o");
    assert!(
        at > Timestamp::ZERO + chunk,
        "runs after the chunk in progress"
    );
    assert!(at < Timestamp::ZERO + chunk * 2 + Duration::from_millis(1));
}

#[test]
fn a_cached_prefix_is_not_processed_again() {
    let mut engine = engine(small_model());
    let prompt = words(20, 1);
    let first = submission("a", Priority::Online, &prompt, 1);
    engine.submit(Timestamp::ZERO, first).unwrap();
    let (_, now) = run_until_idle(&mut engine);
    let second = submission("b", Priority::Online, &prompt, 1);
    engine.submit(now, second).unwrap();
    run_until_idle(&mut engine);
    let usage = engine.finished("b").unwrap().usage;
    assert!(usage.cached_tokens > 0 && usage.cached_tokens < usage.prompt_tokens);

    let hashes = block_hashes(&prompt, &token_ends(&prompt));
    let later = now + Duration::from_secs(1);
    let page = engine.cache_events(later, 0);
    let stored: Vec<u64> = page
        .events
        .iter()
        .filter(|event| event.kind == CacheEventKind::Stored)
        .map(|event| event.prefix_hash)
        .collect();
    assert_eq!(stored, hashes);
    assert!(engine.cache_events(now, 0).events.is_empty(), "late");
}

#[test]
fn imported_blocks_serve_as_a_cached_prefix() {
    let mut source = engine(small_model());
    let prompt = words(20, 3);
    let request = submission("a", Priority::Online, &prompt, 1);
    source.submit(Timestamp::ZERO, request.clone()).unwrap();
    run_until_idle(&mut source);
    let hashes = block_hashes(&prompt, &token_ends(&prompt));
    let export = source.kv_export(*hashes.last().unwrap());
    assert_eq!(export.prefix_hashes, hashes);
    assert!(source.kv_export(1).prefix_hashes.is_empty());

    let mut target = engine(small_model());
    let stored = target.kv_import(Timestamp::ZERO, &export);
    assert_eq!(stored as usize, hashes.len());
    target.submit(Timestamp::ZERO, request).unwrap();
    run_until_idle(&mut target);
    assert!(target.finished("a").unwrap().usage.cached_tokens > 0);
}

#[test]
fn pause_resume_and_cancel() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Batch, "prompt", 10);
    engine.submit(Timestamp::ZERO, request).unwrap();
    let at = engine.next_step_at().unwrap();
    engine.step(at);
    let paused = engine.pause(at, "a").unwrap();
    assert_eq!(paused.state, RequestState::Paused);
    let (outputs, _) = run_until_idle(&mut engine);
    assert_eq!(outputs, vec![], "a paused attempt generates nothing");
    assert!(
        engine.memory().held() > 0,
        "a paused attempt keeps its memory"
    );
    engine.resume(at, "a").unwrap();
    let next = engine.next_step_at().unwrap();
    engine.step(next);
    let cancelled = engine.cancel(next, "a").unwrap();
    assert_eq!(cancelled.state, RequestState::Cancelled);
    assert!(cancelled.generated > paused.generated);
    let (outputs, _) = run_until_idle(&mut engine);
    assert!(matches!(outputs[..], [Output::Cancelled { .. }]));
    assert_eq!(engine.memory().held(), 0);
}

#[test]
fn load_reports_are_delayed() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "prompt", 1_00);
    engine.submit(Timestamp::ZERO, request).unwrap();
    let early = engine.load_report(Timestamp::from_millis(10));
    assert_eq!(early.online_running, 0);
    let late = engine.load_report(Timestamp::from_millis(160));
    assert_eq!((late.online_running, late.age_ms), (1, 60));
    assert!(late.sequence > early.sequence);
}

#[test]
fn models_load_when_weights_arrive_unless_superseded() {
    let mut engine = engine(small_model());
    let order = |token, action| Order {
        token: FencingToken(token),
        incarnation: INCARNATION,
        action,
    };
    let load = |version| OrderAction::LoadModel {
        model: "album".to_owned(),
        version,
    };
    let weights = |version| WeightsNeeded::Model {
        model: "album".to_owned(),
        version,
    };
    assert!(engine.order(order(1, load(1))).accepted);
    assert!(engine.order(order(2, load(2))).accepted);
    let wanted = vec![
        Output::FetchWeights(weights(1)),
        Output::FetchWeights(weights(2)),
    ];
    assert_eq!(engine.step(Timestamp::ZERO), wanted);
    engine.weights_arrived(&weights(2));
    engine.weights_arrived(&weights(1));
    assert_eq!(engine.loaded().models["album"], 2);
}

#[test]
fn a_crash_keeps_only_the_execution_counts() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "prompt", 5);
    engine.submit(Timestamp::ZERO, request).unwrap();
    engine.crash(Timestamp::from_millis(1));
    assert_eq!(engine.next_step_at(), None);
    assert_eq!(engine.incarnation(), INCARNATION.next());
    assert_eq!(engine.status(Timestamp::ZERO, "a"), Err(Refusal::NeverSeen));
    assert_eq!(engine.executions().of_attempt("a").started, 1);
}

#[test]
fn a_frozen_engine_does_nothing_until_unfrozen() {
    let mut engine = engine(small_model());
    let request = submission("a", Priority::Online, "prompt", 1);
    engine.submit(Timestamp::ZERO, request).unwrap();
    let frozen = EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    };
    engine.set_faults(Timestamp::ZERO, frozen);
    assert_eq!(engine.next_step_at(), None);
    assert_eq!(engine.step(Timestamp::from_millis(1_000)), vec![]);
    let unfrozen_at = Timestamp::from_millis(2_000);
    engine.set_faults(unfrozen_at, EngineFaults::default());
    assert!(engine.next_step_at().unwrap() > unfrozen_at);
    let (outputs, _) = run_until_idle(&mut engine);
    assert_eq!(outputs.len(), 2);
}

/// A random operation on the engine.
#[derive(Clone, Debug)]
enum Action {
    Submit {
        online: bool,
        words: usize,
        prompt: u64,
        max_tokens: u32,
    },
    Pause(usize),
    Resume(usize),
    Cancel(usize),
    Step,
    Order(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (any::<bool>(), 1..60_usize, 0..6_u64, 1..40_u32).prop_map(
            |(online, words, prompt, max_tokens)| Action::Submit {
                online, words, prompt, max_tokens,
            }
        ),
        1 => (0..40_usize).prop_map(Action::Pause),
        1 => (0..40_usize).prop_map(Action::Resume),
        1 => (0..40_usize).prop_map(Action::Cancel),
        5 => Just(Action::Step),
        1 => (1..30_u64).prop_map(Action::Order),
    ]
}

/// An engine with the state that the test expects of it.
struct TestedEngine {
    engine: EngineCore,
    now: Timestamp,
    submitted: BTreeMap<String, (String, u32)>,
    refused: usize,
    tokens: BTreeMap<String, u32>,
    ends: BTreeMap<String, u32>,
    highest_token: u64,
}

impl TestedEngine {
    fn new(priority: bool) -> Self {
        let model = EngineModel {
            priority,
            ..small_model()
        };
        Self {
            engine: engine(model),
            now: Timestamp::ZERO,
            submitted: BTreeMap::new(),
            refused: 0,
            tokens: BTreeMap::new(),
            ends: BTreeMap::new(),
            highest_token: 0,
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Submit {
                online,
                words: count,
                prompt,
                max_tokens,
            } => self.submit(*online, words(*count, *prompt), *max_tokens),
            Action::Pause(attempt) => {
                let _ = self.engine.pause(self.now, &format!("r{attempt}"));
            }
            Action::Resume(attempt) => {
                let _ = self.engine.resume(self.now, &format!("r{attempt}"));
            }
            Action::Cancel(attempt) => {
                let _ = self.engine.cancel(self.now, &format!("r{attempt}"));
            }
            Action::Step => self.step(),
            Action::Order(token) => self.order(*token),
        }
        self.check();
    }

    fn submit(&mut self, online: bool, prompt: String, max_tokens: u32) {
        let attempt = format!("r{}", self.submitted.len() + self.refused);
        let priority = match online {
            true => Priority::Online,
            false => Priority::Batch,
        };
        let request = submission(&attempt, priority, &prompt, max_tokens);
        match self.engine.submit(self.now, request) {
            Ok(()) => {
                self.submitted.insert(attempt, (prompt, max_tokens));
            }
            Err(refusal) => {
                assert_eq!(refusal.outcome(), RunOutcome::NotRun);
                self.refused += 1;
            }
        }
    }

    fn step(&mut self) {
        if let Some(at) = self.engine.next_step_at() {
            self.now = self.now.max(at);
        }
        for output in self.engine.step(self.now) {
            self.observe(output);
        }
    }

    fn observe(&mut self, output: Output) {
        match output {
            Output::Token {
                attempt, offset, ..
            } => {
                let next = self.tokens.entry(attempt.to_string()).or_default();
                assert_eq!(offset, *next, "offsets of {attempt} are contiguous");
                *next += 1;
            }
            Output::Completed {
                attempt,
                text,
                usage,
            } => {
                let (prompt, max_tokens) = &self.submitted[&*attempt];
                let answer = text.first(usage.completion_tokens);
                assert_eq!(answer, expected_answer(prompt, *max_tokens));
                assert_eq!(self.tokens[&*attempt], *max_tokens);
                *self.ends.entry(attempt.to_string()).or_default() += 1;
            }
            Output::Cancelled { attempt, .. } => {
                *self.ends.entry(attempt.to_string()).or_default() += 1;
            }
            Output::FetchWeights(_) => {}
        }
    }

    fn order(&mut self, token: u64) {
        let order = Order {
            token: FencingToken(token),
            incarnation: INCARNATION,
            action: OrderAction::LoadAdapter {
                adapter: format!("adapter-{token}"),
            },
        };
        let reply = self.engine.order(order.clone());
        if token > self.highest_token {
            assert!(reply.accepted);
            self.highest_token = token;
        }
        assert_eq!(reply.highest_token.0, self.highest_token);
        assert_eq!(self.engine.order(order.clone()).accepted, reply.accepted);
        let other = Order {
            action: OrderAction::Leave,
            ..order
        };
        assert!(
            !self.engine.order(other).accepted,
            "a stale token is rejected"
        );
    }

    fn check(&self) {
        let memory = self.engine.memory();
        assert!(memory.used() <= memory.capacity(), "memory limit");
        let counts = self.engine.counts();
        let running = counts.online_running + counts.batch_running;
        assert!(running <= self.engine.model().max_running);
    }

    fn finish(&mut self) {
        let attempts: Vec<String> = self.submitted.keys().cloned().collect();
        for attempt in &attempts {
            let _ = self.engine.resume(self.now, attempt);
        }
        while self.engine.next_step_at().is_some() {
            self.step();
            self.check();
        }
        self.step();
        for attempt in &attempts {
            assert_eq!(self.ends.get(attempt), Some(&1), "{attempt} ends once");
        }
        assert_eq!(self.engine.memory().held(), 0, "all memory is given back");
    }
}

fn run_property(priority: bool, check: impl Fn(&TestedEngine)) {
    let config = ProptestConfig {
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let actions = proptest::collection::vec(action(), 1..120);
    let result = runner.run(&actions, |actions| {
        let mut tested = TestedEngine::new(priority);
        for action in &actions {
            tested.apply(action);
            check(&tested);
        }
        tested.finish();
        Ok(())
    });
    result.unwrap();
}

#[test]
fn every_attempt_ends_once_with_priority() {
    run_property(true, |_| {});
}

#[test]
fn every_attempt_ends_once_without_priority() {
    run_property(false, |_| {});
}

#[test]
fn no_batch_runs_in_a_step_that_begins_while_online_waits() {
    let model = small_model();
    let longest = model.step_duration(model.max_running as usize, model.prefill_chunk_tokens);
    run_property(true, |tested| {
        let counts = tested.engine.counts();
        let mut engine = tested.engine.clone();
        if counts.online_waiting == 0 || counts.batch_running == 0 {
            return;
        }
        // The online sequence arrived during a step; at the end of that step,
        // batch sequences are preempted.
        let at = engine.next_step_at().unwrap();
        assert!(at <= tested.now + longest);
        engine.step(at);
        let waiting = engine.counts().online_waiting - paused_online(tested);
        assert!(waiting == 0 || engine.counts().batch_running == 0);
    });
}

/// Returns the number of paused online attempts, which the counts include as
/// waiting.
fn paused_online(tested: &TestedEngine) -> u32 {
    let mut engine = tested.engine.clone();
    let mut paused = 0;
    for attempt in tested.submitted.keys() {
        let status = engine.status(tested.now, attempt).unwrap();
        if status.state == RequestState::Paused {
            let before = engine.counts().online_waiting;
            engine.cancel(tested.now, attempt).unwrap();
            paused += before - engine.counts().online_waiting;
        }
    }
    paused
}
