//! Simulation of the batch policy: gateways, batch owners and emulated engines on
//! virtual time, under the load of the archive or the lab.
//!
//! Every arm of the experiment gets the same online arrivals. For each arm, the program
//! prints interference (p99 time to first token relative to that without batch load)
//! and idle utilization (batch items per second relative to the capacity of idle
//! engines).
//!
//! `cargo run --release -p molespan-routing --example policy -- archive 60 3`
//! runs 60 s of virtual time for each of 3 seeds.

mod arms;
mod gateway;
mod jobs;
mod load;
mod report;
mod world;

use std::time::Duration;

use arms::{Arm, arms};
use load::Profile;
use report::{Figures, print_report};
use world::World;

/// Virtual time before figures are recorded.
const WARM_UP: Duration = Duration::from_secs(10);
const DEFAULT_SECONDS: u64 = 60;
const DEFAULT_SEEDS: u64 = 3;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_else(|| "archive".to_owned());
    let Some(profile) = Profile::named(&name) else {
        eprintln!("unknown profile {name}; expected archive or lab");
        std::process::exit(2);
    };
    let seconds = number(arguments.next(), DEFAULT_SECONDS);
    let seeds = number(arguments.next(), DEFAULT_SEEDS);
    let only = arguments.next();
    let measured = Duration::from_secs(seconds);
    let chosen: Vec<Arm> = arms()
        .into_iter()
        .filter(|arm| only.as_ref().is_none_or(|only| arm.is_named(only)))
        .collect();
    let figures: Vec<Figures> = std::thread::scope(|scope| {
        let running: Vec<_> = chosen
            .iter()
            .map(|arm| scope.spawn(|| run(&profile, arm, measured, seeds)))
            .collect();
        let joined = running.into_iter().map(|run| run.join());
        joined
            .map(|run| run.expect("an arm does not panic"))
            .collect()
    });
    print_report(&profile, &chosen, &figures);
}

fn number(argument: Option<String>, default: u64) -> u64 {
    argument
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Returns the figures of one arm over all seeds.
fn run(profile: &Profile, arm: &Arm, measured: Duration, seeds: u64) -> Figures {
    let mut figures = Figures::default();
    for seed in 1..=seeds {
        let world = World::new(profile, arm, seed, WARM_UP, WARM_UP + measured);
        figures.add(world.run());
    }
    figures
}
