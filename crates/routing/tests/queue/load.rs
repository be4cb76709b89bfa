//! What callers experience at the queue under load.

use crate::world::{Load, Policy, Simulation, simulate};

const POLICIES: [Policy; 5] = [
    Policy::Unordered,
    Policy::OldestFirst,
    Policy::NewestFirst,
    Policy::Queue,
    Policy::QueueBySize,
];
/// Requests per second that 720 slots serve if each is held for 0.96 s.
const CAPACITY: f64 = 750.0;
/// Fraction of the in-time requests that the slots allow for that has to be reached.
const REQUIRED: f64 = 0.95;

/// Peaks of 1.3 times the capacity, for 2.4 s of every 5.8 s.
fn peaks(ms: u64) -> f64 {
    match ms % 5_800 {
        0..2_400 => CAPACITY * 1.3,
        _ => CAPACITY * 0.2,
    }
}

/// Peaks just within the capacity.
fn peaks_that_fit(ms: u64) -> f64 {
    match ms % 5_800 {
        0..2_400 => CAPACITY * 0.95,
        _ => CAPACITY * 0.2,
    }
}

fn overload(_ms: u64) -> f64 {
    CAPACITY * 1.3
}

fn low_load(_ms: u64) -> f64 {
    CAPACITY * 0.7
}

/// Load of one of 120 gateways under the peaks.
fn peaks_of_one_gateway(ms: u64) -> f64 {
    peaks(ms) / 120.0
}

fn load(rate: fn(u64) -> f64) -> Load {
    Load {
        slots: 720,
        holds_ms: 960.0,
        rate,
        for_ms: 23_200,
        stopped_ms: (0, 0),
        tenants: 0,
        first_tenant_share: 0.0,
        lower_rank: 0.0,
        counted_from_ms: 0,
        seed: 1,
    }
}

/// Runs a load under every policy and prints the results.
fn simulate_all(load: &Load) -> [Simulation; 5] {
    POLICIES.map(|policy| {
        let simulation = simulate(policy, load);
        let all = &simulation.all;
        println!(
            "{policy:?}: in time {:.3}, late {:.3}, refused {:.3} after waiting {:.0} ms on average, at most {:.0} ms",
            all.in_time_share(),
            f64::from(all.late) / f64::from(all.arrived),
            f64::from(all.refused) / f64::from(all.arrived),
            all.refused_wait_ms(),
            all.longest_refused_ms,
        );
        simulation
    })
}

#[test]
fn peaks_shorter_than_patience_cause_no_refusal_and_fill_slots_with_in_time_requests() {
    let [unordered, oldest, _, queue, by_size] = simulate_all(&load(peaks));
    assert_eq!(queue.all.refused + by_size.all.refused, 0);
    // In a peak: what the slots serve, and the requests in time that wait at its end. In
    // a lull: all requests.
    let arrived = 4.0 * (CAPACITY * 1.3 * 2.4 + CAPACITY * 0.2 * 3.4);
    let allowed = 4.0 * (CAPACITY * (2.4 + 0.24) + CAPACITY * 0.2 * 3.4) / arrived;
    assert!(queue.all.in_time_share() >= REQUIRED * allowed);
    assert!(queue.all.in_time >= unordered.all.in_time.max(oldest.all.in_time));
    assert!(by_size.all.in_time >= queue.all.in_time);
}

#[test]
fn after_a_stop_of_all_engines_requests_still_in_time_go_first() {
    let stop = Load {
        stopped_ms: (12_800, 13_560),
        ..load(peaks_that_fit)
    };
    let [unordered, oldest, _, queue, by_size] = simulate_all(&stop);
    for simulation in [&queue, &by_size] {
        assert_eq!(
            simulation.all.refused, 0,
            "all can be served before their callers leave"
        );
        assert!(simulation.all.in_time >= unordered.all.in_time.max(oldest.all.in_time));
    }
}

