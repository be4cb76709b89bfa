//! Tests reports of gateways' work at engines passed on by relays.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::dispatch::{RelayChoice, ReportSource, WorkRelay, WorkShare};
use molespan_types::{NodeId, Timestamp};

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
const OTHER_RELAY: NodeId = NodeId(9);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn share(engine: &str, requests: u32, unread_tokens: u64, batch: u32) -> WorkShare {
    WorkShare {
        errors: 0,
        answers: 0,
        engine: engine.to_owned(),
        requests,
        unread_tokens,
        batch,
        failing: 0,
        answering: 0,
        ..WorkShare::default()
    }
}

fn reported(relay: &WorkRelay) -> BTreeMap<NodeId, Vec<WorkShare>> {
    relay.shares_by_gateway().into_iter().collect()
}

#[test]
fn gateway_receives_work_of_all_others() {
    let mut relay = WorkRelay::default();
    let from_a = vec![share("x", 2, 100, 1), share("y", 1, 0, 0)];
    assert!(relay.note(A, ReportSource::Gateway, from_a.clone(), at(0)));
    assert!(!relay.note(A, ReportSource::Gateway, from_a, at(1)));
    relay.note(B, ReportSource::Gateway, vec![share("x", 3, 50, 0)], at(0));
    relay.note(
        OTHER_RELAY,
        ReportSource::Relay,
        vec![share("x", 5, 7, 2)],
        at(0),
    );
    let reported = reported(&relay);
    assert_eq!(reported[&A], [share("x", 8, 57, 2)]);
    assert_eq!(reported[&B], [share("x", 7, 107, 3), share("y", 1, 0, 0)]);
    assert_eq!(reported.len(), 2, "relays are told only the sum");
    // Other relays receive only this relay's own gateways, or all would be counted twice.
    let sum = relay.sum_of_gateways();
    assert_eq!(sum, [share("x", 5, 150, 1), share("y", 1, 0, 0)]);
}

#[test]
fn failures_and_answers_are_summed_without_own_part() {
    let outcome = |failing, answering| WorkShare {
        errors: 0,
        answers: 0,
        failing,
        answering,
        ..share("x", 0, 0, 0)
    };
    let mut relay = WorkRelay::default();
    relay.note(A, ReportSource::Gateway, vec![outcome(1, 0)], at(0));
    relay.note(B, ReportSource::Gateway, vec![outcome(0, 1)], at(0));
    relay.note(OTHER_RELAY, ReportSource::Relay, vec![outcome(5, 2)], at(0));
    let reported = reported(&relay);
    assert_eq!(reported[&A], [outcome(5, 3)]);
    assert_eq!(reported[&B], [outcome(6, 2)]);
    assert_eq!(relay.sum_of_gateways(), [outcome(1, 1)]);
}

#[test]
fn report_of_silent_gateway_expires() {
    let mut relay = WorkRelay::default();
    relay.note(A, ReportSource::Gateway, vec![share("x", 2, 0, 0)], at(0));
    relay.note(B, ReportSource::Gateway, vec![], at(1_000));
    relay.expire(at(1_250));
    assert_eq!(reported(&relay), BTreeMap::from([(B, vec![])]));
    assert!(relay.sum_of_gateways().is_empty());
}

#[test]
fn messages_grow_linearly_with_gateways() {
    for gateways in [10, 100, 1_000] {
        let mut relay = WorkRelay::default();
        for gateway in 0..gateways {
            relay.note(NodeId(100 + gateway), ReportSource::Gateway, vec![], at(0));
        }
        assert_eq!(reported(&relay).len(), gateways as usize);
    }
}

