//! Tests retries, resumed streams and requests that may run only once.

use molespan_routing::retry::{
    AttemptEnd, AttemptRef, ClaimAnswer, NextStep, RequestKind, RequestState, RetryBudget,
    RetryBudgetSettings, StatusAnswer,
};
use molespan_types::{AttemptId, BackendId, Incarnation, RunOutcome, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REPEATABLE: RequestKind = RequestKind {
    repeatable: true,
    resumable: true,
};
const ONCE: RequestKind = RequestKind {
    repeatable: false,
    resumable: true,
};
/// A billing call to an application that can't report the status of attempts.
const ONCE_PLAIN: RequestKind = RequestKind {
    repeatable: false,
    resumable: false,
};
const REPEATABLE_PLAIN: RequestKind = RequestKind {
    repeatable: true,
    resumable: false,
};
/// Upper bound on the steps until a request has its outcome.
const MOST_STEPS: usize = 64;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn attempt(number: u32) -> AttemptRef {
    AttemptRef {
        attempt: AttemptId {
            node: 1,
            sequence: u64::from(number),
        },
        backend: BackendId(number),
        incarnation: Incarnation(1),
    }
}

fn budget(tokens: f64) -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings {
        ratio: 0.1,
        reserve_per_second: 0.0,
        max_tokens: tokens,
    })
}

/// An event of a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    Claimed(ClaimAnswer),
    Passed(u32),
    Ended(AttemptEnd),
    Status(StatusAnswer),
    NoBackend,
}

use AttemptEnd::{Broken, Completed, DeclaredNotRun, Lost, NotSent};
use Event::{Claimed, Ended, NoBackend, Passed, Status};
use StatusAnswer::{Cancelled, NeverSeen, NoAnswer, OtherLife, Present};

const NOT_RUN: NextStep = NextStep::Fail {
    outcome: RunOutcome::NotRun,
};
const UNKNOWN: NextStep = NextStep::Fail {
    outcome: RunOutcome::Unknown,
};

fn retry(exclude: &[u32]) -> NextStep {
    NextStep::Retry {
        exclude: exclude.iter().copied().map(BackendId).collect(),
    }
}

fn resume(number: u32, offset: u32) -> NextStep {
    NextStep::Resume {
        attempt: attempt(number),
        offset,
    }
}

fn ask(number: u32) -> NextStep {
    NextStep::AskStatus {
        attempt: attempt(number),
    }
}

/// Returns the step after `events`, where each attempt goes to the backend of the same
/// number.
fn last_step(kind: RequestKind, events: &[Event]) -> NextStep {
    let mut state = RequestState::new(kind);
    let mut budget = budget(20.0);
    let mut attempts = 0;
    let mut step = state.begin();
    for event in events {
        let sends = matches!(step, NextStep::Dispatch | NextStep::Retry { .. });
        if sends && !matches!(event, NoBackend) {
            attempts += 1;
            assert!(state.dispatched(attempt(attempts)), "{step:?}");
            step = NextStep::Done;
        }
        step = match event {
            Claimed(answer) => state.claim_answered(*answer),
            Passed(offset) => {
                state.passed(*offset);
                continue;
            }
            Ended(end) => state.ended(at(1), *end, &mut budget),
            Status(answer) => state.status(at(1), *answer, &mut budget),
            NoBackend => state.no_backend(),
        };
    }
    step
}

