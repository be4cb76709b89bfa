//! Latency of writes and reads, sequential and concurrent.

use std::collections::VecDeque;
use std::error::Error;
use std::time::{Duration, Instant};

use molespan_state::control::ControlQuery;
use molespan_types::{ConfigVersion, GroupId};

use crate::changes::intent;
use crate::fleet::{Client, Fleet, reply};

const WRITES: usize = 4_000;
const CONCURRENCY: [usize; 3] = [1, 16, 256];

pub fn measure() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(|settings| settings.job_groups = 1)?;
    let client = fleet.client(GroupId::CONTROL)?;
    let leader = fleet.wait_for_leader(GroupId::CONTROL)?;
    let syncs = || fleet.status(leader).map_or(0, |status| status.log_syncs);
    for concurrency in CONCURRENCY {
        let before = syncs();
        let started = Instant::now();
        // Repeats the same intent, because a resend is a write as well.
        let latencies = run(concurrency, || client.propose(intent(1)))?;
        let synced = (syncs() - before).max(1);
        report("writes", concurrency, latencies, started.elapsed());
        println!("  {:.1} writes per sync", WRITES as f64 / synced as f64);
    }
    for concurrency in CONCURRENCY {
        let started = Instant::now();
        let latencies = run(concurrency, || read(&client))?;
        report(
            "linearizable reads",
            concurrency,
            latencies,
            started.elapsed(),
        );
    }
    Ok(())
}

fn read(client: &Client) -> std::sync::mpsc::Receiver<crate::process::Answer> {
    let after = ConfigVersion(u64::MAX);
    client.query(molespan_state::encode(&ControlQuery::ConfigurationAfter {
        after,
    }))
}

/// Runs requests with up to `concurrency` in flight; returns their latencies.
fn run(
    concurrency: usize,
    send: impl Fn() -> std::sync::mpsc::Receiver<crate::process::Answer>,
) -> Result<Vec<Duration>, Box<dyn Error>> {
    let mut in_flight = VecDeque::new();
    let mut latencies = Vec::with_capacity(WRITES);
    for _ in 0..WRITES {
        if in_flight.len() >= concurrency {
            finish_oldest(&mut in_flight, &mut latencies)?;
        }
        in_flight.push_back((Instant::now(), send()));
    }
    while !in_flight.is_empty() {
        finish_oldest(&mut in_flight, &mut latencies)?;
    }
    Ok(latencies)
}

type InFlight = VecDeque<(Instant, std::sync::mpsc::Receiver<crate::process::Answer>)>;

fn finish_oldest(
    in_flight: &mut InFlight,
    latencies: &mut Vec<Duration>,
) -> Result<(), Box<dyn Error>> {
    if let Some((started, answer)) = in_flight.pop_front() {
        reply(&answer)?;
        latencies.push(started.elapsed());
    }
    Ok(())
}

fn report(what: &str, concurrency: usize, mut latencies: Vec<Duration>, took: Duration) {
    latencies.sort_unstable();
    let at = |share: f64| {
        let position = (latencies.len() as f64 * share) as usize;
        latencies[position.min(latencies.len() - 1)].as_secs_f64() * 1_000.0
    };
    let rate = latencies.len() as f64 / took.as_secs_f64();
    println!(
        "{what}, {concurrency} at once: p50 {:.2} ms, p99 {:.2} ms, {rate:.0}/s",
        at(0.50),
        at(0.99)
    );
}