#[test]
fn gateways_spread_over_relays_and_leave_silent_relay() {
    let relays: BTreeSet<NodeId> = (1..=5).map(NodeId).collect();
    let mut used: BTreeMap<NodeId, u32> = BTreeMap::new();
    for gateway in 100..200 {
        let own = NodeId(gateway);
        let mut choice = RelayChoice::default();
        let first = choice.relay(own, &relays, &BTreeSet::new(), at(0)).unwrap();
        *used.entry(first).or_default() += 1;
        choice.record_message(first, at(900));
        assert_eq!(
            choice.relay(own, &relays, &BTreeSet::new(), at(1_800)),
            Some(first)
        );
        let second = choice
            .relay(own, &relays, &BTreeSet::new(), at(2_000))
            .unwrap();
        assert_ne!(second, first);
        // A message from the relay that was left does not make the gateway keep it.
        choice.record_message(first, at(2_900));
        assert_ne!(
            choice.relay(own, &relays, &BTreeSet::new(), at(3_100)),
            Some(second)
        );
    }
    assert_eq!(used.len(), 5);
    assert!(used.values().all(|&count| count >= 8), "{used:?}");
}

#[test]
fn gateways_use_relay_of_own_zone_and_return_to_it() {
    let relays: BTreeSet<NodeId> = (1..=5).map(NodeId).collect();
    let near = BTreeSet::from([NodeId(3)]);
    for gateway in 100..200 {
        let own = NodeId(gateway);
        let mut choice = RelayChoice::default();
        let mut relay = |millis| choice.relay(own, &relays, &near, at(millis)).unwrap();
        assert_eq!(relay(0), NodeId(3));
        assert_ne!(relay(1_100), NodeId(3), "it was silent");
        // Each of the others is silent too; the first one is not tried again right away.
        let mut used = BTreeSet::new();
        for millis in [2_200, 3_300, 4_400] {
            used.insert(relay(millis));
        }
        assert!(!used.contains(&NodeId(3)));
        assert_eq!(used.len(), 3);
        let last = relay(5_000);
        choice.record_message(last, at(10_900));
        let mut relay = |millis| choice.relay(own, &relays, &near, at(millis)).unwrap();
        assert_eq!(relay(11_000), last);
        assert_eq!(relay(11_200), NodeId(3), "10 s after it fell silent");
        assert_ne!(relay(12_300), NodeId(3), "it is still silent");
    }
}

#[test]
fn no_relay_is_chosen_without_relays() {
    let mut choice = RelayChoice::default();
    assert_eq!(
        choice.relay(A, &BTreeSet::new(), &BTreeSet::new(), at(0)),
        None
    );
    let relays = BTreeSet::from([OTHER_RELAY]);
    assert_eq!(
        choice.relay(A, &relays, &BTreeSet::new(), at(10)),
        Some(OTHER_RELAY)
    );
}

#[test]
fn gateways_of_partitioned_relays_are_accounted_for() {
    let mut relay = WorkRelay::default();
    for gateway in 0..8 {
        relay.note(NodeId(100 + gateway), ReportSource::Gateway, vec![], at(0));
    }
    relay.record_represented_gateways(NodeId(1), 8, at(0));
    relay.record_represented_gateways(NodeId(2), 16, at(0));
    // Time, gateways that are present, and expected ratio of all work to reported work.
    let cases = [
        (1_000, 32, 1.0),
        // Both relays are silent, and their gateways still present.
        (2_000, 32, 4.0),
        // Some of them are not present.
        (2_000, 20, 2.5),
        (2_000, 8, 1.0),
        (9_900, 32, 4.0),
        (10_000, 32, 1.0),
    ];
    for (now, present, all) in cases {
        for gateway in 0..8 {
            relay.note(
                NodeId(100 + gateway),
                ReportSource::Gateway,
                vec![],
                at(now),
            );
        }
        relay.expire(at(now));
        assert_eq!(
            relay.total_to_reported_ratio(present, at(now)),
            all,
            "{now} {present}"
        );
    }
    let mut work = share("x", 3, 100, 1);
    work.multiply(2.0);
    assert_eq!(work, share("x", 6, 200, 2));
}

