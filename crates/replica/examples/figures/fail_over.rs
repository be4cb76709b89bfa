//! Time without a leader after the leader is killed.

use std::error::Error;
use std::time::Instant;

use molespan_types::GroupId;

use crate::fleet::Fleet;

const ROUNDS: usize = 10;

pub fn measure() -> Result<(), Box<dyn Error>> {
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut fleet = Fleet::start(|settings| settings.job_groups = 1)?;
        let tick = fleet.settings(molespan_types::NodeId(1)).tick;
        let leader = fleet.wait_for_leader(GroupId::CONTROL)?;
        let started = Instant::now();
        fleet.stop(leader);
        fleet.wait_for_leader(GroupId::CONTROL)?;
        times.push(started.elapsed().as_secs_f64() / tick.as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    println!(
        "fail-over in ticks of 50 ms, {ROUNDS} kills: shortest {:.0}, median {:.0}, longest {:.0}",
        times[0],
        times[ROUNDS / 2],
        times[ROUNDS - 1]
    );
    Ok(())
}