#[test]
fn sustained_overload_refuses_excess_requests_long_before_their_patience_ends() {
    let [_, _, _, queue, by_size] = simulate_all(&load(overload));
    for simulation in [&queue, &by_size] {
        assert!(simulation.all.in_time_share() >= REQUIRED / 1.3);
        // A quarter of the maximum wait.
        assert!(simulation.all.refused_wait_ms() <= 875.0);
        assert!(simulation.all.longest_refused_ms < 3_500.0);
    }
}

#[test]
fn a_few_requests_per_second_at_one_gateway_of_many_suffice_for_forecasts() {
    let mut arrived = 0;
    let mut refused = [0; 2];
    for seed in 0..40 {
        let one = Load {
            slots: 6,
            rate: peaks_of_one_gateway,
            seed,
            ..load(peaks)
        };
        let simulations =
            [Policy::Unordered, Policy::QueueBySize].map(|policy| simulate(policy, &one));
        arrived += simulations[1].all.arrived;
        for (refused, simulation) in refused.iter_mut().zip(&simulations) {
            *refused += simulation.all.refused;
        }
    }
    println!("refused of {arrived}: {refused:?}");
    // Nearly all requests could be served before their callers leave.
    let wrongly = f64::from(refused[1].saturating_sub(refused[0]));
    assert!(wrongly <= 0.01 * f64::from(arrived));
}

#[test]
fn a_flooding_tenant_takes_no_capacity_from_the_others() {
    let flood = Load {
        tenants: 20,
        first_tenant_share: 0.6,
        ..load(overload)
    };
    let [unordered, .., by_size] = simulate_all(&flood);
    let others = |simulation: &Simulation| {
        let others = &simulation.by_tenant[1..];
        let in_time: u32 = others.iter().map(|tally| tally.in_time).sum();
        let arrived: u32 = others.iter().map(|tally| tally.arrived).sum();
        f64::from(in_time) / f64::from(arrived)
    };
    println!(
        "others: {:.3} unordered, {:.3}",
        others(&unordered),
        others(&by_size)
    );
    assert!(others(&by_size) >= 0.99);
    let all = by_size.all.in_time_share();
    assert!(all >= REQUIRED / 1.3, "{all}");
}

#[test]
fn higher_ranked_requests_are_in_time_when_not_all_can_be() {
    let ranked = Load {
        lower_rank: 0.5,
        ..load(overload)
    };
    let simulation = simulate(Policy::QueueBySize, &ranked);
    let [high, low] = simulation.by_rank;
    assert!(high.in_time_share() >= 0.99, "{high:?}");
    // Capacity left over by the higher rank: 0.35 of the total, for 0.65 that arrive.
    assert!(low.in_time_share() >= REQUIRED * 0.35 / 0.65, "{low:?}");
}

#[test]
fn loss_of_all_engines_under_a_full_queue_refuses_requests_on_arrival() {
    let gone = Load {
        stopped_ms: (5_000, 60_000),
        for_ms: 16_000,
        counted_from_ms: 9_000,
        ..load(overload)
    };
    let simulation = simulate(Policy::QueueBySize, &gone);
    let all = &simulation.all;
    assert_eq!(all.refused, all.arrived);
    assert!(
        f64::from(all.at_once) >= 0.9 * f64::from(all.refused),
        "{all:?}"
    );
    assert_eq!(
        all.told_to_retry, 0,
        "no caller is told to retry without expected capacity"
    );
}

#[test]
fn one_second_after_engines_return_callers_notice_no_effect_of_the_stop() {
    let back = Load {
        stopped_ms: (5_000, 12_000),
        counted_from_ms: 13_000,
        ..load(low_load)
    };
    let simulation = simulate(Policy::QueueBySize, &back);
    let all = &simulation.all;
    assert!(all.in_time_share() >= 0.99, "{all:?}");
    assert_eq!(all.refused, 0);
}
