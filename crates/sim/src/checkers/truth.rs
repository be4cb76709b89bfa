//! Checks that the replies to callers are correct.

use std::collections::BTreeMap;

use molespan_emulator::expected_answer;
use molespan_types::{RunOutcome, digest_of};

use super::Findings;
use super::once::{last_start, runs};
use crate::history::{ArrivalEnd, ArrivalRecord};
use crate::world::World;

/// Checks that a request refused as not run never runs. All submissions of one
/// non-repeatable request share a prompt, so they can only be judged together.
pub(super) fn check_not_run(world: &World, findings: &mut Findings) {
    let mut by_prompt: BTreeMap<&str, Vec<&ArrivalRecord>> = BTreeMap::new();
    for arrival in world.context.history.arrivals.values() {
        let prompt = arrival.plan.prompt.as_str();
        by_prompt.entry(prompt).or_default().push(arrival);
    }
    for (prompt, arrivals) in by_prompt {
        let refused = |arrival: &&ArrivalRecord| {
            let end = arrival.end.as_ref().map(|(_, end)| end);
            end == Some(&ArrivalEnd::Refused(RunOutcome::NotRun))
        };
        let digest = digest_of(prompt.as_bytes());
        if arrivals.iter().all(refused) && runs(world, digest) > 0 {
            let message = format!("{prompt} was refused as not run, but ran");
            findings.add(last_start(world, digest), message);
        }
    }
}

/// Checks that an answer is the complete answer to its own request.
pub(super) fn check_answers(world: &World, findings: &mut Findings) {
    for arrival in world.context.history.arrivals.values() {
        let Some((at, ArrivalEnd::Answered(text))) = &arrival.end else {
            continue;
        };
        let plan = &arrival.plan;
        if *text != expected_answer(&plan.prompt, plan.tokens) {
            let message = format!(
                "{} got a wrong or incomplete answer instead of its own",
                plan.prompt
            );
            findings.add(*at, message);
        }
    }
}
