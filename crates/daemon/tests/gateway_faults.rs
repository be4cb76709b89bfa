//! What callers see while engines fail, one table row per fault.

mod support;

use std::time::Duration;

use molespan_daemon::gateway::GatewayOptions;
use molespan_emulator::expected_answer;
use molespan_emulator::faults::{AnswerFault, AnswerFaultRule, EngineFaults, FaultSettings};
use molespan_emulator::fleet::FleetSettings;
use molespan_types::digest_of;
use support::client::{Answer, call, complete, completion, open, request_text, stream};
use support::{RunningGateway, World, small_fleet, wait_for};

/// Tokens of an answer in these tests.
const TOKENS: u32 = 10;

/// A single engine, so that nothing can run elsewhere.
fn one_engine() -> FleetSettings {
    FleetSettings {
        engines: 1,
        ..small_fleet()
    }
}

/// Short timeouts, so that a frozen engine is detected soon.
fn with_short_timeouts(options: &mut GatewayOptions) {
    options.timeouts.response = Duration::from_millis(400);
    options.timeouts.stall = Duration::from_millis(400);
    options.timeouts.control = Duration::from_millis(200);
}

fn one_answer_fault(fault: AnswerFault) -> FaultSettings {
    FaultSettings {
        answers: vec![AnswerFaultRule {
            fault,
            probability: 1.0,
            remaining: Some(1),
        }],
        ..FaultSettings::default()
    }
}

fn engine_fault(engine: EngineFaults) -> FaultSettings {
    FaultSettings {
        engine,
        ..FaultSettings::default()
    }
}

impl World {
    fn set_engine_faults(&self, engine: usize, faults: FaultSettings) {
        self.fleet.members[engine].handle.set_faults(faults);
    }

    /// How often a prompt was started, over all engines.
    fn started(&self, prompt: &str) -> u32 {
        let digest = digest_of(prompt.as_bytes());
        let members = self.fleet.members.iter();
        members
            .map(|member| member.handle.executions().of_prompt(digest).started)
            .sum()
    }
}

/// Sends a request that may run at most once.
fn once_only(gateway: &RunningGateway, key: &str, prompt: &str) -> Answer {
    let headers = [("x-repeatable", "false"), ("idempotency-key", key)];
    let body = completion(prompt, TOKENS, false);
    call(gateway.address, "POST", "/v1/completions", &headers, &body)
}

#[test]
fn a_fault_of_one_answer_is_not_seen_by_the_caller() {
    let world = World::start(&one_engine());
    let gateway = world.gateway(11);
    let table = [
        AnswerFault::Late { millis: 300 },
        AnswerFault::Crossed,
        AnswerFault::Truncated,
        AnswerFault::DuplicatedEvent,
        AnswerFault::DuplicatedAnswer,
        AnswerFault::CutResponse { bytes: 0 },
        AnswerFault::CutResponse { bytes: 40 },
        AnswerFault::CutResponse { bytes: 700 },
        AnswerFault::AcceptThenDie,
    ];
    for (row, fault) in table.into_iter().enumerate() {
        for streamed in [false, true] {
            let prompt = format!("row {row} streamed {streamed}");
            let expected = expected_answer(&prompt, TOKENS);
            world.set_engine_faults(0, one_answer_fault(fault));
            if streamed {
                let answer = stream(gateway.address, &prompt, TOKENS);
                assert_eq!(
                    answer.streamed_text(),
                    (expected, true),
                    "{fault:?}: {answer:?}"
                );
            } else {
                let answer = complete(gateway.address, &prompt, TOKENS);
                assert_eq!(answer.status, 200, "{fault:?}: {answer:?}");
                assert_eq!(answer.text(), expected, "{fault:?}");
            }
            assert_eq!(world.started(&prompt), 1, "{fault:?}");
        }
    }
}

#[test]
fn a_request_cut_at_any_byte_runs_elsewhere_or_is_unknown() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    for bytes in [0, 1, 20, 150, 260] {
        let fault = AnswerFault::CutRequest { bytes };
        world.set_engine_faults(0, one_answer_fault(fault));
        world.set_engine_faults(1, one_answer_fault(fault));
        let prompt = format!("cut at {bytes}");
        let answer = complete(gateway.address, &prompt, TOKENS);
        match answer.status {
            200 => assert_eq!(answer.text(), expected_answer(&prompt, TOKENS)),
            _ => assert_eq!(answer.outcome(), "unknown", "{answer:?}"),
        }
        world.set_engine_faults(0, FaultSettings::default());
        world.set_engine_faults(1, FaultSettings::default());
        world.wait_until_healthy(&gateway);
    }
}

