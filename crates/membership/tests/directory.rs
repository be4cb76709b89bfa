//! The directory of back ends: conflicting sources, failures and restarts.

use std::time::Duration;

use molespan_engine_api::{Machine, MachineKind, MachineList, MachineState};
use molespan_membership::{
    BackendReport, BackendState, Directory, DirectoryInput, DirectoryOutput, DirectorySettings,
    WorkResult,
};
use molespan_types::{BackendId, Incarnation, ServiceName, Timestamp, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENGINE: BackendId = BackendId(7);
const FAST: WorkResult = WorkResult::Answered(Duration::from_millis(10));

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn machine(id: u32, incarnation: u64, state: MachineState) -> Machine {
    Machine {
        id: BackendId(id),
        incarnation: Incarnation(incarnation),
        kind: MachineKind::Engine,
        address: format!("127.0.0.1:{}", 9_000 + id),
        zone: ZoneName::from("zone-a"),
        service: ServiceName::from("captions"),
        state,
    }
}

fn list(revision: u64, machines: Vec<Machine>) -> DirectoryInput {
    DirectoryInput::List(MachineList { revision, machines })
}

fn live(revision: u64, incarnation: u64) -> DirectoryInput {
    list(revision, vec![machine(7, incarnation, MachineState::Live)])
}

fn report(incarnation: u64, leaving: bool) -> DirectoryInput {
    DirectoryInput::Report(BackendReport {
        backend: ENGINE,
        incarnation: Incarnation(incarnation),
        leaving,
        loaded: None,
    })
}

fn work(incarnation: u64, result: WorkResult) -> DirectoryInput {
    DirectoryInput::Work {
        backend: ENGINE,
        incarnation: Incarnation(incarnation),
        result,
    }
}

fn probe(result: WorkResult) -> DirectoryInput {
    DirectoryInput::Probe {
        backend: ENGINE,
        incarnation: None,
        result,
    }
}

fn state(directory: &Directory) -> BackendState {
    directory
        .backend(ENGINE)
        .map_or(BackendState::Gone, |backend| backend.state)
}

/// Applies the inputs one millisecond apart and returns the final state.
fn run(inputs: Vec<DirectoryInput>) -> BackendState {
    let mut directory = Directory::new(DirectorySettings::default());
    for (millis, input) in inputs.into_iter().enumerate() {
        directory.handle(at(millis as u64), input);
    }
    state(&directory)
}

#[test]
fn conflicting_sources_are_merged() {
    use BackendState::{Ejected, Healthy, Leaving, Suspect, Unknown};
    let failed = || work(1, WorkResult::Failed);
    let leaving = |revision| list(revision, vec![machine(7, 1, MachineState::Leaving)]);
    let cases = [
        ("listed only", vec![live(1, 1)], Unknown),
        ("reports", vec![live(1, 1), report(1, false)], Healthy),
        ("probe answers", vec![live(1, 1), probe(FAST)], Healthy),
        (
            "probe fails",
            vec![live(1, 1), probe(WorkResult::Failed)],
            Unknown,
        ),
        (
            "report before the list",
            vec![report(1, false)],
            BackendState::Gone,
        ),
        (
            "an older list reports live after the engine reports leaving",
            vec![live(5, 1), report(1, true), live(4, 1)],
            Leaving,
        ),
        (
            "a newer list reports live after the engine reports leaving",
            vec![live(5, 1), report(1, true), live(6, 1)],
            Leaving,
        ),
        (
            "the engine takes back its own leaving mark",
            vec![live(5, 1), report(1, true), report(1, false)],
            Leaving,
        ),
        (
            "an older list reports leaving",
            vec![live(5, 1), report(1, false), leaving(2)],
            Leaving,
        ),
        (
            "a probe answers while leaving",
            vec![live(5, 1), report(1, true), probe(FAST)],
            Leaving,
        ),
        (
            "the same address returns with a new incarnation",
            vec![live(5, 1), report(1, true), live(6, 2), report(2, false)],
            Healthy,
        ),
        (
            "a late report of the incarnation before",
            vec![live(5, 2), report(2, false), report(1, true)],
            Healthy,
        ),
        (
            "an old list reports the incarnation before as leaving",
            vec![live(5, 2), report(2, false), leaving(3)],
            Healthy,
        ),
        (
            "late failures of work sent to the incarnation before",
            vec![live(5, 2), report(2, false), failed(), failed(), failed()],
            Healthy,
        ),
        (
            "one failure",
            vec![live(5, 1), report(1, false), failed()],
            Suspect,
        ),
        (
            "failures in a row",
            vec![live(5, 1), report(1, false), failed(), failed(), failed()],
            Ejected,
        ),
        (
            "failures with an answer between",
            vec![
                live(5, 1),
                report(1, false),
                failed(),
                failed(),
                work(1, FAST),
                failed(),
            ],
            Suspect,
        ),
    ];
    for (name, inputs, expected) in cases {
        assert_eq!(run(inputs), expected, "{name}");
    }
}

fn eject(directory: &mut Directory, now: Timestamp) {
    directory.handle(now, live(1, 1));
    directory.handle(now, report(1, false));
    for _ in 0..3 {
        directory.handle(now, work(1, WorkResult::Failed));
    }
    assert_eq!(state(directory), BackendState::Ejected);
}

fn probes_sent(directory: &mut Directory, now: Timestamp) -> usize {
    let outputs = directory.handle(now, DirectoryInput::Tick);
    let probes = outputs
        .iter()
        .filter(|output| matches!(output, DirectoryOutput::Probe { .. }));
    probes.count()
}

#[test]
fn a_dead_engine_is_probed_with_exponential_backoff() {
    let mut directory = Directory::new(DirectorySettings::default());
    eject(&mut directory, at(0));
    let mut sent = Vec::new();
    for millis in (0..70_000).step_by(50) {
        if probes_sent(&mut directory, at(millis)) > 0 {
            sent.push(millis);
            directory.handle(at(millis), probe(WorkResult::Failed));
        }
    }
    expect_test::expect!["[250, 750, 1750, 3750, 7750, 15750, 31750, 47750, 63750]"]
        .assert_eq(&format!("{sent:?}"));
}

#[test]
fn a_flapping_engine_gets_less_work_each_time() {
    let mut directory = Directory::new(DirectorySettings::default());
    eject(&mut directory, at(0));
    let mut tried_again = Vec::new();
    for millis in (0..20_000).step_by(50) {
        if probes_sent(&mut directory, at(millis)) > 0 {
            // It answers the probe and fails the first request it receives.
            directory.handle(at(millis), probe(FAST));
            assert_eq!(state(&directory), BackendState::Suspect);
            tried_again.push(millis);
            directory.handle(at(millis), work(1, WorkResult::Failed));
            assert_eq!(state(&directory), BackendState::Ejected);
        }
    }
    expect_test::expect!["[250, 750, 1750, 3750, 7750, 15750]"]
        .assert_eq(&format!("{tried_again:?}"));
}

#[test]
fn work_in_flight_at_the_ejection_does_not_lengthen_it() {
    let mut directory = Directory::new(DirectorySettings::default());
    eject(&mut directory, at(0));
    for _ in 0..20 {
        directory.handle(at(1), work(1, WorkResult::Failed));
    }
    assert_eq!(probes_sent(&mut directory, at(250)), 1);
}

#[test]
fn an_engine_missing_from_an_older_list_stays_healthy() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.handle(at(0), live(5, 1));
    directory.handle(at(1), report(1, false));
    for second in 1..60 {
        directory.handle(at(second * 1_000), list(4, Vec::new()));
        directory.handle(at(second * 1_000), DirectoryInput::Tick);
        assert_eq!(state(&directory), BackendState::Healthy);
    }
}

