//! End-to-end tests over separate processes, with failures of each kind of process.

mod processes;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use molespan_emulator::expected_answer;
use molespan_engine_api::MachineState;
use molespan_types::{JobId, NodeId};
use processes::client::{Answer, complete, get, post, stream};
use processes::control::Control;
use processes::daemon::Signal;
use processes::fleet::{RunningFleet, complete_once, started};
use processes::{settled, wait_for};
use serde_json::{Value, json};

/// Items of a job that is disturbed while it runs.
const ITEMS: u32 = 1_500;
/// Completed items after which the disturbance begins.
const ITEMS_BEFORE_DISTURBANCE: u64 = 50;
/// Number of job groups in the default settings.
const JOB_GROUPS: u32 = 4;
/// Concurrent callers of a gateway that stops.
const CALLERS: u32 = 4;
/// Tokens of an answer that takes about a second.
const LONG_ANSWER: u32 = 250;
/// Longer than the bound within which a gateway must confirm its configuration.
const LONGER_THAN_CURRENCY_BOUND: Duration = Duration::from_millis(1_500);
/// Time after which bytes sent over loopback have arrived.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

#[test]
fn online_and_batch_work_is_served_end_to_end() {
    let fleet = RunningFleet::start();
    let gateways = fleet.cluster.gateways();
    let expected = expected_answer("a family at the lake", 12);
    for &gateway in &gateways {
        let address = fleet.address(gateway);
        let plain = complete(address, "a family at the lake", 12);
        assert_eq!((plain.status, plain.text()), (200, expected.clone()));
        let streamed = stream(address, "a family at the lake", 12);
        assert_eq!(streamed.streamed_text(), (expected.clone(), true));
        let listing = get(address, "/services/albums/list");
        assert_eq!(listing.status, 200, "{listing:?}");
    }
    let id = fleet.submit(gateways[0], "album", 100);
    assert_eq!(fleet.submit(gateways[1], "album", 100), id);
    fleet.check_job(gateways[2], &id, 100);
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once() {
    let fleet = RunningFleet::start();
    let [first, second, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let answer = complete_once(fleet.address(first), "bill-7", "bill seven", 4);
    assert_eq!(answer.status, 200, "{answer:?}");
    let resent = complete_once(fleet.address(second), "bill-7", "bill seven", 4);
    assert_ne!(resent.outcome(), "not-run", "{resent:?}");
    assert_eq!(fleet.runs_of("bill seven"), 1);
}

#[test]
fn a_job_outlives_the_leader_of_its_group() {
    let mut fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, ITEMS_BEFORE_DISTURBANCE);
    let control = Control::of(&fleet.cluster);
    let group = JobId::parse(&id).unwrap().group(JOB_GROUPS);
    for _ in 0..2 {
        let leader = block_on(control.leader_of(group));
        fleet.cluster.kill(leader);
        let before = fleet.job(gateway, &id)["completed"].as_u64().unwrap();
        let more = u64::from(ITEMS).min(before + ITEMS_BEFORE_DISTURBANCE);
        fleet.wait_for_items(gateway, &id, more);
        fleet.cluster.start(leader);
        block_on(fleet.cluster.wait_until_ready(leader));
    }
    fleet.check_job(gateway, &id, ITEMS);
}

#[test]
fn a_job_outlives_a_lost_disk_and_the_loss_after_it() {
    let mut fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, ITEMS_BEFORE_DISTURBANCE);
    let (lost, next) = (NodeId(1), NodeId(3));
    fleet.cluster.kill(lost);
    fleet.cluster.lose_disk(lost);
    fleet.cluster.start(lost);
    block_on(fleet.cluster.wait_until_replaced(lost));
    fleet.cluster.kill(next);
    fleet.check_job(gateway, &id, ITEMS);
}

#[test]
fn a_job_outlives_the_gateway_that_runs_it() {
    let mut fleet = RunningFleet::start();
    let [killed, other, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let id = fleet.submit(killed, "heap", ITEMS);
    fleet.wait_for_items(other, &id, ITEMS_BEFORE_DISTURBANCE);
    fleet.cluster.kill(killed);
    fleet.check_job(other, &id, ITEMS);
    fleet.cluster.start(killed);
    fleet.wait_until_serving(killed);
    fleet.check_job(killed, &id, ITEMS);
}

#[test]
fn a_frozen_leader_delays_requests_only_briefly() {
    let fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, ITEMS_BEFORE_DISTURBANCE);
    let control = Control::of(&fleet.cluster);
    let frozen = block_on(control.leader());
    fleet.cluster.signal(frozen, Signal::Stop);
    fleet.check_job(gateway, &id, ITEMS);
    fleet.cluster.signal(frozen, Signal::Continue);
    block_on(fleet.cluster.wait_until_ready(frozen));
    let answer = complete(fleet.address(gateway), "after the thaw", 4);
    assert_eq!(answer.text(), expected_answer("after the thaw", 4));
}