#[test]
fn steps_after_events() {
    let granted = Claimed(ClaimAnswer::Granted);
    let cases: &[(&str, RequestKind, &[Event], NextStep)] = &[
        (
            "complete answer",
            REPEATABLE,
            &[Ended(Completed)],
            NextStep::Done,
        ),
        (
            "connection refused",
            REPEATABLE,
            &[Ended(NotSent)],
            retry(&[1]),
        ),
        (
            "engine rejects",
            REPEATABLE,
            &[Ended(DeclaredNotRun)],
            retry(&[1]),
        ),
        (
            "two rejections",
            REPEATABLE,
            &[Ended(NotSent), Ended(DeclaredNotRun)],
            retry(&[1, 2]),
        ),
        ("no backend", REPEATABLE, &[NoBackend], NOT_RUN),
        (
            "no backend for the retry",
            REPEATABLE,
            &[Ended(NotSent), NoBackend],
            NOT_RUN,
        ),
        (
            "no backend after the engine was lost",
            REPEATABLE,
            &[Ended(Lost), NoBackend],
            UNKNOWN,
        ),
        (
            "broken stream goes on at its offset",
            REPEATABLE,
            &[Passed(7), Ended(Broken)],
            resume(1, 7),
        ),
        (
            "broken before the first token",
            REPEATABLE,
            &[Ended(Broken)],
            resume(1, 0),
        ),
        (
            "broken, engine restarted",
            REPEATABLE,
            &[Ended(Broken), Ended(Lost)],
            retry(&[1]),
        ),
        (
            "part of the answer passed on, engine restarted",
            REPEATABLE,
            &[Passed(3), Ended(Broken), Ended(Lost)],
            UNKNOWN,
        ),
        (
            "part of the answer passed on, engine declares not run",
            REPEATABLE,
            &[Passed(3), Ended(DeclaredNotRun)],
            UNKNOWN,
        ),
        (
            "plain answer broken",
            REPEATABLE_PLAIN,
            &[Ended(Broken)],
            retry(&[1]),
        ),
        (
            "resumed three times without success",
            REPEATABLE,
            &[
                Passed(1),
                Ended(Broken),
                Ended(Broken),
                Ended(Broken),
                Ended(Broken),
            ],
            UNKNOWN,
        ),
        (
            "claim held elsewhere",
            ONCE,
            &[Claimed(ClaimAnswer::Held)],
            UNKNOWN,
        ),
        (
            "claim failed",
            ONCE,
            &[Claimed(ClaimAnswer::Failed)],
            NOT_RUN,
        ),
        (
            "key used for another body",
            ONCE,
            &[Claimed(ClaimAnswer::KeyConflict)],
            NOT_RUN,
        ),
        (
            "answered before",
            ONCE,
            &[Claimed(ClaimAnswer::Settled(RunOutcome::Completed))],
            NextStep::Replay {
                outcome: RunOutcome::Completed,
            },
        ),
        ("claim granted", ONCE, &[granted], NextStep::Dispatch),
        (
            "once, connection refused",
            ONCE,
            &[granted, Ended(NotSent)],
            retry(&[1]),
        ),
        (
            "once, broken: query status",
            ONCE,
            &[granted, Ended(Broken)],
            ask(1),
        ),
        (
            "once, runs",
            ONCE,
            &[granted, Ended(Broken), Status(Present)],
            resume(1, 0),
        ),
        (
            "once, cancelled",
            ONCE,
            &[granted, Ended(Broken), Status(Cancelled)],
            UNKNOWN,
        ),
        (
            "once, restarted",
            ONCE,
            &[granted, Ended(Broken), Status(OtherLife)],
            UNKNOWN,
        ),
        (
            "once, silent: query again",
            ONCE,
            &[granted, Ended(Broken), Status(NoAnswer)],
            ask(1),
        ),
        (
            "once, always silent",
            ONCE,
            &[
                granted,
                Ended(Broken),
                Status(NoAnswer),
                Status(NoAnswer),
                Status(NoAnswer),
                Status(NoAnswer),
                Status(NoAnswer),
            ],
            UNKNOWN,
        ),
        ("once, engine lost", ONCE, &[granted, Ended(Lost)], UNKNOWN),
        (
            "once, part of the answer passed on",
            ONCE,
            &[granted, Passed(2), Ended(Broken)],
            resume(1, 2),
        ),
        (
            "once, plain, broken",
            ONCE_PLAIN,
            &[granted, Ended(Broken)],
            UNKNOWN,
        ),
    ];
    for (name, kind, events, expected) in cases {
        assert_eq!(last_step(*kind, events), *expected, "{name}");
    }
}

#[test]
fn request_unknown_to_engine_may_still_arrive() {
    let granted = Claimed(ClaimAnswer::Granted);
    let never = Status(NeverSeen);
    let events = [granted, Ended(Broken), never];
    assert_eq!(last_step(ONCE, &events), ask(1));
    let events = [granted, Ended(Broken), never, never, never, never, never];
    assert_eq!(last_step(ONCE, &events), UNKNOWN);
    let events = [granted, Ended(Broken), never, Status(Present)];
    assert_eq!(last_step(ONCE, &events), resume(1, 0));
}

