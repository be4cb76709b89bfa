//! Tests shares of a service's free capacity by the demand that gateways report, in virtual
//! time.

mod many_gateways;

use std::collections::BTreeSet;
use std::time::Duration;

use many_gateways::{Engines, Load, Simulation};
use molespan_routing::dispatch::{
    DemandRelay, EngineFacts, EngineTable, Pick, PromptCost, ReportSource, ServiceDemand, Standing,
    WorkClass, WorkShare,
};
use molespan_types::{NodeId, Timestamp};

const GATEWAYS: usize = 36;
/// Simulated time in milliseconds: two peak periods.
const SIMULATED_MS: u64 = 11_600;
const SEEDS: u64 = 4;

/// Requests that hold slots for longer than gateways take to observe each other's, from
/// unevenly distributed callers, with 40% more in one zone.
fn load(demand: f64, peaks: bool, demand_reported: bool) -> Load {
    let mut engines = Engines::new(24, 8, 900.0);
    engines.streams = true;
    Load {
        gateways: GATEWAYS,
        engines,
        demand,
        peaks,
        demand_reported,
    }
}

/// Shares of requests in time, as means over seeds: of all requests, of the worst zone, and
/// at the worst tenth of gateways.
#[derive(Clone, Copy, Debug, Default)]
struct SharesInTime {
    all: f64,
    worst_zone: f64,
    worst_gateways: f64,
}

fn shares_in_time(demand: f64, peaks: bool, demand_reported: bool) -> SharesInTime {
    let mut shares = SharesInTime::default();
    for seed in 1..=SEEDS {
        let results = Simulation::new(load(demand, peaks, demand_reported), seed).run(SIMULATED_MS);
        let zones = results.by_zone().into_iter();
        shares.all += results.share_in_time() / SEEDS as f64;
        shares.worst_zone += zones.fold(1.0, f64::min) / SEEDS as f64;
        shares.worst_gateways += results.worst_gateways() / SEEDS as f64;
    }
    println!("{demand} of the slots, peaks {peaks}, demand told {demand_reported}: {shares:?}");
    shares
}

#[test]
fn reported_demand_evens_out_gateways_and_zones() {
    // In peaks the demand is 1.03 and 1.22 of all slots.
    for (demand, peaks) in [(0.55, true), (0.65, true), (0.95, false), (1.1, false)] {
        let by_running = shares_in_time(demand, peaks, false);
        let by_demand = shares_in_time(demand, peaks, true);
        assert!(by_demand.worst_zone >= by_demand.all - 0.05, "{demand}");
        assert!(by_demand.worst_gateways >= by_demand.all - 0.15, "{demand}");
        assert!(by_demand.worst_zone > by_running.worst_zone, "{demand}");
        assert!(
            by_demand.worst_gateways > by_running.worst_gateways,
            "{demand}"
        );
        // The overall share drops little.
        assert!(by_demand.all >= by_running.all - 0.02, "{demand}");
    }
}