#[test]
fn an_engine_that_refuses_is_left_out() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    world.set_engine_faults(
        0,
        engine_fault(EngineFaults {
            refuse: true,
            ..EngineFaults::default()
        }),
    );
    for request in 0..6 {
        let prompt = format!("request {request}");
        let answer = complete(gateway.address, &prompt, TOKENS);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(world.started(&prompt), 1);
    }
}

#[test]
fn when_every_engine_refuses_the_caller_gets_not_run_immediately() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let refuse = engine_fault(EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    });
    world.set_engine_faults(0, refuse.clone());
    world.set_engine_faults(1, refuse);
    let answer = complete(gateway.address, "refused", TOKENS);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.code(), "no_backend");
    assert_eq!(answer.outcome(), "not-run");
    assert_eq!(answer.header("x-run-outcome"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(world.started("refused"), 0);
}

#[test]
fn a_repeatable_request_leaves_a_frozen_engine() {
    let world = World::start(&small_fleet());
    let gateway = world.tuned_gateway(11, with_short_timeouts);
    world.set_engine_faults(
        0,
        engine_fault(EngineFaults {
            frozen: true,
            ..EngineFaults::default()
        }),
    );
    for request in 0..4 {
        let prompt = format!("request {request}");
        let answer = complete(gateway.address, &prompt, TOKENS);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.text(), expected_answer(&prompt, TOKENS));
    }
}

#[test]
fn a_stream_goes_on_after_its_connection_broke() {
    let world = World::start(&one_engine());
    let gateway = world.gateway(11);
    world.set_engine_faults(
        0,
        one_answer_fault(AnswerFault::CutResponse { bytes: 1_500 }),
    );
    let answer = stream(gateway.address, "a long walkthrough", 80);
    let expected = expected_answer("a long walkthrough", 80);
    assert_eq!(answer.streamed_text(), (expected, true), "{answer:?}");
    assert_eq!(world.started("a long walkthrough"), 1);
}

#[test]
fn a_plain_answer_survives_the_crash_of_its_engine() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let address = gateway.address;
    let asking = std::thread::spawn(move || complete(address, "crashing", 200));
    wait_for("a running request", || world.started("crashing") == 1);
    let digest = digest_of(b"crashing");
    let members = world.fleet.members.iter();
    for member in members {
        if member.handle.executions().of_prompt(digest).started == 1 {
            member.handle.crash(Duration::from_millis(100));
        }
    }
    let answer = asking.join().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), expected_answer("crashing", 200));
}