#[test]
fn failed_resume_does_not_prove_that_attempt_did_not_run() {
    let granted = Claimed(ClaimAnswer::Granted);
    for (end, expected) in [(NotSent, ask(1)), (DeclaredNotRun, UNKNOWN)] {
        let events = [granted, Ended(Broken), Status(Present), Ended(end)];
        assert_eq!(last_step(ONCE, &events), expected, "{end:?}");
        let events = [Ended(Broken), Ended(end), Ended(end), Ended(end), NoBackend];
        assert_eq!(last_step(REPEATABLE, &events), UNKNOWN, "{end:?}");
    }
}

#[test]
fn retries_stop_when_budget_is_exhausted() {
    let mut budget = budget(2.0);
    let mut retried = 0;
    for _ in 0..100 {
        let mut state = RequestState::new(REPEATABLE);
        state.begin();
        assert!(state.dispatched(attempt(1)));
        let step = state.ended(at(1), NotSent, &mut budget);
        retried += u32::from(matches!(step, NextStep::Retry { .. }));
    }
    assert_eq!(retried, 2);
    // Ten first attempts earn one retry.
    for _ in 0..11 {
        budget.earn();
    }
    assert!(budget.spend(at(1)));
    assert!(!budget.spend(at(1)));
}

#[test]
fn reserve_allows_retries_of_low_traffic_service() {
    let mut budget = RetryBudget::new(RetryBudgetSettings {
        ratio: 0.0,
        reserve_per_second: 1.0,
        max_tokens: 2.0,
    });
    assert!(budget.spend(at(0)) && budget.spend(at(0)) && !budget.spend(at(0)));
    assert!(!budget.spend(at(900)));
    assert!(budget.spend(at(1_100)));
    // An idle period accumulates no more than the bound.
    assert!(budget.spend(at(90_000)) && budget.spend(at(90_000)));
    assert!(!budget.spend(at(90_000)));
}

#[test]
fn nothing_is_dispatched_before_claim_or_after_end() {
    let mut state = RequestState::new(ONCE);
    assert_eq!(state.begin(), NextStep::Claim);
    assert!(!state.dispatched(attempt(1)));
    assert_eq!(
        state.claim_answered(ClaimAnswer::Granted),
        NextStep::Dispatch
    );
    assert!(state.dispatched(attempt(1)));
    assert!(!state.dispatched(attempt(2)));
    let mut budget = budget(20.0);
    assert_eq!(state.ended(at(1), Lost, &mut budget), UNKNOWN);
    assert!(!state.dispatched(attempt(2)));
}

/// What actually happens to an attempt, which the gateway can't observe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Execution {
    Runs,
    /// Its bytes are still in transit, and it runs when they arrive.
    RunsLater,
    Never,
}

/// An attempt as the gateway observes it, and what actually happens.
#[derive(Clone, Copy, Debug)]
struct SimulatedAttempt {
    end: AttemptEnd,
    execution: Execution,
    passed: u32,
}

fn simulated_attempt() -> impl Strategy<Value = SimulatedAttempt> {
    let not_received = |end| {
        Just(SimulatedAttempt {
            end,
            execution: Execution::Never,
            passed: 0,
        })
    };
    let broken = (
        prop_oneof![Just(Broken), Just(Lost)],
        prop_oneof![
            Just(Execution::Runs),
            Just(Execution::RunsLater),
            Just(Execution::Never)
        ],
        0..3_u32,
    );
    let broken = broken.prop_map(|(end, execution, passed)| SimulatedAttempt {
        end,
        execution,
        passed: if execution == Execution::Runs {
            passed
        } else {
            0
        },
    });
    let completed = Just(SimulatedAttempt {
        end: Completed,
        execution: Execution::Runs,
        passed: 4,
    });
    prop_oneof![
        2 => not_received(NotSent),
        2 => not_received(DeclaredNotRun),
        6 => broken,
        1 => completed,
    ]
}

