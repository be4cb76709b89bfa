//! Checks that a non-repeatable request or item runs at most once.

use molespan_types::{Digest, Timestamp, digest_of};

use super::Findings;
use crate::world::World;

pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    let mut prompts: Vec<String> = Vec::new();
    for record in history.jobs.values().filter(|one| !one.plan.repeatable) {
        prompts.extend((0..record.plan.items).map(|item| record.plan.prompt(item)));
    }
    for arrival in history.arrivals.values() {
        if arrival.plan.key.is_some() {
            prompts.push(arrival.plan.prompt.clone());
        }
    }
    prompts.sort();
    prompts.dedup();
    for prompt in prompts {
        let digest = digest_of(prompt.as_bytes());
        let runs = runs(world, digest);
        if runs > 1 {
            let message = format!("{prompt} ran {runs} times");
            findings.add(last_start(world, digest), message);
        }
    }
}

/// Returns how many times a prompt entered a running batch, on any engine.
pub(super) fn runs(world: &World, prompt: Digest) -> u32 {
    world
        .engines
        .values()
        .map(|engine| engine.started(prompt))
        .sum()
}

/// Returns when a prompt last entered a running batch.
pub(super) fn last_start(world: &World, prompt: Digest) -> Timestamp {
    let starts = world.context.history.starts.iter();
    let starts = starts.filter(|start| start.prompt == prompt);
    starts.map(|start| start.at).max().unwrap_or_default()
}
