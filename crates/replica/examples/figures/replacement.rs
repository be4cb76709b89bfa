//! Time until a lost replica is replaced by its new incarnation.

use std::error::Error;
use std::time::Instant;

use molespan_types::{GroupId, NodeId};

use crate::changes::confirm_all;
use crate::fleet::Fleet;
use crate::items::run_job;

const CHANGES: u64 = 1_000;

pub fn measure() -> Result<(), Box<dyn Error>> {
    for with_job in [false, true] {
        let mut fleet = Fleet::start(|settings| settings.job_groups = 1)?;
        confirm_all(&fleet.client(GroupId::CONTROL)?, 1..=CHANGES)?;
        if with_job {
            run_job(&fleet.client(GroupId(1))?, 1)?;
        }
        let leaders = [GroupId::CONTROL, GroupId(1)].map(|group| fleet.wait_for_leader(group));
        let mut nodes = (1..=3).map(NodeId);
        let lost = nodes.find(|node| leaders.iter().flatten().all(|leader| leader != node));
        let lost = lost.ok_or("every node leads")?;
        let payload: u64 = fleet.status(lost).map_or(0, |status| {
            let groups = status.groups.iter();
            groups.map(|group| group.payload_bytes).sum()
        });
        let started = Instant::now();
        fleet.lose_disk(lost)?;
        fleet.wait_until_all_vote()?;
        println!(
            "replacement after {CHANGES} changes and {payload} payload bytes: {:.2?}",
            started.elapsed()
        );
    }
    Ok(())
}
