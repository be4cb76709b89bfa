//! What callers experience at the queue under load.

use crate::world::{Load, Way, World, play};

const WAYS: [Way; 5] = [
    Way::Unordered,
    Way::OldestFirst,
    Way::NewestFirst,
    Way::Queue,
    Way::QueueBySize,
];
/// Requests per second that 720 slots serve if each is held for 0.96 s.
const SERVED: f64 = 750.0;
/// Fraction of the in-time requests that the slots allow for that has to be reached.
const REACHED: f64 = 0.95;

/// Peaks of 1.3 times the capacity, for 2.4 s of every 5.8 s.
fn peaks(ms: u64) -> f64 {
    match ms % 5_800 {
        0..2_400 => SERVED * 1.3,
        _ => SERVED * 0.2,
    }
}

/// Peaks just within the capacity.
fn peaks_that_fit(ms: u64) -> f64 {
    match ms % 5_800 {
        0..2_400 => SERVED * 0.95,
        _ => SERVED * 0.2,
    }
}

fn endless(_ms: u64) -> f64 {
    SERVED * 1.3
}

fn easy(_ms: u64) -> f64 {
    SERVED * 0.7
}

/// Load of one of 120 gateways under the peaks.
fn peaks_at_one(ms: u64) -> f64 {
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
        first_sends: 0.0,
        lower_rank: 0.0,
        counted_from_ms: 0,
        seed: 1,
    }
}

/// Runs a load under every policy and prints the results.
fn play_all(load: &Load) -> [World; 5] {
    WAYS.map(|way| {
        let world = play(way, load);
        let all = &world.all;
        println!(
            "{way:?}: in time {:.3}, late {:.3}, refused {:.3} after waiting {:.0} ms on average, at most {:.0} ms",
            all.in_time_share(),
            f64::from(all.late) / f64::from(all.came),
            f64::from(all.refused) / f64::from(all.came),
            all.refused_wait_ms(),
            all.longest_refused_ms,
        );
        world
    })
}

#[test]
fn peaks_shorter_than_patience_refuse_nobody_and_fill_slots_with_who_is_in_time() {
    let [unordered, oldest, _, queue, by_size] = play_all(&load(peaks));
    assert_eq!(queue.all.refused + by_size.all.refused, 0);
    // In a peak: what the slots serve, and the requests in time that wait at its end. In
    // a lull: all requests.
    let came = 4.0 * (SERVED * 1.3 * 2.4 + SERVED * 0.2 * 3.4);
    let allowed = 4.0 * (SERVED * (2.4 + 0.24) + SERVED * 0.2 * 3.4) / came;
    assert!(queue.all.in_time_share() >= REACHED * allowed);
    assert!(queue.all.in_time >= unordered.all.in_time.max(oldest.all.in_time));
    assert!(by_size.all.in_time >= queue.all.in_time);
}

#[test]
fn behind_a_stop_of_all_engines_who_can_still_be_in_time_goes_first() {
    let stop = Load {
        stopped_ms: (12_800, 13_560),
        ..load(peaks_that_fit)
    };
    let [unordered, oldest, _, queue, by_size] = play_all(&stop);
    for world in [&queue, &by_size] {
        assert_eq!(
            world.all.refused, 0,
            "all can be served before their callers leave"
        );
        assert!(world.all.in_time >= unordered.all.in_time.max(oldest.all.in_time));
    }
}

#[test]
fn under_lasting_overload_who_gets_no_turn_is_refused_long_before_its_patience_ends() {
    let [_, _, _, queue, by_size] = play_all(&load(endless));
    for world in [&queue, &by_size] {
        assert!(world.all.in_time_share() >= REACHED / 1.3);
        // A quarter of the maximum wait.
        assert!(world.all.refused_wait_ms() <= 875.0);
        assert!(world.all.longest_refused_ms < 3_500.0);
    }
}

#[test]
fn at_one_gateway_of_many_a_few_requests_a_second_tell_enough() {
    let mut came = 0;
    let mut refused = [0; 2];
    for seed in 0..40 {
        let one = Load {
            slots: 6,
            rate: peaks_at_one,
            seed,
            ..load(peaks)
        };
        let worlds = [Way::Unordered, Way::QueueBySize].map(|way| play(way, &one));
        came += worlds[1].all.came;
        for (refused, world) in refused.iter_mut().zip(&worlds) {
            *refused += world.all.refused;
        }
    }
    println!("refused of {came}: {refused:?}");
    // Nearly all requests could be served before their callers leave.
    let wrongly = f64::from(refused[1].saturating_sub(refused[0]));
    assert!(wrongly <= 0.01 * f64::from(came));
}

#[test]
fn a_tenant_that_floods_takes_nothing_from_the_others() {
    let flood = Load {
        tenants: 20,
        first_sends: 0.6,
        ..load(endless)
    };
    let [unordered, .., by_size] = play_all(&flood);
    let others = |world: &World| {
        let others = &world.by_tenant[1..];
        let in_time: u32 = others.iter().map(|tally| tally.in_time).sum();
        let came: u32 = others.iter().map(|tally| tally.came).sum();
        f64::from(in_time) / f64::from(came)
    };
    println!(
        "others: {:.3} unordered, {:.3}",
        others(&unordered),
        others(&by_size)
    );
    assert!(others(&by_size) >= 0.99);
    let all = by_size.all.in_time_share();
    assert!(all >= REACHED / 1.3, "{all}");
}

#[test]
fn who_ranks_higher_is_in_time_when_not_all_can_be() {
    let ranked = Load {
        lower_rank: 0.5,
        ..load(endless)
    };
    let world = play(Way::QueueBySize, &ranked);
    let [high, low] = world.by_rank;
    assert!(high.in_time_share() >= 0.99, "{high:?}");
    // Capacity left over by the higher rank: 0.35 of the total, for 0.65 that arrive.
    assert!(low.in_time_share() >= REACHED * 0.35 / 0.65, "{low:?}");
}

#[test]
fn engines_that_vanish_under_a_full_queue_leave_nobody_waiting_in_vain() {
    let gone = Load {
        stopped_ms: (5_000, 60_000),
        for_ms: 16_000,
        counted_from_ms: 9_000,
        ..load(endless)
    };
    let world = play(Way::QueueBySize, &gone);
    let all = &world.all;
    assert_eq!(all.refused, all.came);
    assert!(
        f64::from(all.at_once) >= 0.9 * f64::from(all.refused),
        "{all:?}"
    );
    assert_eq!(
        all.told_to_come, 0,
        "no caller is told to retry without expected capacity"
    );
}

#[test]
fn a_second_after_engines_are_back_callers_see_nothing_of_the_stop() {
    let back = Load {
        stopped_ms: (5_000, 12_000),
        counted_from_ms: 13_000,
        ..load(easy)
    };
    let world = play(Way::QueueBySize, &back);
    let all = &world.all;
    assert!(all.in_time_share() >= 0.99, "{all:?}");
    assert_eq!(all.refused, 0);
}