fn table() -> EngineTable {
    let mut table = EngineTable::new("near".into(), 1);
    table.set_gateways(GATEWAYS as u32);
    for number in 1..=10 {
        let facts = EngineFacts {
            id: format!("e{number}"),
            service: "s".to_owned(),
            address: ([127, 0, 0, number], 80).into(),
            zone: "near".into(),
            slots: 8,
            version: None,
        };
        table.add_engine(NodeId(1), facts, Timestamp::ZERO);
    }
    table.serve(["s".to_owned()].into_iter());
    table
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn demand(gateways: u32, waiting: u32, arrivals_per_second: u64) -> ServiceDemand {
    ServiceDemand {
        service: "s".to_owned(),
        gateways,
        waiting,
        asked: arrivals_per_second * 1_000,
    }
}

const RELAY: NodeId = NodeId(1_000);

#[test]
fn shares_follow_waiting_and_arriving_requests() {
    let mut table = table();
    // 15 requests of other gateways wait or arrive within 150 ms.
    table.note_demands(RELAY, vec![demand(35, 12, 20)], at(0));
    // This gateway has just started.
    table.start_waiting("s");
    let part = table
        .share_by_demand("s", at(0))
        .expect("demand is reported");
    assert!((part - 1.0 / 16.0).abs() < 0.001, "{part}");
    table.start_waiting("s");
    table.start_waiting("s");
    let part = table
        .share_by_demand("s", at(0))
        .expect("demand is reported");
    assert!((part - 3.0 / 18.0).abs() < 0.001, "{part}");
    for _ in 0..3 {
        table.stop_waiting("s");
    }
    let own = table.demands(at(0));
    assert_eq!(own, [demand(1, 0, 0)]);
}

#[test]
fn silent_gateways_count_with_average_demand() {
    let mut table = table();
    table.note_demands(RELAY, vec![demand(7, 7, 0)], at(0));
    let part = table
        .share_by_demand("s", at(0))
        .expect("demand is reported");
    assert!((part - 1.0 / 36.0).abs() < 0.001, "{part}");
}

/// Returns how many requests find an engine at once, where other gateways use half of all
/// slots.
fn count_starts(table: &mut EngineTable, at_ms: u64) -> usize {
    let shares = (1..=10).map(|number| WorkShare {
        engine: format!("e{number}"),
        requests: 4,
        unread_tokens: 0,
        batch: 0,
        failing: 0,
        answering: 0,
        errors: 0,
        answers: 0,
        paced: 0,
        paces: 0,
    });
    let shares: Vec<WorkShare> = shares.collect();
    table.note_shares(RELAY, &shares, at(at_ms));
    let tried = BTreeSet::new();
    let pick = Pick {
        service: "s",
        class: WorkClass::Online,
        standing: Standing::InTime {
            left: Duration::from_millis(240),
        },
        prompt: PromptCost::default(),
        tried: &tried,
        suspect: false,
        version: None,
    };
    let mut started = 0;
    while let Ok(picked) = table.pick(&pick, at(at_ms)) {
        table.started(&picked.facts.id, WorkClass::Online, 0, at(at_ms));
        started += 1;
    }
    started
}

#[test]
fn shares_follow_running_requests_without_demand_reports() {
    let kept = Duration::from_secs(1);
    let mut silent = table();
    silent.note_slot_time("s", kept);
    assert!(!silent.has_demand_reports(at(0)));
    assert_eq!(silent.share_by_demand("s", at(0)), None);
    let by_running = count_starts(&mut silent, 1_200);
    // Demand reports that have expired, as when a relay fell silent, or of other services.
    let mut cut_off = table();
    cut_off.note_slot_time("s", kept);
    cut_off.note_demands(RELAY, vec![demand(35, 1, 0)], at(0));
    let elsewhere = ServiceDemand {
        service: "other".to_owned(),
        ..demand(35, 9, 9)
    };
    cut_off.note_demands(NodeId(1_001), vec![elsewhere], at(1_199));
    assert!(cut_off.has_demand_reports(at(1_200)));
    assert_eq!(cut_off.share_by_demand("s", at(1_200)), None);
    assert_eq!(count_starts(&mut cut_off, 1_200), by_running);
    // If other gateways want little, this gateway's share is larger.
    let mut reported = table();
    reported.note_slot_time("s", kept);
    reported.note_demands(RELAY, vec![demand(35, 1, 0)], at(1_200));
    assert!(count_starts(&mut reported, 1_200) > by_running);
}

#[test]
fn relayed_demand_does_not_grow_with_gateways() {
    let mut relays = [DemandRelay::default(), DemandRelay::default()];
    for gateway in 0..100 {
        let relay = &mut relays[gateway as usize % 2];
        let reported = vec![demand(1, gateway, 1)];
        relay.note(NodeId(gateway), ReportSource::Gateway, reported, at(0));
    }
    let [near, far] = &mut relays;
    let sum = far.of_gateways();
    assert_eq!(sum, [demand(50, (1..100).step_by(2).sum(), 50)]);
    near.note(RELAY, ReportSource::Relay, sum, at(0));
    let by_gateway = near.by_gateway();
    assert_eq!(by_gateway.len(), 50);
    let all: u32 = (0..100).sum();
    for (gateway, others) in by_gateway {
        assert_eq!(others, [demand(99, all - gateway.0, 99)]);
    }
    near.expire(at(1_200));
    assert!(near.by_gateway().is_empty());
}

#[test]
fn report_without_later_fields_is_decoded() {
    // Encoded by a node that knows only the service and gateways fields.
    let bytes = [0x82, 0x61, b's', 0x05];
    let reported: ServiceDemand = minicbor::decode(&bytes).expect("it is decoded");
    assert_eq!(reported, demand(5, 0, 0));
}
