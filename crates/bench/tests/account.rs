//! Counts of outcomes, in table-driven tests.

use molespan_bench::run::account::{
    Account, CallOutcome, Counts, Executions, FinishedCall, JobItems, JobResults, ResultLine,
};
use molespan_emulator::engine::{ExecutionCount, ExecutionLog};
use molespan_emulator::expected_answer;
use molespan_types::{Digest, RunOutcome, digest_of};

const ANSWER_TOKENS: u32 = 4;

fn executions(runs: &[(Digest, u32)]) -> Executions {
    let mut log = ExecutionLog::default();
    for (prompt, started) in runs {
        let count = ExecutionCount {
            started: *started,
            completed: *started,
        };
        log.prompts.insert(*prompt, count);
    }
    let mut executions = Executions::default();
    executions.add(&log);
    executions
}

fn call(outcome: CallOutcome, repeatable: bool) -> FinishedCall {
    FinishedCall {
        prompt: Digest(1),
        repeatable,
        outcome,
    }
}

fn refused(outcome: RunOutcome) -> CallOutcome {
    CallOutcome::Refused {
        code: "busy".to_owned(),
        outcome,
    }
}

fn account_of(call: FinishedCall, runs: u32) -> Counts {
    let mut account = Account::default();
    account.add_online(&[call], &executions(&[(Digest(1), runs)]));
    account.online
}

#[test]
fn a_call_is_counted_once_under_its_end() {
    let lost = CallOutcome::Lost {
        cause: "broken".to_owned(),
    };
    let corrupted = CallOutcome::Corrupted {
        detail: "crossed".to_owned(),
    };
    let not_sent = CallOutcome::NotSent {
        cause: "closed".to_owned(),
    };
    type Field = fn(&Counts) -> u64;
    let cases: [(CallOutcome, u32, Field); 6] = [
        (CallOutcome::Completed, 1, |counts| counts.completed),
        (refused(RunOutcome::NotRun), 0, |counts| counts.refused),
        (refused(RunOutcome::Unknown), 1, |counts| counts.unknown),
        (not_sent, 0, |counts| counts.refused),
        (corrupted, 1, |counts| counts.corrupted),
        (lost, 1, |counts| counts.lost),
    ];
    for (outcome, runs, field) in cases {
        let label = outcome.label();
        let counts = account_of(call(outcome, true), runs);
        assert_eq!(counts.offered, 1, "{label}");
        assert_eq!(field(&counts), 1, "{label}");
        let ends = counts.completed + counts.refused + counts.unknown;
        assert_eq!(ends + counts.lost + counts.corrupted, 1, "{label}");
        assert_eq!(counts.false_not_run, 0, "{label}");
    }
}

#[test]
fn a_refusal_as_not_run_is_checked_against_the_engines() {
    let counts = account_of(call(refused(RunOutcome::NotRun), true), 1);
    assert_eq!(counts.false_not_run, 1);
    assert!(!counts.is_clean());
    let counts = account_of(call(refused(RunOutcome::Unknown), true), 1);
    assert_eq!(counts.false_not_run, 0);
}

#[test]
fn only_a_call_that_may_not_be_repeated_counts_second_runs() {
    let counts = account_of(call(CallOutcome::Completed, false), 3);
    assert_eq!(counts.duplicated, 2);
    let counts = account_of(call(CallOutcome::Completed, true), 3);
    assert_eq!(counts.duplicated, 0);
}

fn items(repeatable: bool) -> JobItems {
    JobItems {
        prompts: vec!["one".to_owned(), "two".to_owned(), "three".to_owned()],
        answer_tokens: ANSWER_TOKENS,
        repeatable,
    }
}

fn line(item: u32, prompt: &str) -> ResultLine {
    ResultLine {
        item,
        outcome: "completed".to_owned(),
        text: Some(expected_answer(prompt, ANSWER_TOKENS)),
    }
}

fn batch_counts(lines: &[ResultLine], cancelled: bool) -> Counts {
    let results = JobResults::check(items(true), lines, cancelled);
    let mut account = Account::default();
    account.add_job(&results, &Executions::default());
    account.batch
}

#[test]
fn a_whole_job_is_clean() {
    let lines = [line(2, "three"), line(0, "one"), line(1, "two")];
    let counts = batch_counts(&lines, false);
    assert_eq!((counts.offered, counts.completed), (3, 3));
    assert!(counts.is_clean());
}

#[test]
fn faults_of_results_are_told_apart() {
    let missing = [line(0, "one"), line(1, "two")];
    assert_eq!(batch_counts(&missing, false).lost, 1);
    assert_eq!(batch_counts(&missing, true).cancelled, 1);
    assert_eq!(batch_counts(&missing, true).lost, 0);
    let repeated = [
        line(0, "one"),
        line(0, "one"),
        line(1, "two"),
        line(2, "three"),
    ];
    assert_eq!(batch_counts(&repeated, false).duplicated, 1);
    let crossed = [line(0, "two"), line(1, "two"), line(2, "three")];
    assert_eq!(batch_counts(&crossed, false).corrupted, 1);
    let foreign = [
        line(0, "one"),
        line(1, "two"),
        line(2, "three"),
        line(3, "four"),
    ];
    assert_eq!(batch_counts(&foreign, false).corrupted, 1);
}

#[test]
fn second_runs_of_unrepeatable_items_count() {
    let lines = [line(0, "one"), line(1, "two"), line(2, "three")];
    let runs = executions(&[(digest_of(b"two"), 2)]);
    for (repeatable, duplicated) in [(true, 0), (false, 1)] {
        let results = JobResults::check(items(repeatable), &lines, false);
        let mut account = Account::default();
        account.add_job(&results, &runs);
        assert_eq!(account.batch.duplicated, duplicated);
    }
}
