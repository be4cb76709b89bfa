//! Tests the choice of a route's service, and of an engine of that service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_routing::dispatch::{
    EngineFacts, EngineLoad, EngineTable, Failure, NoEngine, Pick, Picked, PromptCost, PromptPart,
    Standing, WeightedSplit, WorkClass, WorkShare,
};
use molespan_types::{NodeId, Timestamp};
use proptest::prelude::*;

/// A request with ample time until its target.
const IN_TIME: Standing = Standing::InTime {
    left: Duration::from_secs(1),
};
const CONTROL: NodeId = NodeId(1);

fn facts(number: u8, zone: &str) -> EngineFacts {
    EngineFacts {
        id: format!("e{number}"),
        service: "s".to_owned(),
        address: ([127, 0, 0, number], 80).into(),
        zone: zone.into(),
        slots: 8,
        version: None,
    }
}

fn table(engines: &[(u8, &str)]) -> EngineTable {
    let mut table = EngineTable::new("near".into(), 1);
    for (number, zone) in engines {
        table.add_engine(CONTROL, facts(*number, zone), Timestamp::ZERO);
    }
    table
}

fn now(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_service_is_settled_while_at_most_a_quarter_of_its_engines_come_anew() {
    assert_eq!(table(&[]).settled_since("s"), None);
    let mut few = table(&[(1, "near"), (2, "near")]);
    few.add_engine(CONTROL, facts(3, "near"), now(1_000));
    assert_eq!(few.settled_since("s"), Some(now(1_000)));
    let mut more = table(&[(1, "near"), (2, "near"), (3, "near")]);
    more.add_engine(CONTROL, facts(4, "near"), now(1_000));
    assert_eq!(more.settled_since("s"), Some(Timestamp::ZERO));
    more.add_engine(CONTROL, facts(5, "near"), now(2_000));
    assert_eq!(more.settled_since("s"), Some(now(1_000)));
}

/// Picks an engine for a request without a prompt.
fn choose(
    table: &mut EngineTable,
    class: WorkClass,
    standing: Standing,
    tried: &[&str],
    at: u64,
) -> Result<Picked, NoEngine> {
    let tried: BTreeSet<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let pick = Pick {
        service: "s",
        class,
        standing,
        prompt: PromptCost::default(),
        tried: &tried,
        suspect: false,
        version: None,
    };
    table.pick(&pick, now(at))
}

fn pick(
    table: &mut EngineTable,
    class: WorkClass,
    tried: &[&str],
    at: u64,
) -> Result<String, NoEngine> {
    choose(table, class, IN_TIME, tried, at).map(|picked| picked.facts.id)
}

fn online(table: &mut EngineTable, at: u64) -> Result<String, NoEngine> {
    pick(table, WorkClass::Online, &[], at)
}

proptest! {
    /// After any number of choices each destination has received its share to within one
    /// choice for each destination.
    #[test]
    fn weighted_split_keeps_weights_after_every_choice(
        weights in prop::collection::vec(0..100_u32, 1..5),
        start in 0..1_000_u32,
    ) {
        let total: u32 = weights.iter().sum();
        let mut split = WeightedSplit::new(&weights, start);
        let mut counts = vec![0_u32; weights.len()];
        for chosen in 1..=200_u32 {
            match split.next() {
                None => prop_assert_eq!(total, 0),
                Some(place) => {
                    counts[place] += 1;
                    for (count, weight) in counts.iter().zip(&weights) {
                        let share = f64::from(chosen) * f64::from(*weight) / f64::from(total);
                        prop_assert!((f64::from(*count) - share).abs() <= weights.len() as f64);
                        prop_assert!(*weight > 0 || *count == 0);
                    }
                }
            }
        }
    }
}

#[test]
fn picks_least_loaded_engine_and_prefers_own_zone() {
    let mut table = table(&[(1, "near"), (2, "far")]);
    assert_eq!(online(&mut table, 0), Ok("e1".to_owned()));
    table.started("e1", WorkClass::Online, 0, now(0));
    table.started("e1", WorkClass::Online, 0, now(0));
    assert_eq!(online(&mut table, 0), Ok("e2".to_owned()));
    table.ended("e1", WorkClass::Online);
    table.ended("e1", WorkClass::Online);
    assert_eq!(online(&mut table, 0), Ok("e1".to_owned()));
}

#[test]
fn load_report_loses_weight_with_age() {
    let mut table = table(&[(1, "near"), (2, "near")]);
    let load = EngineLoad {
        running: 4,
        waiting: 0,
        slots: 8,
        pace: None,
    };
    table.report("e1", load, now(0));
    table.started("e2", WorkClass::Online, 0, now(0));
    assert_eq!(online(&mut table, 0), Ok("e2".to_owned()));
    assert_eq!(online(&mut table, 5_000), Ok("e1".to_owned()));
}

#[test]
fn failing_engines_back_off_and_return() {
    // Kind of failure, number of failures, and whether the engine is backed off right
    // after.
    let cases = [
        (Failure::Unreachable, 1, true),
        (Failure::Silent, 1, true),
        (Failure::Full, 1, true),
        (Failure::Broken, 1, false),
        (Failure::Broken, 2, true),
    ];
    for (failure, times, paused) in cases {
        let mut table = table(&[(1, "near")]);
        for _ in 0..times {
            table.failed("e1", failure, now(0));
        }
        let expected = if paused {
            Err(NoEngine::Busy)
        } else {
            Ok("e1".to_owned())
        };
        assert_eq!(online(&mut table, 1), expected, "{failure:?} {times}");
        assert_eq!(
            online(&mut table, 10_000),
            Ok("e1".to_owned()),
            "{failure:?}"
        );
    }
}

#[test]
fn departed_engine_is_not_listed_again_but_lost_one_may_be() {
    let mut table = table(&[(1, "near")]);
    table.add_engine(NodeId(2), facts(1, "near"), Timestamp::ZERO);
    table.remove_report(CONTROL, "e1");
    assert!(
        table.is_present("e1"),
        "another control node still lists it"
    );
    table.remove_report(NodeId(2), "e1");
    assert_eq!(online(&mut table, 0), Err(NoEngine::None));
    table.add_engine(CONTROL, facts(1, "near"), Timestamp::ZERO);
    assert!(table.is_present("e1"));
    assert!(table.depart("e1", now(0)));
    assert!(!table.depart("e1", now(0)));
    table.add_engine(NodeId(2), facts(1, "near"), Timestamp::ZERO);
    assert_eq!(online(&mut table, 0), Err(NoEngine::None));
}

#[test]
fn an_address_belongs_to_the_latest_engine_that_has_it() {
    let mut table = table(&[(1, "near")]);
    let mut taken = facts(1, "near");
    taken.id = "successor".to_owned();
    taken.service = "other".to_owned();
    table.add_engine(CONTROL, taken, Timestamp::ZERO);
    assert_eq!(online(&mut table, 0), Err(NoEngine::None));
    assert!(!table.is_present("e1"));
}

#[test]
fn batch_uses_only_slots_free_of_online_work() {
    let mut table = table(&[(1, "near")]);
    let mut started = 0;
    while pick(&mut table, WorkClass::Batch, &[], 0).is_ok() {
        table.started("e1", WorkClass::Batch, 0, now(0));
        started += 1;
    }
    assert_eq!(started, 8, "batch fills the slots and queues none");
    assert_eq!(table.batch_headroom("s", now(0)), 0.0);
    assert_eq!(online(&mut table, 0), Ok("e1".to_owned()));
    table.started("e1", WorkClass::Online, 0, now(0));
    assert_eq!(table.batch_to_preempt(now(0)), [("e1".to_owned(), 1)]);
}

#[test]
fn tried_engines_are_skipped() {
    let mut table = table(&[(1, "near"), (2, "far")]);
    let found = pick(&mut table, WorkClass::Online, &["e1"], 0);
    assert_eq!(found, Ok("e2".to_owned()));
    let found = pick(&mut table, WorkClass::Online, &["e1", "e2"], 0);
    assert_eq!(found, Err(NoEngine::Tried));
}

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

fn pick_prompt(table: &mut EngineTable, parts: &[PromptPart], at: u64) -> (String, u64) {
    let tried = BTreeSet::new();
    let pick = Pick {
        service: "s",
        class: WorkClass::Online,
        standing: IN_TIME,
        prompt: PromptCost::of(parts),
        tried: &tried,
        suspect: false,
        version: None,
    };
    let picked = table.pick(&pick, now(at)).expect("an engine");
    (picked.facts.id, picked.unread_tokens)
}

#[test]
fn short_shared_prompts_are_ignored() {
    assert_eq!(
        PromptCost::of(&[part("a", 500), part("own", 9_000)]).shared,
        None
    );
    let cost = PromptCost::of(&[part("a", 300), part("b", 900), part("own", 10)]);
    assert_eq!(
        (cost.tokens, cost.shared.map(|shared| shared.tokens)),
        (1_210, Some(1_200))
    );
    assert_eq!(PromptCost::of(&[]), PromptCost::default());
}

#[test]
fn long_shared_prompt_goes_to_its_holder_until_waiting_costs_more() {
    let prompt = [part("album", 13_000), part("own", 2_000)];
    let mut table = table(&[(1, "near"), (2, "far"), (3, "far")]);
    let (home, unread) = pick_prompt(&mut table, &prompt, 0);
    assert_eq!(unread, 2_000);
    for _ in 0..20 {
        assert_eq!(pick_prompt(&mut table, &prompt, 0).0, home);
    }
    table.started(&home, WorkClass::Online, 20_000, now(0));
    let (second, unread) = pick_prompt(&mut table, &prompt, 0);
    assert_ne!(second, home);
    assert_eq!(unread, 15_000);
    // The second engine holds the prompt from now on, and is as good as the first.
    let key = PromptCost::of(&prompt).shared.expect("long enough").key;
    table.holds(&second, key, now(0));
    assert_eq!(pick_prompt(&mut table, &prompt, 0), (second, 2_000));
}

#[test]
fn unread_prompts_of_this_and_other_gateways_are_avoided() {
    let mut table = table(&[(1, "near"), (2, "near"), (3, "near")]);
    table.started("e1", WorkClass::Online, 30_000, now(0));
    let share = WorkShare {
        errors: 0,
        answers: 0,
        engine: "e2".to_owned(),
        requests: 1,
        unread_tokens: 30_000,
        batch: 0,
        failing: 0,
        answering: 0,
        ..WorkShare::default()
    };
    table.note_shares(NodeId(9), std::slice::from_ref(&share), now(0));
    for _ in 0..20 {
        assert_eq!(online(&mut table, 0), Ok("e3".to_owned()));
    }
    // Work that a gateway no longer reports is over, and so is that of a silent gateway.
    table.started("e3", WorkClass::Online, 30_000, now(0));
    assert_eq!(online(&mut table, 2_000), Ok("e2".to_owned()));
    table.note_shares(NodeId(9), &[share], now(3_000));
    table.read("e1", 30_000);
    assert_eq!(online(&mut table, 3_000), Ok("e1".to_owned()));
    table.note_shares(NodeId(9), &[], now(3_100));
    table.started("e1", WorkClass::Online, 10, now(0));
    assert_eq!(online(&mut table, 3_100), Ok("e2".to_owned()));
}

#[test]
fn report_replaces_previous_one_in_any_engine_order() {
    let mut table = table(&[(1, "a"), (2, "a"), (3, "a")]);
    let share = |number: u8, requests| WorkShare {
        errors: 0,
        answers: 0,
        engine: format!("e{number}"),
        requests,
        unread_tokens: 0,
        batch: 0,
        failing: 0,
        answering: 0,
        ..WorkShare::default()
    };
    let reported = [share(3, 5), share(9, 7), share(1, 2)];
    table.note_shares(NodeId(7), &reported, now(0));
    let slots = 3.0 * 8.0;
    assert!((table.occupancy(now(0)) - 7.0 / slots).abs() < 1e-9);
    // Work at engines missing from the next report is over.
    table.note_shares(NodeId(7), &[share(1, 2)], now(1));
    assert!((table.occupancy(now(1)) - 2.0 / slots).abs() < 1e-9);
}

/// Experience of other gateways with an engine, as summed up by a relay.
fn outcome_share(engine: &str, failing: u32, answering: u32) -> WorkShare {
    WorkShare {
        errors: 0,
        answers: 0,
        engine: engine.to_owned(),
        requests: 0,
        unread_tokens: 0,
        batch: 0,
        failing,
        answering,
        ..WorkShare::default()
    }
}

#[test]
fn engine_failing_for_other_gateways_is_avoided() {
    // Gateways for which the engine fails, gateways that it answers, and whether it is
    // chosen.
    let cases = [
        (0, 0, true),
        (1, 0, true),
        (2, 0, false),
        (2, 1, false),
        (2, 2, true),
        (30, 70, true),
        (70, 2, false),
    ];
    for (failing, answering, chosen) in cases {
        let mut table = table(&[(1, "near"), (2, "far")]);
        table.note_shares(
            NodeId(7),
            &[outcome_share("e1", failing, answering)],
            now(0),
        );
        let engine = if chosen { "e1" } else { "e2" };
        assert_eq!(
            online(&mut table, 1),
            Ok(engine.to_owned()),
            "{failing} {answering}"
        );
        assert_eq!(table.failing_for_others(now(1)).is_empty(), chosen);
        // The reports have expired.
        assert_eq!(online(&mut table, 1_300), Ok("e1".to_owned()));
    }
}

#[test]
fn reports_of_others_exclude_at_most_half_of_a_service() {
    let engines = [1, 2, 3, 4].map(|number| (number, "near"));
    for failing in 0..=4_usize {
        let mut table = table(&engines);
        let reported: Vec<WorkShare> = ["e1", "e2", "e3", "e4"][..failing]
            .iter()
            .map(|engine| outcome_share(engine, 50, 0))
            .collect();
        table.note_shares(NodeId(7), &reported, now(0));
        let mut used = BTreeSet::new();
        for _ in 0..200 {
            used.insert(online(&mut table, 1).expect("an engine"));
        }
        let avoided = if failing <= 2 { failing } else { 0 };
        assert_eq!(used.len(), 4 - avoided, "{failing} fail");
    }
}

#[test]
fn own_answer_counts_against_failure_reports() {
    let mut table = table(&[(1, "near"), (2, "far")]);
    table.succeeded("e1", now(0));
    table.note_shares(NodeId(7), &[outcome_share("e1", 2, 1)], now(0));
    assert_eq!(online(&mut table, 10), Ok("e1".to_owned()));
    table.note_shares(NodeId(7), &[outcome_share("e1", 3, 1)], now(20));
    assert_eq!(online(&mut table, 30), Ok("e2".to_owned()));
}

#[test]
fn gateway_reports_failures_and_answers_of_engines() {
    let mut table = table(&[(1, "near"), (2, "near"), (3, "near"), (4, "near")]);
    table.failed("e1", Failure::Unreachable, now(0));
    assert_eq!(table.shares(now(0)), [], "no engine has answered yet");
    table.succeeded("e2", now(0));
    table.failed("e3", Failure::Full, now(0));
    table.displaced("e4", now(0));
    let told = |table: &EngineTable, millis| table.shares(now(millis));
    let [e1, e2, e4] = [("e1", 1, 0), ("e2", 0, 1), ("e4", 1, 0)]
        .map(|(engine, failing, answering)| outcome_share(engine, failing, answering));
    assert_eq!(told(&table, 100), [e1, e2, e4.clone()]);
    // The backoff is over and the answer too old; the engine that is gone stays reported.
    assert_eq!(told(&table, 1_100), [e4]);
    // Without a recent answer from any engine the gateway itself may be cut off.
    assert_eq!(told(&table, 3_000), []);
    table.succeeded("e2", now(1_150));
    table.failed("e2", Failure::Unreachable, now(1_200));
    table.succeeded("e2", now(1_300));
    let told = told(&table, 1_400);
    assert!(told.contains(&outcome_share("e2", 0, 1)), "{told:?}");
}

#[test]
fn displaced_engine_is_not_tried_again() {
    let mut table = table(&[(1, "near"), (2, "far")]);
    table.displaced("e1", now(0));
    for millis in [1, 600, 5_000, 20_000] {
        assert_eq!(online(&mut table, millis), Ok("e2".to_owned()));
    }
}

#[test]
fn an_engine_without_a_free_slot_is_the_last_choice() {
    let mut table = table(&[(1, "near"), (2, "far")]);
    for _ in 0..8 {
        table.started("e1", WorkClass::Online, 0, now(0));
    }
    table.started("e2", WorkClass::Online, 9_000, now(0));
    assert_eq!(online(&mut table, 0), Ok("e2".to_owned()));
}

#[test]
fn batch_is_preempted_when_slots_run_out_and_gateways_share_preemptions() {
    // This gateway's batch and online requests, those of another gateway, and the number to
    // preempt.
    let cases = [
        ((4, 4), (0, 0), 0..=0),
        ((4, 5), (0, 0), 1..=1),
        ((4, 7), (0, 0), 3..=3),
        ((2, 10), (0, 0), 2..=2),
        ((0, 10), (0, 0), 0..=0),
        ((2, 3), (2, 3), 1..=1),
        ((4, 4), (0, 5), 4..=4),
        ((1, 4), (2, 2), 0..=1),
    ];
    for ((batch, online), (other_batch, other_online), cut) in cases {
        let mut table = table(&[(1, "near")]);
        for _ in 0..batch {
            table.started("e1", WorkClass::Batch, 0, now(0));
        }
        for _ in 0..online {
            table.started("e1", WorkClass::Online, 0, now(0));
        }
        let share = WorkShare {
            errors: 0,
            answers: 0,
            engine: "e1".to_owned(),
            requests: other_batch + other_online,
            unread_tokens: 0,
            batch: other_batch,
            failing: 0,
            answering: 0,
            ..WorkShare::default()
        };
        table.note_shares(NodeId(9), &[share], now(0));
        let cuts: u32 = table
            .batch_to_preempt(now(0))
            .iter()
            .map(|(_, cut)| cut)
            .sum();
        assert!(
            cut.contains(&cuts),
            "{batch} {online} {other_batch} {other_online}: {cuts}"
        );
        // The other gateways observe the preemption only later; nothing is preempted twice
        // in the meantime.
        assert!(cuts == 0 || table.batch_to_preempt(now(10)).is_empty());
    }
}

#[test]
fn batch_avoids_engine_for_a_while_after_preemption() {
    let mut table = table(&[(1, "near")]);
    for _ in 0..9 {
        table.started("e1", WorkClass::Online, 0, now(0));
    }
    assert!(
        table.batch_to_preempt(now(0)).is_empty(),
        "there is no batch work to preempt"
    );
    for _ in 0..9 {
        table.ended("e1", WorkClass::Online);
    }
    assert_eq!(
        pick(&mut table, WorkClass::Batch, &[], 100),
        Err(NoEngine::Busy)
    );
    assert_eq!(table.batch_headroom("s", now(100)), 0.0);
    assert_eq!(online(&mut table, 100), Ok("e1".to_owned()));
    assert_eq!(
        pick(&mut table, WorkClass::Batch, &[], 2_000),
        Ok("e1".to_owned())
    );
}

#[test]
fn concurrent_picks_do_not_all_choose_same_engine() {
    // One engine is idle and all others run a request; every gateway observes that.
    let engines: Vec<(u8, &str)> = (1..=24).map(|number| (number, "near")).collect();
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for gateway in 0..48 {
        let mut table = EngineTable::new("near".into(), gateway);
        for (number, zone) in &engines {
            table.add_engine(CONTROL, facts(*number, zone), Timestamp::ZERO);
        }
        for number in 2..=24 {
            table.started(&format!("e{number}"), WorkClass::Online, 0, now(0));
        }
        let engine = online(&mut table, 0).expect("an engine");
        *chosen.entry(engine).or_default() += 1;
    }
    assert!(
        chosen["e1"] >= 2,
        "the idle engine is preferred: {chosen:?}"
    );
    assert!(chosen.values().all(|&count| count <= 16), "{chosen:?}");
}

#[test]
fn long_prompt_goes_where_it_delays_fewest_requests() {
    let prompt = [part("album", 900), part("own", 40_000)];
    let mut table = table(&[(1, "near"), (2, "far")]);
    table.started("e1", WorkClass::Online, 0, now(0));
    assert_eq!(pick_prompt(&mut table, &prompt, 0).0, "e2");
    // A short prompt does not leave its zone for that.
    assert_eq!(online(&mut table, 0), Ok("e1".to_owned()));
}

#[test]
fn concurrent_batch_starts_stay_within_capacity() {
    // Eight gateways that don't observe each other's requests yet, and 32 slots.
    let mut started = 0;
    for gateway in 0..8 {
        let mut table = EngineTable::new("near".into(), gateway);
        table.set_gateways(8);
        for number in 1..=4 {
            table.add_engine(CONTROL, facts(number, "near"), Timestamp::ZERO);
        }
        while let Ok(engine) = pick(&mut table, WorkClass::Batch, &[], 0) {
            table.started(&engine, WorkClass::Batch, 0, now(0));
            started += 1;
        }
    }
    assert!((16..=32).contains(&started), "{started}");
}

#[test]
fn no_batch_starts_while_burst_needs_every_slot() {
    let mut table = table(&[(1, "near"), (2, "near"), (3, "near")]);
    for engine in [["e1"; 9], ["e2"; 9]].concat().into_iter().chain(["e3"; 6]) {
        table.started(engine, WorkClass::Online, 0, now(0));
    }
    // The third engine has free slots, but the waiting requests will need them.
    assert_eq!(
        pick(&mut table, WorkClass::Batch, &[], 0),
        Err(NoEngine::Busy)
    );
    for _ in 0..2 {
        table.ended("e1", WorkClass::Online);
    }
    for _ in 0..2 {
        let engine = pick(&mut table, WorkClass::Batch, &[], 0).expect("room");
        assert_ne!(engine, "e2");
        table.started(&engine, WorkClass::Batch, 0, now(0));
    }
    assert_eq!(
        pick(&mut table, WorkClass::Batch, &[], 0),
        Err(NoEngine::Busy)
    );
}

#[test]
fn online_request_prefers_engine_with_own_preemptible_batch() {
    // All slots are in use: by online work, by another gateway's batch work, and by this
    // gateway's batch work.
    let mut table = table(&[(1, "near"), (2, "near"), (3, "near")]);
    let shares = ["e1", "e2"].map(|engine| WorkShare {
        errors: 0,
        answers: 0,
        engine: engine.to_owned(),
        requests: 8,
        unread_tokens: 0,
        batch: if engine == "e2" { 8 } else { 0 },
        failing: 0,
        answering: 0,
        ..WorkShare::default()
    });
    table.note_shares(NodeId(9), &shares, now(0));
    for _ in 0..8 {
        table.started("e3", WorkClass::Batch, 0, now(0));
    }
    assert_eq!(online(&mut table, 0), Ok("e3".to_owned()));
    // Without batch work of this gateway, the other gateway's is preempted.
    for _ in 0..8 {
        table.ended("e3", WorkClass::Batch);
        table.started("e3", WorkClass::Online, 0, now(0));
    }
    assert_eq!(online(&mut table, 0), Ok("e2".to_owned()));
}

/// Picks for a request with this `standing`, at an engine of 8 slots whose requests hold
/// one for 400 ms and that runs `online` and `batch` requests.
fn standing(standing: Standing, online: u32, batch: u32) -> Result<String, NoEngine> {
    let mut table = table(&[(1, "near")]);
    for _ in 0..200 {
        table.note_slot_time("s", Duration::from_millis(400));
    }
    for _ in 0..online {
        table.started("e1", WorkClass::Online, 0, now(0));
    }
    for _ in 0..batch {
        table.started("e1", WorkClass::Batch, 0, now(0));
    }
    choose(&mut table, WorkClass::Online, standing, &[], 1_000).map(|picked| picked.facts.id)
}

#[test]
fn request_queues_at_engine_only_if_target_can_be_met() {
    let left = |ms| Standing::InTime {
        left: Duration::from_millis(ms),
    };
    // Standing, online and batch requests there, and whether the request is sent. A request
    // that finds no slot waits 50 ms for each request queued before it.
    let cases = [
        (left(1), 7, 0, true),
        (left(1), 8, 0, false),
        (left(60), 8, 0, true),
        (left(60), 9, 0, false),
        (left(160), 10, 0, true),
        (left(10_000), 12, 0, false),
        // Batch work is preempted.
        (left(1), 7, 8, true),
        (Standing::Late, 7, 0, true),
        (Standing::Late, 7, 1, true),
        (Standing::Late, 8, 0, false),
    ];
    for (stands, online, batch, sent) in cases {
        let chosen = standing(stands, online, batch);
        assert_eq!(
            chosen.is_ok(),
            sent,
            "{stands:?} beside {online} and {batch}"
        );
    }
}

/// Returns the requests that 40 gateways start at the same time, with five attempts each,
/// at two engines with 8 slots each, before they observe one another's requests.
fn count_concurrent_starts(standing: Standing, slot_time: Duration) -> u32 {
    let mut started = 0;
    for seed in 0..40 {
        let mut table = EngineTable::new("near".into(), seed);
        table.add_engine(CONTROL, facts(1, "near"), Timestamp::ZERO);
        table.add_engine(CONTROL, facts(2, "near"), Timestamp::ZERO);
        table.set_gateways(40);
        table.note_slot_time("s", slot_time);
        for _ in 0..5 {
            if let Ok(picked) = choose(&mut table, WorkClass::Online, standing, &[], 0) {
                table.started(&picked.facts.id, WorkClass::Online, 0, now(0));
                started += 1;
            }
        }
    }
    started
}

#[test]
fn concurrent_online_starts_stay_within_capacity() {
    let held = Duration::from_millis(400);
    // 16 slots, and 4 requests at each engine that get a slot within 200 ms.
    let cases = [
        (Standing::Late, 8..=24),
        (
            Standing::InTime {
                left: Duration::from_millis(200),
            },
            14..=36,
        ),
    ];
    for (standing, room) in cases {
        let started = count_concurrent_starts(standing, held);
        assert!(room.contains(&started), "{standing:?}: {started}");
    }
}

#[test]
fn short_requests_are_not_held_back() {
    let started = count_concurrent_starts(IN_TIME, Duration::from_millis(20));
    assert_eq!(started, 200);
}

/// Two gateways with two engines, where `e1` fails every other request and appears less
/// loaded.
fn gateways_with_failing_engine() -> [EngineTable; 2] {
    [1, 2].map(|seed| {
        let mut table = EngineTable::new("near".into(), seed);
        table.add_engine(CONTROL, facts(1, "near"), Timestamp::ZERO);
        table.add_engine(CONTROL, facts(2, "near"), Timestamp::ZERO);
        table.started("e2", WorkClass::Online, 0, now(0));
        table
    })
}

#[test]
fn engine_failing_some_requests_is_avoided_by_informed_gateways() {
    let [mut one, mut other] = gateways_with_failing_engine();
    let mut at = 0;
    let mut errors = 0;
    while online(&mut one, at) == Ok("e1".to_owned()) {
        let failed = at % 20 == 0;
        one.answered("e1", failed, now(at));
        one.succeeded("e1", now(at));
        errors += u32::from(failed);
        at += 10;
        assert!(errors <= 4, "{errors}");
    }
    // A gateway that has observed no failure learns of it by reports.
    assert_eq!(online(&mut other, at), Ok("e1".to_owned()));
    other.note_shares(NodeId(9), &one.shares(now(at)), now(at));
    assert_eq!(online(&mut other, at), Ok("e2".to_owned()));
    // The engine is tried again later, and stays in use if it has recovered.
    assert_eq!(online(&mut one, at + 3_000), Ok("e2".to_owned()));
    assert_eq!(online(&mut one, at + 8_000), Ok("e1".to_owned()));
    for more in 0..50 {
        one.answered("e1", false, now(at + 8_000 + more));
    }
    assert_eq!(online(&mut one, at + 8_100), Ok("e1".to_owned()));
}

#[test]
fn rare_broken_answers_do_not_exclude_engine() {
    let [mut one, _] = gateways_with_failing_engine();
    for request in 0..2_000 {
        one.answered("e1", request % 20 == 0, now(request * 10));
        assert_eq!(online(&mut one, request * 10), Ok("e1".to_owned()));
    }
}

#[test]
fn gateway_takes_over_only_the_slot_its_own_request_freed() {
    let tables = || {
        let mut table = EngineTable::new("near".into(), 3);
        table.add_engine(CONTROL, facts(1, "near"), Timestamp::ZERO);
        table.add_engine(CONTROL, facts(2, "near"), Timestamp::ZERO);
        table.set_gateways(40);
        table.note_slot_time("s", Duration::from_secs(1));
        table.note_shares(
            NodeId(9),
            &[
                share_with_one_free_slot("e1"),
                share_with_one_free_slot("e2"),
            ],
            now(0),
        );
        table
    };
    let take =
        |table: &mut EngineTable, class, at| choose(table, class, Standing::Late, &[], at).ok();
    for class in [WorkClass::Online, WorkClass::Batch] {
        let mut table = tables();
        // Two slots are free for 40 gateways: this gateway's share is far below one.
        let mut started = 0;
        for at in 0..20 {
            started += usize::from(take(&mut table, class, at).is_some());
        }
        assert!(started <= 1, "{class:?}: {started}");
        let mut table = tables();
        table.freed("e2", now(10));
        let taken = (10..60).find_map(|at| {
            let picked = take(&mut table, class, at)?;
            picked.takes_over.then_some(picked.facts.id)
        });
        assert_eq!(taken.as_deref(), Some("e2"));
        table.took_over("e2", class, 0);
        // The engine is full now, since only one slot was freed.
        assert!((11..60).all(|at| take(&mut table, class, at).is_none_or(|one| !one.takes_over)));
        let mut table = tables();
        table.freed("e2", now(10));
        assert!((60..80).all(|at| take(&mut table, class, at).is_none_or(|one| !one.takes_over)));
    }
}

/// Work of other gateways at an engine of 8 slots.
fn share_with_one_free_slot(engine: &str) -> WorkShare {
    WorkShare {
        engine: engine.to_owned(),
        requests: 7,
        unread_tokens: 0,
        batch: 0,
        failing: 0,
        answering: 0,
        errors: 0,
        answers: 0,
        ..WorkShare::default()
    }
}

#[test]
fn suspect_request_goes_to_stable_engine() {
    // One engine has just restarted, and therefore has the lowest load.
    let mut table = table(&[(1, "near")]);
    table.started("e1", WorkClass::Online, 0, now(0));
    table.add_engine(CONTROL, facts(2, "near"), now(10_000));
    let tried = BTreeSet::new();
    let mut to = |suspect: bool, at: u64| {
        let pick = Pick {
            service: "s",
            class: WorkClass::Online,
            standing: IN_TIME,
            prompt: PromptCost::default(),
            tried: &tried,
            suspect,
            version: None,
        };
        table.pick(&pick, now(at)).map(|picked| picked.facts.id)
    };
    assert_eq!(to(false, 11_000).as_deref(), Ok("e2"));
    assert_eq!(to(true, 11_000).as_deref(), Ok("e1"));
    // Ten seconds later both count as stable.
    assert_eq!(to(true, 21_000).as_deref(), Ok("e2"));
}

const OTHER_CONTROL: NodeId = NodeId(2);

fn ids(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn engines_assigned_to_other_gateways_are_dropped() {
    let mut table = table(&[(1, "near"), (2, "near"), (3, "near")]);
    table.add_engine(OTHER_CONTROL, facts(3, "near"), now(0));
    let part = ids(&["e2"]);
    table.set_subset(CONTROL, "s", Some(24), Some(&part));
    // The other control node still assigns the engine to this gateway.
    assert!(table.is_present("e3"));
    assert!(!table.is_present("e1"));
    table.set_subset(OTHER_CONTROL, "s", Some(24), Some(&part));
    assert_eq!(table.len(), 1);
    assert_eq!(online(&mut table, 0), Ok("e2".to_owned()));
    // Engines of another service are kept.
    table.set_subset(CONTROL, "other", Some(24), Some(&BTreeSet::new()));
    assert!(table.is_present("e2"));
    // The engine did not announce a departure, and may be assigned again.
    assert!(!table.has_departed("e1"));
    table.add_engine(CONTROL, facts(1, "near"), now(1));
    assert!(table.is_present("e1"));
}

#[test]
fn replaced_control_node_does_not_delay_engine_removal() {
    let mut table = table(&[(1, "near"), (2, "near")]);
    table.add_engine(OTHER_CONTROL, facts(1, "near"), now(0));
    table.remove_control_node(CONTROL);
    assert!(table.is_present("e1"));
    assert!(!table.is_present("e2"), "no other control node lists it");
    table.remove_report(OTHER_CONTROL, "e1");
    assert!(!table.is_present("e1"));
}

#[test]
fn batch_headroom_is_shared_among_gateways_using_the_engines() {
    let engines: Vec<(u8, &str)> = (1..=50).map(|number| (number, "near")).collect();
    let mut table = table(&engines);
    table.set_gateways(800);
    assert_eq!(table.batch_headroom("s", now(0)), 400.0 / 800.0);
    table.set_subset(CONTROL, "s", Some(25), None);
    assert_eq!(table.batch_headroom("s", now(0)), 400.0 / 25.0);
    assert_eq!(table.fair_slots("s"), 400.0 / 25.0);
    table.set_subset(CONTROL, "s", None, None);
    assert_eq!(table.fair_slots("s"), 400.0 / 800.0);
    // There are fewer gateways than that.
    table.set_subset(CONTROL, "s", Some(25), None);
    table.set_gateways(5);
    assert_eq!(table.fair_slots("s"), 400.0 / 5.0);
}