#[test]
fn an_engine_that_is_missing_but_answers_stays() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.handle(at(0), live(5, 1));
    for second in 1..20 {
        directory.handle(at(second * 1_000), report(1, false));
        directory.handle(at(second * 1_000), list(6, Vec::new()));
        directory.handle(at(second * 1_000), DirectoryInput::Tick);
        assert_eq!(state(&directory), BackendState::Healthy);
    }
    directory.handle(at(26_000), DirectoryInput::Tick);
    assert_eq!(state(&directory), BackendState::Gone);
}

#[test]
fn a_leaving_engine_that_was_gone_does_not_come_back_through_an_old_list() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.handle(at(0), live(5, 1));
    directory.handle(at(1), report(1, true));
    directory.handle(at(2), list(6, Vec::new()));
    directory.handle(at(10_000), DirectoryInput::Tick);
    assert_eq!(state(&directory), BackendState::Gone);
    directory.handle(at(10_001), live(6, 1));
    directory.handle(at(10_002), report(1, false));
    assert_eq!(state(&directory), BackendState::Gone);
}

#[test]
fn lists_of_a_reset_platform_are_accepted_after_a_delay() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.handle(at(0), live(1_000, 1));
    let mut gone_at = None;
    for second in 1..100 {
        directory.handle(at(second * 1_000), list(2, Vec::new()));
        directory.handle(at(second * 1_000), DirectoryInput::Tick);
        if state(&directory) == BackendState::Gone {
            gone_at.get_or_insert(second);
        }
    }
    assert_eq!(gone_at, Some(66));
}

