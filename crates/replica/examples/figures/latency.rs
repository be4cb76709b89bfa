//! Latency of writes and reads, sequential and concurrent.

use std::collections::VecDeque;
use std::error::Error;
use std::time::{Duration, Instant};

use molespan_state::control::ControlQuery;
use molespan_types::{ConfigVersion, GroupId};

use crate::changes::intent;
use crate::fleet::{Client, Fleet, reply};

const WRITES: usize = 4_000;
const AT_ONCE: [usize; 3] = [1, 16, 256];

pub fn measure() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(|settings| settings.job_groups = 1)?;
    let client = fleet.client(GroupId::CONTROL)?;
    let leader = fleet.wait_for_leader(GroupId::CONTROL)?;
    let syncs = || fleet.status(leader).map_or(0, |status| status.log_syncs);
    for at_once in AT_ONCE {
        let before = syncs();
        let began = Instant::now();
        // Repeats the same intent, because a resend is a write as well.
        let latencies = run(at_once, || client.propose(intent(1)))?;
        let synced = (syncs() - before).max(1);
        report("writes", at_once, latencies, began.elapsed());
        println!("  {:.1} writes per sync", WRITES as f64 / synced as f64);
    }
    for at_once in AT_ONCE {
        let began = Instant::now();
        let latencies = run(at_once, || read(&client))?;
        report("linearizable reads", at_once, latencies, began.elapsed());
    }
    Ok(())
}

fn read(client: &Client) -> std::sync::mpsc::Receiver<crate::process::Answer> {
    let after = ConfigVersion(u64::MAX);
    client.query(molespan_state::encode(&ControlQuery::ConfigurationAfter {
        after,
    }))
}

/// Runs requests with up to `at_once` in flight; returns their latencies.
fn run(
    at_once: usize,
    send: impl Fn() -> std::sync::mpsc::Receiver<crate::process::Answer>,
) -> Result<Vec<Duration>, Box<dyn Error>> {
    let mut under_way = VecDeque::new();
    let mut latencies = Vec::with_capacity(WRITES);
    for _ in 0..WRITES {
        if under_way.len() >= at_once {
            finish_oldest(&mut under_way, &mut latencies)?;
        }
        under_way.push_back((Instant::now(), send()));
    }
    while !under_way.is_empty() {
        finish_oldest(&mut under_way, &mut latencies)?;
    }
    Ok(latencies)
}

type UnderWay = VecDeque<(Instant, std::sync::mpsc::Receiver<crate::process::Answer>)>;

fn finish_oldest(
    under_way: &mut UnderWay,
    latencies: &mut Vec<Duration>,
) -> Result<(), Box<dyn Error>> {
    if let Some((began, answer)) = under_way.pop_front() {
        reply(&answer)?;
        latencies.push(began.elapsed());
    }
    Ok(())
}

fn report(what: &str, at_once: usize, mut latencies: Vec<Duration>, took: Duration) {
    latencies.sort_unstable();
    let at = |share: f64| {
        let position = (latencies.len() as f64 * share) as usize;
        latencies[position.min(latencies.len() - 1)].as_secs_f64() * 1_000.0
    };
    let rate = latencies.len() as f64 / took.as_secs_f64();
    println!(
        "{what}, {at_once} at once: p50 {:.2} ms, p99 {:.2} ms, {rate:.0}/s",
        at(0.50),
        at(0.99)
    );
}
