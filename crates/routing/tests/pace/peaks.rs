//! Tests that batch work fills the capacity that online work leaves, and that preemption
//! hits the run with the lowest preemption cost.

use std::time::Duration;

use molespan_routing::dispatch::{EngineTable, PreemptionCost, Urgency, WorkClass, WorkShare};

use super::fleet::{Fleet, SimulationConfig};
use super::{BOTH, RELAY, config, gateway, now};

/// Steady online work beside batch work for every slot.
fn lull(seed: u64) -> SimulationConfig {
    SimulationConfig {
        gateways: 117,
        engines: 89,
        peak: 0.21,
        ends: 8_000_000,
        ..config(BOTH, seed)
    }
}

#[test]
fn online_requests_find_free_slots_and_batch_uses_the_rest() {
    let config = lull(1);
    let slots = config.engines as f64 * 8.0;
    let seconds = config.ends as f64 / 1e6;
    let all = Fleet::new(config).run();
    super::print_outcome("lull", &all);
    // One run that makes room for the request, and one that another gateway started there
    // before it observed the request.
    let cuts = f64::from(all.cuts) / f64::from(all.arrived);
    assert!(cuts < 2.0, "{cuts} runs preempted per online request");
    let good = f64::from(all.in_time) / f64::from(all.ended);
    assert!(good > 0.98, "{good}");
    // With the simulated paces, an event takes 1.23 times 50 ms there on average.
    let made = (all.online_events + all.batch_events) as f64;
    let full = slots * seconds / (0.050 * 1.23 * 1.1);
    assert!(made > full * 0.85, "{made} of {full}");
}

/// A gateway that has measured slot times, and observes `others` online requests of other
/// gateways.
fn beside_online(others: u32) -> EngineTable {
    let mut table = gateway();
    table.ended("e2", WorkClass::Online);
    for _ in 0..100 {
        table.note_slot_time("s", Duration::from_millis(600));
    }
    let share = WorkShare {
        engine: "e1".to_owned(),
        requests: others,
        ..WorkShare::default()
    };
    table.note_shares(RELAY, &[share], now(0));
    table
}

#[test]
fn headroom_follows_online_requests() {
    let mut table = beside_online(4);
    // A slot is held for 600 ms, and a start is observed within 150 ms.
    assert!((table.reserved_for_online("s", now(0)) - 1.0).abs() < 1e-6);
    assert!((table.batch_headroom("s", now(0)) - 11.0).abs() < 1e-6);
    table.note_shares(RELAY, &[], now(100));
    assert_eq!(table.reserved_for_online("s", now(100)), 0.0);
    assert_eq!(table.batch_headroom("s", now(100)), 16.0);
    // Batch work reserves nothing for itself.
    let batch = WorkShare {
        engine: "e1".to_owned(),
        requests: 4,
        batch: 4,
        ..WorkShare::default()
    };
    table.note_shares(RELAY, &[batch], now(200));
    assert_eq!(table.reserved_for_online("s", now(200)), 0.0);
}

#[test]
fn silent_relay_keeps_no_headroom() {
    let table = beside_online(8);
    assert!(table.reserved_for_online("s", now(1_100)) > 1.9);
    assert_eq!(table.reserved_for_online("s", now(1_300)), 0.0);
    assert_eq!(table.batch_headroom("s", now(1_300)), 16.0);
}

#[test]
fn short_requests_keep_no_headroom() {
    let mut table = gateway();
    table.note_slot_time("s", Duration::from_millis(20));
    assert_eq!(table.reserved_for_online("s", now(0)), 0.0);
    // Nor before any slot time was measured.
    assert_eq!(gateway().reserved_for_online("s", now(0)), 0.0);
}

#[test]
fn run_with_least_loss_is_preempted_first() {
    let at = 1_000_000;
    let cost = |due_in: Option<u64>, read_again, number| {
        let urgency = Urgency::of(due_in.map(|due_in| at + due_in), at, 0);
        PreemptionCost::of(urgency, at, read_again, number)
    };
    let late = PreemptionCost::of(Urgency::of(Some(at - 1), at, 0), at, 9_000, 1);
    let never_due = cost(None, 9_000, 1);
    let later = cost(Some(60_000), 9_000, 1);
    let little = cost(Some(9_000), 300, 1);
    let latest = cost(Some(9_000), 2_000, 8);
    let much = cost(Some(9_500), 2_000, 1);
    let soon = cost(Some(500), 300, 9);
    let order = [late, never_due, later, little, latest, much, soon];
    assert!(order.is_sorted(), "{order:?}");
}

#[test]
fn own_run_is_preempted_only_for_own_request() {
    for _ in 0..20 {
        let mut table = gateway();
        for _ in 0..4 {
            table.started("e1", WorkClass::Batch, 0, now(0));
        }
        let others = WorkShare {
            engine: "e1".to_owned(),
            requests: 4,
            batch: 4,
            ..WorkShare::default()
        };
        table.note_shares(RELAY, std::slice::from_ref(&others), now(0));
        assert_eq!(table.batch_to_preempt(now(1)), []);
        // A request of this gateway finds no slot: one run is preempted at once, whatever
        // is drawn.
        table.started("e1", WorkClass::Online, 0, now(2));
        assert_eq!(table.batch_to_preempt(now(2)), [("e1".to_owned(), 1)]);
        table.ended("e1", WorkClass::Batch);
        assert_eq!(table.batch_to_preempt(now(3)), []);
        // A request that finds a slot preempts nothing.
        table.ended("e1", WorkClass::Batch);
        table.started("e1", WorkClass::Online, 0, now(4));
        assert_eq!(table.batch_to_preempt(now(4)), []);
    }
}