#[test]
fn gateway_receives_only_engines_that_it_uses() {
    let mut relay = WorkRelay::default();
    let shares = |engines: &[&str]| {
        engines
            .iter()
            .map(|engine| share(engine, 1, 0, 0))
            .collect()
    };
    relay.note(
        NodeId(1),
        ReportSource::Gateway,
        shares(&["a", "b"]),
        Timestamp::ZERO,
    );
    relay.note(
        NodeId(2),
        ReportSource::Gateway,
        shares(&["b"]),
        Timestamp::ZERO,
    );
    relay.note(
        NodeId(9),
        ReportSource::Relay,
        shares(&["c", "d"]),
        Timestamp::ZERO,
    );
    let by_gateway = relay.shares_by_user(|engines| {
        let users = |engine: &&str| match *engine {
            "a" => Some(vec![NodeId(1)]),
            "b" => Some(vec![NodeId(1), NodeId(2)]),
            // All gateways use it.
            "c" => None,
            // None of this relay's gateways uses it.
            _ => Some(vec![NodeId(7)]),
        };
        engines.iter().map(users).collect()
    });
    let reported: Vec<(u32, Vec<(&str, u32)>)> = by_gateway
        .iter()
        .map(|(gateway, shares)| {
            let shares = shares.iter();
            let shares = shares.map(|share| (share.engine.as_str(), share.requests));
            (gateway.0, shares.collect())
        })
        .collect();
    let expected = [(1, vec![("b", 1), ("c", 1)]), (2, vec![("b", 1), ("c", 1)])];
    assert_eq!(reported, expected);
}

#[test]
fn relay_with_many_gateways_slows_down_under_low_load() {
    let pause = |gateways: u32, requests: u32, slots: u64| {
        let mut relay = WorkRelay::default();
        for gateway in 1..=gateways {
            let shares = vec![share("x", requests, 0, 0)];
            relay.note(NodeId(gateway), ReportSource::Gateway, shares, at(0));
        }
        relay.pause(slots).as_millis()
    };
    assert_eq!(pause(50, 1, 1_000), 50);
    assert_eq!(pause(128, 1, 1_000), 100);
    assert_eq!(pause(10_000, 1, 100_000), 150);
    // When gateways compete for slots, reports are relayed often.
    assert_eq!(pause(128, 4, 1_000), 50);
}

#[test]
fn engines_that_only_answered_are_not_passed_on() {
    let outcome = |engine: &str, failing, answering, errors| WorkShare {
        failing,
        answering,
        errors,
        answers: 10,
        ..share(engine, 0, 0, 0)
    };
    let mut relay = WorkRelay::default();
    let from_a = vec![
        outcome("answers", 0, 1, 0),
        outcome("errs", 0, 1, 3),
        outcome("fails", 1, 0, 0),
    ];
    relay.note(A, ReportSource::Gateway, from_a, at(0));
    let from_b = vec![outcome("answers", 0, 1, 0), outcome("fails", 0, 1, 0)];
    relay.note(B, ReportSource::Gateway, from_b, at(0));
    let reported = reported(&relay);
    let engines = |shares: &[WorkShare]| {
        let engines = shares.iter().map(|share| share.engine.clone());
        engines.collect::<Vec<String>>()
    };
    assert_eq!(engines(&reported[&B]), ["errs", "fails"]);
    // The engine fails no other gateway, and A knows of its own failure.
    assert_eq!(engines(&reported[&A]), Vec::<String>::new());
    relay.note(
        B,
        ReportSource::Gateway,
        vec![outcome("errs", 0, 1, 0)],
        at(0),
    );
    assert_eq!(engines(&self::reported(&relay)[&A]), ["errs"]);
    let from_b = vec![outcome("answers", 0, 1, 0), outcome("fails", 0, 1, 0)];
    relay.note(B, ReportSource::Gateway, from_b, at(0));
    // Other relays sum up which gateways are answered, and receive all engines.
    assert_eq!(
        engines(&relay.sum_of_gateways()),
        ["answers", "errs", "fails"]
    );
}
