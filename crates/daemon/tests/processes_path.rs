//! The whole path through separate processes, and what fails along it.

mod processes;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use molespan_emulator::expected_answer;
use molespan_types::{JobId, NodeId};
use processes::client::{Answer, complete, get, post, stream};
use processes::control::Control;
use processes::daemon::Signal;
use processes::fleet::RunningFleet;
use processes::wait_for;
use serde_json::{Value, json};

/// Items of a job that something happens to.
const ITEMS: u32 = 1_500;
/// Completed items after which it happens.
const UNDER_WAY: u64 = 50;
/// Job groups of the settings' defaults.
const JOB_GROUPS: u32 = 4;
/// Callers of a gateway that stops.
const CALLERS: u32 = 4;
/// Longer than the bound within which a gateway must confirm its configuration.
const PAST_THE_BOUND: Duration = Duration::from_millis(1_500);
/// Time after which bytes that were sent over loopback have arrived.
const SENT: Duration = Duration::from_millis(200);

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
    let answer = fleet.complete_once(first, "bill-7", "bill seven");
    assert_eq!(answer.status, 200, "{answer:?}");
    let resent = fleet.complete_once(second, "bill-7", "bill seven");
    assert_ne!(resent.outcome(), "not-run", "{resent:?}");
    let digest = molespan_types::digest_of(b"bill seven");
    let executions = fleet.backends.members.iter();
    let runs = executions.map(|one| one.handle.executions().of_prompt(digest).started);
    assert_eq!(runs.sum::<u32>(), 1);
}

#[test]
fn a_job_outlives_the_leader_of_its_group() {
    let mut fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, UNDER_WAY);
    let control = Control::of(&fleet.cluster);
    let group = JobId::parse(&id).unwrap().group(JOB_GROUPS);
    for _ in 0..2 {
        let leader = block_on(control.leader_of(group));
        fleet.cluster.kill(leader);
        let before = fleet.job(gateway, &id)["completed"].as_u64().unwrap();
        let more = u64::from(ITEMS).min(before + UNDER_WAY);
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
    fleet.wait_for_items(gateway, &id, UNDER_WAY);
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
    fleet.wait_for_items(other, &id, UNDER_WAY);
    fleet.cluster.kill(killed);
    fleet.check_job(other, &id, ITEMS);
    fleet.cluster.start(killed);
    fleet.wait_until_serving(killed);
    fleet.check_job(killed, &id, ITEMS);
}

#[test]
fn a_frozen_leader_holds_nobody_up_for_long() {
    let fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, UNDER_WAY);
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
fn a_planned_stop_of_a_gateway_cuts_off_nothing() {
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
        fleet.wait_for_items(other, &id, UNDER_WAY);
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

/// Streams one answer after the other as long as the gateway says that it is
/// ready. Gives the answers that are not whole.
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
fn a_planned_stop_of_a_leader_fails_no_request() {
    let mut fleet = RunningFleet::start();
    let gateway = fleet.cluster.gateways()[0];
    let address = fleet.address(gateway);
    let control = Control::of(&fleet.cluster);
    let id = fleet.submit(gateway, "heap", ITEMS);
    fleet.wait_for_items(gateway, &id, UNDER_WAY);
    for _ in 0..2 {
        let leader = block_on(control.leader());
        let status = block_on(fleet.cluster.stop(leader));
        assert!(status.success(), "{status}");
        let key = format!("bill-{leader}");
        let answer = fleet.complete_once(gateway, &key, "a claim needs a leader");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(complete(address, "online", 4).status, 200);
        fleet.cluster.start(leader);
        block_on(fleet.cluster.wait_until_ready(leader));
    }
    fleet.check_job(gateway, &id, ITEMS);
}

#[test]
fn a_gateway_that_was_frozen_serves_nothing_of_the_past() {
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
    thread::sleep(PAST_THE_BOUND);
    // Sent while it is frozen, so that it finds the request first.
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| get(address, "/services/albums/list"));
        thread::sleep(SENT);
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
fn of_two_operators_with_one_number_one_wins_everywhere() {
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
fn every_node_tells_its_health() {
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
