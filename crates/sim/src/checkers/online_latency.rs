//! Checks that without faults an online request does not wait behind batch work.

use std::time::Duration;

use super::Findings;
use crate::scenario::CALM_BURST_AFTER;
use crate::world::World;

/// Longest time to the first token: the network round trip, one uninterruptible
/// engine step, and the step of the prompt itself. A batch item alone takes 2 s.
const MAX_FIRST_TOKEN_DELAY: Duration = Duration::from_millis(100);

pub(super) fn check(world: &World, findings: &mut Findings) {
    let calm = world.scenario.faults_end() + CALM_BURST_AFTER;
    for arrival in world.context.history.arrivals.values() {
        let calm = arrival.sent >= calm && arrival.plan.tenant.as_str() == "calm";
        if !calm {
            continue;
        }
        let Some(first) = arrival.first_token else {
            continue;
        };
        let after = first.since(arrival.sent);
        if after > MAX_FIRST_TOKEN_DELAY {
            let message = format!(
                "{} waited {} ms for its first token",
                arrival.plan.prompt,
                after.as_millis()
            );
            findings.add(first, message);
        }
    }
}