/// How an attempt to resume ends; a restarted engine may declare "not run".
fn resume_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(NotSent),
        Just(DeclaredNotRun),
        Just(Broken),
        Just(Lost),
        Just(Completed)
    ]
}

/// A simulation of one request with random faults.
struct Simulation {
    state: RequestState,
    budget: RetryBudget,
    attempts: Vec<SimulatedAttempt>,
    retries: usize,
}

/// The random choices for one step.
type Choice = (SimulatedAttempt, AttemptEnd, u8);

impl Simulation {
    fn run(&mut self, granted: bool, choices: &[Choice]) -> NextStep {
        let mut step = self.state.begin();
        for choice in choices {
            if matches!(
                step,
                NextStep::Done | NextStep::Fail { .. } | NextStep::Replay { .. }
            ) {
                return step;
            }
            step = self.answer(step, granted, choice);
        }
        panic!("no outcome after {MOST_STEPS} steps");
    }

    fn answer(&mut self, step: NextStep, granted: bool, choice: &Choice) -> NextStep {
        let (simulated_attempt, resume_end, pick) = choice;
        match step {
            NextStep::Claim if granted => self.state.claim_answered(ClaimAnswer::Granted),
            NextStep::Claim => self.state.claim_answered(ClaimAnswer::Failed),
            NextStep::Dispatch => self.dispatch(*simulated_attempt),
            NextStep::Retry { exclude } => {
                self.retries += 1;
                assert_eq!(exclude.len(), self.attempts.len());
                self.dispatch(*simulated_attempt)
            }
            NextStep::Resume { .. } => {
                let ran = self.attempts.last().unwrap().execution == Execution::Runs;
                let end = match resume_end {
                    Completed if !ran => Lost,
                    end => *end,
                };
                self.state.ended(at(1), end, &mut self.budget)
            }
            NextStep::AskStatus { .. } => {
                let answer = self.status(*pick);
                self.state.status(at(1), answer, &mut self.budget)
            }
            step => panic!("{step:?} expects no answer"),
        }
    }

    fn dispatch(&mut self, simulated_attempt: SimulatedAttempt) -> NextStep {
        let number = self.attempts.len() as u32 + 1;
        assert!(self.state.dispatched(attempt(number)));
        self.attempts.push(simulated_attempt);
        self.state.passed(simulated_attempt.passed);
        self.state
            .ended(at(1), simulated_attempt.end, &mut self.budget)
    }

    fn status(&self, pick: u8) -> StatusAnswer {
        let seen = self.attempts.last().unwrap().execution == Execution::Runs;
        match pick % 4 {
            0 => NoAnswer,
            1 => OtherLife,
            2 if seen => Cancelled,
            _ if seen => Present,
            _ => NeverSeen,
        }
    }

    fn runs(&self) -> usize {
        let ran =
            |simulated_attempt: &&SimulatedAttempt| simulated_attempt.execution != Execution::Never;
        self.attempts.iter().filter(ran).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn runs_at_most_once_and_not_run_is_accurate(
        repeatable: bool,
        resumable: bool,
        granted in proptest::bool::weighted(0.9),
        tokens in 0_u8..5,
        choices in prop::collection::vec((simulated_attempt(), resume_end(), any::<u8>()), MOST_STEPS),
    ) {
        let kind = RequestKind { repeatable, resumable };
        let mut simulation = Simulation {
            state: RequestState::new(kind),
            budget: budget(f64::from(tokens)),
            attempts: Vec::new(),
            retries: 0,
        };
        let step = simulation.run(granted, &choices);
        prop_assert!(repeatable || simulation.runs() <= 1, "ran twice: {:?}", simulation.attempts);
        prop_assert!(simulation.retries <= tokens as usize);
        prop_assert!(simulation.attempts.len() <= 4);
        if step == NOT_RUN {
            prop_assert_eq!(simulation.runs(), 0, "said not run: {:?}", simulation.attempts);
        }
        if step == NextStep::Done {
            prop_assert!(simulation.runs() > 0);
        }
        let retried_after_passing_part = simulation.attempts.iter().rev().skip(1).any(|simulated_attempt| simulated_attempt.passed > 0);
        prop_assert!(!retried_after_passing_part, "sent again after a part was passed on");
    }
}