#[test]
fn a_graceful_stop_of_a_gateway_aborts_nothing() {
    let mut fleet = RunningFleet::start();
    let [stopped, other, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let id = fleet.submit(stopped, "heap", ITEMS);
    let address = fleet.address(stopped);
    let cut: Vec<Answer> = thread::scope(|scope| {
        let callers =
            (0..CALLERS).map(|caller| scope.spawn(move || call_while_ready(address, caller)));
        let callers: Vec<_> = callers.collect();
        fleet.wait_for_items(other, &id, ITEMS_BEFORE_DISTURBANCE);
        let status = block_on(fleet.cluster.stop(stopped));
        assert!(status.success(), "{status}");
        let answers = callers.into_iter().map(|caller| caller.join().unwrap());
        answers.flatten().collect()
    });
    assert!(cut.is_empty(), "{cut:?}");
    let log = fleet.cluster.log(stopped);
    assert!(log.contains("cut_off: 0, left_behind: 0"), "{log}");
    fleet.check_job(other, &id, ITEMS);
}

/// Streams one answer after another while the gateway reports that it is
/// ready. Returns the incomplete answers.
fn call_while_ready(address: SocketAddr, caller: u32) -> Vec<Answer> {
    const TOKENS: u32 = 40;
    let mut cut = Vec::new();
    for turn in 0.. {
        if get(address, "/ready").status != 200 {
            break;
        }
        let prompt = format!("caller {caller} turn {turn}");
        let answer = stream(address, &prompt, TOKENS);
        if answer.streamed_text() != (expected_answer(&prompt, TOKENS), true) {
            cut.push(answer);
        }
    }
    cut
}

#[test]
fn a_graceful_stop_of_a_leader_fails_no_request() {
    let mut fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let address = fleet.address(gateway);
    let control = Control::of(&fleet.cluster);
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, ITEMS_BEFORE_DISTURBANCE);
    for _ in 0..2 {
        let leader = block_on(control.leader());
        let status = block_on(fleet.cluster.stop(leader));
        assert!(status.success(), "{status}");
        let key = format!("bill-{leader}");
        let answer = complete_once(address, &key, "a claim needs a leader", 4);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(complete(address, "online", 4).status, 200);
        fleet.cluster.start(leader);
        block_on(fleet.cluster.wait_until_ready(leader));
    }
    fleet.check_job(gateway, &id, ITEMS);
}

#[test]
fn a_frozen_gateway_serves_nothing_stale_after_it_resumes() {
    let fleet = RunningFleet::tuned(|settings| {
        settings.timing.config_watch = Duration::from_millis(300);
        settings.timing.currency_bound = Duration::from_secs(1);
    });
    let [frozen, other, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let address = fleet.address(frozen);
    fleet.cluster.signal(frozen, Signal::Stop);
    fleet.confirm(
        other,
        2,
        &json!([{"change": "delete_service", "name": "albums"}]),
    );
    thread::sleep(LONGER_THAN_CURRENCY_BOUND);
    // Sent while the gateway is frozen, so that it reads the request first when it resumes.
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| get(address, "/services/albums/list"));
        thread::sleep(DELIVERY_TIME);
        fleet.cluster.signal(frozen, Signal::Continue);
        asked.join().unwrap()
    });
    assert!([404, 503].contains(&answer.status), "{answer:?}");
    assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    wait_for("the change in force", || {
        get(address, "/services/albums/list").status == 404
    });
}

