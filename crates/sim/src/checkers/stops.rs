//! Checks that a graceful shutdown does not cut off requests without reporting
//! them.

use super::Findings;
use crate::history::ArrivalEnd;
use crate::world::World;

pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    let cut = history.arrivals.values().filter_map(|arrival| {
        let (at, end) = arrival.end.as_ref()?;
        let cut = *end == ArrivalEnd::Broken { planned_stop: true };
        cut.then_some((*at, arrival))
    });
    let mut cut: Vec<_> = cut.collect();
    cut.sort_by_key(|(at, _)| *at);
    for (at, arrival) in cut.into_iter().skip(history.reported_cut_off as usize) {
        let message = format!(
            "the planned stop of gateway {} cut off {}",
            arrival.gateway, arrival.plan.prompt
        );
        findings.add(at, message);
    }
}
