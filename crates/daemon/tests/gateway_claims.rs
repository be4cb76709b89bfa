//! Claims whose gateway crashed, or whose request takes longer than the claim timeout.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use molespan_emulator::expected_answer;
use molespan_replica::ReplicaSettings;
use molespan_types::digest_of;
use support::client::{Answer, call, completion};
use support::replica::LocalTransport;
use support::{World, small_fleet, wait_for};

/// Tokens of an answer that takes longer than the shortened claim timeout.
const SLOW_TOKENS: u32 = 1_000;

fn short_claims(settings: &mut ReplicaSettings) {
    settings.claim_timeout = Duration::from_millis(300);
}

/// Sends a request that may run at most once.
fn once_only(address: SocketAddr, prompt: &str) -> Answer {
    let headers = [("x-repeatable", "false"), ("idempotency-key", prompt)];
    let body = completion(prompt, SLOW_TOKENS, false);
    call(address, "POST", "/v1/completions", &headers, &body)
}

/// Sends such a request on a separate thread.
fn begin(address: SocketAddr, prompt: &'static str) -> JoinHandle<Answer> {
    std::thread::spawn(move || once_only(address, prompt))
}

/// How often a prompt was started, over all engines.
fn started(world: &World, prompt: &str) -> u32 {
    let digest = digest_of(prompt.as_bytes());
    let members = world.fleet.members.iter();
    let executions = members.map(|member| member.handle.executions().of_prompt(digest));
    executions.map(|executions| executions.started).sum()
}

/// Resends until the request's outcome is recorded, and checks that it is final.
fn assert_ends_as_unknown(address: SocketAddr, prompt: &str) {
    wait_for("end of the claim", || {
        let again = once_only(address, prompt);
        let open = again.code() == "request_in_progress";
        assert_eq!(again.status, 409, "{again:?}");
        assert_eq!(again.outcome(), "unknown", "{again:?}");
        assert_eq!(again.header("retry-after").is_some(), open, "{again:?}");
        !open
    });
    let again = once_only(address, prompt);
    assert_eq!(again.code(), "outcome_on_record", "{again:?}");
    assert_eq!(again.outcome(), "unknown", "{again:?}");
}

#[test]
fn claim_of_a_gateway_that_died_before_it_sent_the_request_ends_as_unknown() {
    let mut world = World::tuned(&small_fleet(), short_claims);
    let others = world.transport.clone();
    let doomed = LocalTransport::new(world.replica.clone());
    world.transport = doomed.clone();
    let dying = world.gateway(11);
    world.transport = others;
    let other = world.gateway(12);

    doomed.lose_responses.store(true, Ordering::SeqCst);
    let _cut_off = begin(dying.address, "bill");
    wait_for("a claim", || doomed.lost_claims.load(Ordering::SeqCst) > 0);
    doomed.cut.store(true, Ordering::SeqCst);
    dying.kill();

    assert_ends_as_unknown(other.address, "bill");
    assert_eq!(started(&world, "bill"), 0);
}

#[test]
fn caller_of_a_request_that_outlasts_its_claim_gets_its_answer() {
    let world = World::tuned(&small_fleet(), short_claims);
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let first = begin(gateway.address, "grade");
    wait_for("a running request", || started(&world, "grade") == 1);
    assert_ends_as_unknown(other.address, "grade");

    let first = first.join().unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.text(), expected_answer("grade", SLOW_TOKENS));
    assert_ends_as_unknown(other.address, "grade");
    assert_eq!(started(&world, "grade"), 1);
}
