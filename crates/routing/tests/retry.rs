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
        most_saved: tokens,
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
fn ends_and_what_follows() {
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
fn a_broken_request_that_the_engine_never_saw_may_still_reach_it() {
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
fn a_resume_that_was_not_sent_says_nothing_about_the_attempt() {
    let granted = Claimed(ClaimAnswer::Granted);
    for (end, expected) in [(NotSent, ask(1)), (DeclaredNotRun, UNKNOWN)] {
        let events = [granted, Ended(Broken), Status(Present), Ended(end)];
        assert_eq!(last_step(ONCE, &events), expected, "{end:?}");
        let events = [Ended(Broken), Ended(end), Ended(end), Ended(end), NoBackend];
        assert_eq!(last_step(REPEATABLE, &events), UNKNOWN, "{end:?}");
    }
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
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
fn the_reserve_lets_a_quiet_service_retry() {
    let mut budget = RetryBudget::new(RetryBudgetSettings {
        ratio: 0.0,
        reserve_per_second: 1.0,
        most_saved: 2.0,
    });
    assert!(budget.spend(at(0)) && budget.spend(at(0)) && !budget.spend(at(0)));
    assert!(!budget.spend(at(900)));
    assert!(budget.spend(at(1_100)));
    // An idle period accumulates no more than the bound.
    assert!(budget.spend(at(90_000)) && budget.spend(at(90_000)));
    assert!(!budget.spend(at(90_000)));
}

#[test]
fn nothing_is_sent_before_the_claim_is_granted_or_after_the_end() {
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
enum Truth {
    Runs,
    /// Its bytes are still in transit, and it runs when they arrive.
    RunsLater,
    Never,
}

/// An attempt as the gateway observes it, and what actually happens.
#[derive(Clone, Copy, Debug)]
struct Fate {
    end: AttemptEnd,
    truth: Truth,
    passed: u32,
}

fn fate() -> impl Strategy<Value = Fate> {
    let untouched = |end| {
        Just(Fate {
            end,
            truth: Truth::Never,
            passed: 0,
        })
    };
    let broken = (
        prop_oneof![Just(Broken), Just(Lost)],
        prop_oneof![
            Just(Truth::Runs),
            Just(Truth::RunsLater),
            Just(Truth::Never)
        ],
        0..3_u32,
    );
    let broken = broken.prop_map(|(end, truth, passed)| Fate {
        end,
        truth,
        passed: if truth == Truth::Runs { passed } else { 0 },
    });
    let completed = Just(Fate {
        end: Completed,
        truth: Truth::Runs,
        passed: 4,
    });
    prop_oneof![
        2 => untouched(NotSent),
        2 => untouched(DeclaredNotRun),
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
struct World {
    state: RequestState,
    budget: RetryBudget,
    attempts: Vec<Fate>,
    retries: usize,
}

/// The random choices for one step.
type Choice = (Fate, AttemptEnd, u8);

impl World {
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
        let (fate, resume_end, pick) = choice;
        match step {
            NextStep::Claim if granted => self.state.claim_answered(ClaimAnswer::Granted),
            NextStep::Claim => self.state.claim_answered(ClaimAnswer::Failed),
            NextStep::Dispatch => self.dispatch(*fate),
            NextStep::Retry { exclude } => {
                self.retries += 1;
                assert_eq!(exclude.len(), self.attempts.len());
                self.dispatch(*fate)
            }
            NextStep::Resume { .. } => {
                let ran = self.attempts.last().unwrap().truth == Truth::Runs;
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

    fn dispatch(&mut self, fate: Fate) -> NextStep {
        let number = self.attempts.len() as u32 + 1;
        assert!(self.state.dispatched(attempt(number)));
        self.attempts.push(fate);
        self.state.passed(fate.passed);
        self.state.ended(at(1), fate.end, &mut self.budget)
    }

    fn status(&self, pick: u8) -> StatusAnswer {
        let seen = self.attempts.last().unwrap().truth == Truth::Runs;
        match pick % 4 {
            0 => NoAnswer,
            1 => OtherLife,
            2 if seen => Cancelled,
            _ if seen => Present,
            _ => NeverSeen,
        }
    }

    fn runs(&self) -> usize {
        let ran = |fate: &&Fate| fate.truth != Truth::Never;
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
    fn runs_at_most_once_and_not_run_is_true(
        repeatable: bool,
        resumable: bool,
        granted in proptest::bool::weighted(0.9),
        tokens in 0_u8..5,
        choices in prop::collection::vec((fate(), resume_end(), any::<u8>()), MOST_STEPS),
    ) {
        let kind = RequestKind { repeatable, resumable };
        let mut world = World {
            state: RequestState::new(kind),
            budget: budget(f64::from(tokens)),
            attempts: Vec::new(),
            retries: 0,
        };
        let step = world.run(granted, &choices);
        prop_assert!(repeatable || world.runs() <= 1, "ran twice: {:?}", world.attempts);
        prop_assert!(world.retries <= tokens as usize);
        prop_assert!(world.attempts.len() <= 4);
        if step == NOT_RUN {
            prop_assert_eq!(world.runs(), 0, "said not run: {:?}", world.attempts);
        }
        if step == NextStep::Done {
            prop_assert!(world.runs() > 0);
        }
        let after_a_part = world.attempts.iter().rev().skip(1).any(|fate| fate.passed > 0);
        prop_assert!(!after_a_part, "sent again after a part was passed on");
    }
}
