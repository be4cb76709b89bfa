//! Bounded exhaustive exploration of a small group.
//!
//! From one start, every order of deliveries, losses, repetitions, timeouts,
//! proposals, slow disks and restarts within the [`Bounds`] is tried, breadth
//! first, on the same [`Replica`](crate::Replica) that daemons run. A message
//! is lost when it is never delivered. A broken invariant ends the search with
//! the shortest way there.

mod action;
mod check;
mod node;
mod start;
mod world;

use std::collections::HashSet;

pub use action::Action;
pub use check::Invariant;
use world::World;

/// Where a search starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nobody leads.
    Fresh,
    /// Replica 1 leads, and every replica has stored its first entry.
    Led,
    /// As before, and a new replica has caught up as a learner. The leader may
    /// put it in the place of the last voter, which is still there.
    Repairing,
}

/// How far a search goes. Each number counts over one whole path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Where the search starts.
    pub start: Start,
    /// Replicas of the group, all of them voters at first.
    pub replicas: u64,
    /// Ticks, each of which is an election timeout or a heartbeat.
    pub ticks: u32,
    /// Commands proposed.
    pub proposals: u32,
    /// Restarts; a replica that restarts loses what is not synced.
    pub restarts: u32,
    /// Messages delivered twice.
    pub repetitions: u32,
    /// Replicas that are lost with their disks.
    pub losses: u32,
    /// Whether a sync is a step of its own, so that others come between a write
    /// and its sync.
    pub slow_disk: bool,
    /// Whether elections begin with a pre-vote.
    pub pre_vote: bool,
    /// Most messages on their way; further ones are lost.
    pub max_in_flight: usize,
    /// Steps of the longest path.
    pub max_depth: u32,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl Default for Bounds {
    /// Three replicas, two timeouts and one restart with slow disks.
    fn default() -> Self {
        Self {
            start: Start::Fresh,
            replicas: 3,
            ticks: 2,
            proposals: 0,
            restarts: 1,
            repetitions: 0,
            losses: 0,
            slow_disk: true,
            pre_vote: false,
            max_in_flight: 4,
            max_depth: 32,
            max_states: 1_000_000,
        }
    }
}

/// A broken invariant and how to get there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was broken.
    pub invariant: Invariant,
    /// The shortest sequence of steps that breaks it.
    pub trace: Vec<Action>,
}

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Distinct states that were reached.
    pub states: usize,
    /// Steps that were tried.
    pub transitions: usize,
    /// Steps of the longest path.
    pub depth: u32,
    /// Whether every state within the bounds was visited.
    pub exhausted: bool,
    /// The first violation.
    pub violation: Option<Violation>,
}

/// A way to a state, as a link to the step before.
struct Step {
    previous: Option<usize>,
    action: Action,
}

/// A state, and the last step on the way there.
struct Reached {
    world: World,
    by: Option<usize>,
}

/// Visits every state of the group within `bounds`.
#[must_use]
pub fn explore(bounds: &Bounds) -> Exploration {
    let mut search = Search::new();
    let mut level = match World::new(bounds) {
        Ok(initial) => vec![search.start_at(initial)],
        Err(invariant) => search.fail(invariant, Vec::new()),
    };
    while !level.is_empty() && search.may_go_on(bounds) {
        level = search.next_level(&level);
    }
    let bounded_by_depth = search.result.depth == bounds.max_depth;
    search.result.exhausted = search.result.violation.is_none()
        && search.seen.len() < bounds.max_states
        && (level.is_empty() || bounded_by_depth);
    search.result.states = search.seen.len();
    search.result
}

/// A search under way.
struct Search {
    seen: HashSet<u64>,
    steps: Vec<Step>,
    result: Exploration,
}

impl Search {
    fn new() -> Self {
        Self {
            seen: HashSet::new(),
            steps: Vec::new(),
            result: Exploration {
                states: 0,
                transitions: 0,
                depth: 0,
                exhausted: false,
                violation: None,
            },
        }
    }

    fn may_go_on(&self, bounds: &Bounds) -> bool {
        self.result.violation.is_none()
            && self.result.depth < bounds.max_depth
            && self.seen.len() < bounds.max_states
    }

    fn start_at(&mut self, initial: World) -> Reached {
        self.seen.insert(initial.fingerprint());
        Reached {
            world: initial,
            by: None,
        }
    }

    /// Ends the search; there is no further level.
    fn fail(&mut self, invariant: Invariant, trace: Vec<Action>) -> Vec<Reached> {
        self.result.violation = Some(Violation { invariant, trace });
        Vec::new()
    }

    /// The new states one step behind those of `level`.
    fn next_level(&mut self, level: &[Reached]) -> Vec<Reached> {
        let mut next = Vec::new();
        self.result.depth += 1;
        for reached in level {
            for action in reached.world.actions() {
                self.result.transitions += 1;
                let mut world = reached.world.clone();
                if let Err(invariant) = world.act(&action) {
                    let trace = self.trace(reached.by, action);
                    return self.fail(invariant, trace);
                }
                if self.seen.insert(world.fingerprint()) {
                    let by = Some(self.note(reached.by, action));
                    next.push(Reached { world, by });
                }
            }
        }
        next
    }

    /// Notes a step to a new state; returns its place.
    fn note(&mut self, previous: Option<usize>, action: Action) -> usize {
        self.steps.push(Step { previous, action });
        self.steps.len() - 1
    }

    /// The steps up to `last`, and `action` after them.
    fn trace(&self, last: Option<usize>, action: Action) -> Vec<Action> {
        let mut trace = vec![action];
        let mut position = last;
        while let Some(step) = position.map(|position| &self.steps[position]) {
            trace.push(step.action.clone());
            position = step.previous;
        }
        trace.reverse();
        trace
    }
}