#[test]
fn a_stream_whose_engine_crashed_ends_with_an_error() {
    let world = World::start(&one_engine());
    let gateway = world.gateway(11);
    let address = gateway.address;
    let asking = std::thread::spawn(move || stream(address, "crashing", 400));
    wait_for("a running request", || world.started("crashing") == 1);
    std::thread::sleep(Duration::from_millis(100));
    world.fleet.members[0]
        .handle
        .crash(Duration::from_millis(50));
    let answer = asking.join().unwrap();
    let (_, whole) = answer.streamed_text();
    assert!(!whole, "{answer:?}");
    assert!(answer.body.contains("event: error"), "{answer:?}");
    assert!(answer.body.contains(r#""outcome":"unknown""#), "{answer:?}");
}

#[test]
fn a_request_that_may_not_be_repeated_runs_at_most_once() {
    let world = World::start(&small_fleet());
    let gateway = world.tuned_gateway(11, with_short_timeouts);
    let other = world.tuned_gateway(12, with_short_timeouts);
    // After a broken connection an engine's "never seen" answer is not conclusive: the
    // request's bytes may still be in transit.
    let table = [
        (AnswerFault::Late { millis: 100 }, 200),
        (AnswerFault::Crossed, 200),
        (AnswerFault::Truncated, 200),
        (AnswerFault::DuplicatedEvent, 200),
        (AnswerFault::DuplicatedAnswer, 200),
        (AnswerFault::CutRequest { bytes: 1 }, 502),
        (AnswerFault::CutRequest { bytes: 150 }, 502),
        (AnswerFault::CutResponse { bytes: 0 }, 200),
        (AnswerFault::CutResponse { bytes: 300 }, 200),
        (AnswerFault::AcceptThenDie, 200),
    ];
    for (row, (fault, status)) in table.into_iter().enumerate() {
        let (key, prompt) = (format!("key-{row}"), format!("grade {row}"));
        world.set_engine_faults(0, one_answer_fault(fault));
        world.set_engine_faults(1, one_answer_fault(fault));
        let first = once_only(&gateway, &key, &prompt);
        let again = once_only(&other, &key, &prompt);
        assert!(
            world.started(&prompt) <= 1,
            "{fault:?}: {first:?} {again:?}"
        );
        assert_eq!(first.status, status, "{fault:?}: {first:?}");
        if status == 200 {
            let expected = expected_answer(&prompt, TOKENS);
            assert_eq!(first.text(), expected, "{fault:?}");
            assert_eq!(again.body, first.body, "{fault:?}");
        } else {
            assert_eq!(first.outcome(), "unknown", "{fault:?}");
            assert_eq!(again.outcome(), "unknown", "{fault:?}");
        }
        world.set_engine_faults(0, FaultSettings::default());
        world.set_engine_faults(1, FaultSettings::default());
        world.wait_until_healthy(&gateway);
    }
}

#[test]
fn after_a_crash_a_request_that_may_not_be_repeated_stays_unknown() {
    let world = World::start(&one_engine());
    let gateway = world.tuned_gateway(11, with_short_timeouts);
    let other = world.tuned_gateway(12, with_short_timeouts);
    let address = gateway.address;
    let asking = std::thread::spawn(move || {
        let headers = [("x-repeatable", "false"), ("idempotency-key", "bill")];
        let body = completion("billing caption", 300, false);
        call(address, "POST", "/v1/completions", &headers, &body)
    });
    wait_for("a running request", || {
        world.started("billing caption") == 1
    });
    world.fleet.members[0]
        .handle
        .crash(Duration::from_millis(20));
    let answer = asking.join().unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.outcome(), "unknown");

    let headers = [("x-repeatable", "false"), ("idempotency-key", "bill")];
    let body = completion("billing caption", 300, false);
    let again = call(other.address, "POST", "/v1/completions", &headers, &body);
    assert_eq!(again.status, 409, "{again:?}");
    assert_eq!(again.code(), "outcome_on_record");
    assert_eq!(again.outcome(), "unknown");
    assert_eq!(world.started("billing caption"), 1);
}

#[test]
fn a_frozen_engine_leaves_a_request_that_may_not_be_repeated_unknown() {
    let world = World::start(&small_fleet());
    let gateway = world.tuned_gateway(11, with_short_timeouts);
    let frozen = engine_fault(EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    });
    world.set_engine_faults(0, frozen.clone());
    world.set_engine_faults(1, frozen);
    let answer = once_only(&gateway, "frozen", "frozen grade");
    assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    world.set_engine_faults(0, FaultSettings::default());
    world.set_engine_faults(1, FaultSettings::default());
    let again = once_only(&gateway, "frozen", "frozen grade");
    assert_eq!(again.code(), "outcome_on_record", "{again:?}");
    assert!(world.started("frozen grade") <= 1);
}

#[test]
fn a_key_that_was_used_for_another_body_is_a_conflict() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    assert_eq!(once_only(&gateway, "grade", "first").status, 200);
    let conflict = once_only(&gateway, "grade", "second");
    assert_eq!(conflict.status, 409, "{conflict:?}");
    assert_eq!(conflict.code(), "key_conflict");
    assert_eq!(conflict.outcome(), "not-run");
    assert_eq!(world.started("second"), 0);
}

#[test]
fn without_the_replicas_nothing_runs_under_a_claim() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    world
        .transport
        .cut
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let answer = once_only(&gateway, "cut", "cut grade");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.outcome(), "not-run");
    assert_eq!(world.started("cut grade"), 0);
    world
        .transport
        .cut
        .store(false, std::sync::atomic::Ordering::SeqCst);
}

#[test]
fn a_caller_that_disconnected_from_a_claimed_request_can_fetch_its_answer() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let headers = [("x-repeatable", "false"), ("idempotency-key", "left")];
    let body = completion("left grade", TOKENS * 20, false);
    let text = request_text("POST", "/v1/completions", &headers, &body);
    let stream = open(gateway.address, text.as_bytes()).unwrap();
    wait_for("a running request", || world.started("left grade") == 1);
    drop(stream);
    let ask = || call(other.address, "POST", "/v1/completions", &headers, &body);
    wait_for("the answer on record", || match ask() {
        answer if answer.status == 200 => {
            assert_eq!(answer.text(), expected_answer("left grade", TOKENS * 20));
            true
        }
        answer => {
            assert_eq!(answer.code(), "request_in_progress", "{answer:?}");
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            false
        }
    });
    assert_eq!(world.started("left grade"), 1);
}