#[test]
fn of_concurrent_operators_with_one_number_one_wins_everywhere() {
    let fleet = RunningFleet::start();
    let gateways = fleet.cluster.gateways();
    let replies: Vec<Value> = thread::scope(|scope| {
        let operators = gateways.iter().map(|&gateway| {
            let address = fleet.address(gateway);
            scope.spawn(move || {
                let change = json!({"change": "put_policy",
                    "policy": {"tail_protection": gateway.0}});
                let intent = json!({"number": 2, "base_version": 1,
                    "operator": gateway.to_string(), "changes": [change]});
                post(address, "/admin/plans/2/confirm", &intent.to_string()).json_value()
            })
        });
        let operators: Vec<_> = operators.collect();
        let replies = operators
            .into_iter()
            .map(|operator| operator.join().unwrap());
        replies.collect()
    });
    let won = |reply: &&Value| reply["result"] == "confirmed";
    assert_eq!(replies.iter().filter(won).count(), 1, "{replies:?}");
    let winner = gateways.iter().zip(&replies).find(|(_, reply)| won(reply));
    let winner = winner.unwrap().0;
    for (gateway, reply) in gateways.iter().zip(&replies) {
        if gateway != winner {
            assert_eq!(reply["result"], "number_taken", "{reply}");
            assert_eq!(reply["winner"], winner.to_string(), "{reply}");
        }
        let policy = get(fleet.address(*gateway), "/admin/policy").json_value();
        assert_eq!(policy["tail_protection"], winner.0);
    }
}

#[test]
fn a_claim_outlives_the_gateway_that_made_it() {
    let mut fleet = RunningFleet::start();
    let [killed, other, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let (key, prompt) = ("grade-3", "a grade that is given once");
    let address = fleet.address(killed);
    thread::scope(|scope| {
        scope.spawn(move || complete_once(address, key, prompt, LONG_ANSWER));
        wait_for("a running request", || fleet.runs_of(prompt) == 1);
        fleet.cluster.kill(killed);
    });
    // A resend gets the answer, or learns that the outcome is unknown.
    let resent = complete_once(fleet.address(other), key, prompt, LONG_ANSWER);
    if resent.status == 200 {
        assert_eq!(resent.text(), expected_answer(prompt, LONG_ANSWER));
    } else {
        assert_eq!(resent.outcome(), "unknown", "{resent:?}");
    }
    assert_eq!(fleet.runs_of(prompt), 1);
}

#[test]
fn a_cancelled_job_stops_even_if_nodes_die() {
    const MANY: u32 = 20_000;
    let mut fleet = RunningFleet::start();
    let [killed, other, _] = fleet.cluster.gateways()[..] else {
        panic!("three gateways");
    };
    let id = fleet.submit(killed, "withdrawn", MANY);
    fleet.wait_for_items(other, &id, ITEMS_BEFORE_DISTURBANCE);
    let path = format!("/v1/batches/{id}/cancel");
    let cancelled = post(fleet.address(other), &path, "");
    assert_eq!(cancelled.status, 200, "{cancelled:?}");
    let control = Control::of(&fleet.cluster);
    let group = JobId::parse(&id).unwrap().group(JOB_GROUPS);
    fleet.cluster.kill(block_on(control.leader_of(group)));
    fleet.cluster.kill(killed);
    wait_for("a cancelled job", || {
        fleet.job(other, &id)["state"] == "cancelled"
    });
    let runs = fleet.runs();
    assert!(
        runs < u64::from(MANY),
        "the job was done before it was cancelled"
    );
    complete(fleet.address(other), "something else", LONG_ANSWER);
    assert_eq!(fleet.runs(), runs + 1);
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let fleet = RunningFleet::start();
    let gateways = fleet.cluster.gateways();
    let leaving = fleet.backends.members[0].clone();
    let id = leaving.machine.id;
    fleet.submit(gateways[0], "heap", ITEMS);
    let platform = &fleet.backends.platform;
    platform.with_core(|core, now| core.set_state(now, id, MachineState::Leaving));
    for &gateway in &gateways {
        wait_for("a gateway that knows", || {
            let backends = get(fleet.address(gateway), "/admin/backends").json_value();
            backends[0]["id"] == id.0 && backends[0]["state"] == "leaving"
        });
    }
    // Requests accepted earlier may still start.
    let before = settled(|| started(&leaving));
    for turn in 0..30 {
        let gateway = gateways[turn % gateways.len()];
        let answer = complete(fleet.address(gateway), &format!("request {turn}"), 4);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(started(&leaving), before);
}

#[test]
fn every_node_reports_its_health() {
    let fleet = RunningFleet::start();
    let cluster = &fleet.cluster;
    for node in cluster.replicas().into_iter().chain(cluster.gateways()) {
        let address = cluster.http_address(node);
        assert_eq!(get(address, "/health").status, 200);
        wait_for("a ready node", || get(address, "/ready").status == 200);
        assert!(get(address, "/metrics").body.contains("molespan_"));
    }
    let gateway = cluster.http_address(cluster.gateways()[0]);
    wait_for("every node in the registry", || {
        let nodes = get(gateway, "/admin/nodes").json_value();
        nodes.as_array().map_or(0, Vec::len) == cluster.replicas().len() + cluster.gateways().len()
    });
}