#[test]
fn one_slow_engine_among_its_peers_is_ejected_and_no_more() {
    let settings = DirectorySettings::default();
    let mut directory = Directory::new(settings);
    let machines = (0..8)
        .map(|id| machine(id, 1, MachineState::Live))
        .collect();
    directory.handle(at(0), list(1, machines));
    for round in 0..40 {
        for id in 0..8 {
            let millis = if id == 3 { 200 } else { 10 };
            let input = DirectoryInput::Work {
                backend: BackendId(id),
                incarnation: Incarnation(1),
                result: WorkResult::Answered(Duration::from_millis(millis)),
            };
            directory.handle(at(round), input);
        }
    }
    directory.handle(at(50), DirectoryInput::Tick);
    let ejected: Vec<u32> = directory
        .backends()
        .filter(|backend| backend.state == BackendState::Ejected)
        .map(|backend| backend.id.0)
        .collect();
    assert_eq!(ejected, [3]);
}

/// Generates an input about one engine in incarnations 1 to 3.
fn any_input() -> impl Strategy<Value = DirectoryInput> {
    let life = 1_u64..4;
    let result = prop_oneof![Just(FAST), Just(WorkResult::Failed)];
    prop_oneof![
        (1_u64..9, life.clone(), any::<bool>()).prop_map(|(revision, life, leaving)| {
            let state = if leaving {
                MachineState::Leaving
            } else {
                MachineState::Live
            };
            list(revision, vec![machine(7, life, state)])
        }),
        (1_u64..9).prop_map(|revision| list(revision, Vec::new())),
        (life.clone(), any::<bool>()).prop_map(|(life, leaving)| report(life, leaving)),
        (life, result.clone()).prop_map(|(life, result)| work(life, result)),
        result.prop_map(probe),
        Just(DirectoryInput::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_inputs_undoes_leaving_or_lowers_the_incarnation(
        inputs in prop::collection::vec((0_u64..3_000, any_input()), 1..60),
    ) {
        let mut directory = Directory::new(DirectorySettings::default());
        let mut now = 0;
        let mut left = Vec::new();
        let mut highest = Incarnation(0);
        for (step, input) in inputs {
            now += step;
            directory.handle(at(now), input);
            let Some(backend) = directory.backend(ENGINE) else { continue };
            prop_assert!(backend.incarnation >= highest);
            highest = backend.incarnation;
            if backend.state == BackendState::Leaving {
                left.push(backend.incarnation);
            }
            let work = backend.state.accepts_new_work();
            prop_assert!(!(work && left.contains(&backend.incarnation)));
        }
    }
}
