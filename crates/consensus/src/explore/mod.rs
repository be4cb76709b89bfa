//! Bounded exhaustive state-space exploration of a small group.
//!
//! From a given start state, the search tries every order of message deliveries,
//! losses, duplicates, timeouts, proposals, syncs and restarts within the
//! [`Bounds`], breadth first, on the same [`Replica`](crate::Replica) that the
//! daemons run. A message that is never delivered counts as lost. The search
//! stops at the first violated invariant and returns the shortest trace to it.

mod action;
mod check;
mod node;
mod start;
mod world;

use std::collections::HashSet;

pub use action::Action;
pub use check::Invariant;
use world::World;

/// The start state of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// No replica leads.
    Fresh,
    /// Replica 1 leads, and every replica has stored the first entry of its term.
    Led,
    /// As [`Start::Led`], and a new replica has caught up as a learner. The leader
    /// may replace the last voter, which is still running, by the learner.
    Repairing,
}

/// Limits of a search. Each count applies to one whole path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The start state.
    pub start: Start,
    /// Number of replicas in the group, all of them voters initially.
    pub replicas: u64,
    /// Maximum ticks. Each tick triggers an election timeout or a heartbeat.
    pub ticks: u32,
    /// Maximum proposed commands.
    pub proposals: u32,
    /// Maximum restarts. A restarting replica loses all data that was not synced.
    pub restarts: u32,
    /// Maximum duplicate deliveries of messages.
    pub repetitions: u32,
    /// Maximum replicas lost together with their disks.
    pub losses: u32,
    /// Whether a sync is a separate step, so that other steps can happen between
    /// a write and its sync.
    pub slow_disk: bool,
    /// Whether elections start with a pre-vote.
    pub pre_vote: bool,
    /// Maximum messages in flight; further messages are dropped.
    pub max_in_flight: usize,
    /// Maximum steps of a path.
    pub max_depth: u32,
    /// Maximum distinct states; the search stops when it reaches this number.
    pub max_states: usize,
}

impl Default for Bounds {
    /// Returns bounds with three replicas, two ticks, one restart and slow disks.
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

/// A violated invariant and the steps that lead to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The shortest sequence of steps that violates it.
    pub trace: Vec<Action>,
}

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of steps tried.
    pub transitions: usize,
    /// Length of the longest path, in steps.
    pub depth: u32,
    /// Whether every state within the bounds was visited. Reaching the depth limit
    /// counts as exhausted.
    pub exhausted: bool,
    /// The first violation found, if any.
    pub violation: Option<Violation>,
}

/// The last step of a path, linked to the step before it by its position in
/// [`Search::steps`].
struct Step {
    previous: Option<usize>,
    action: Action,
}

/// A reached state and the position of the last step on the path to it.
struct Reached {
    world: World,
    last_step: Option<usize>,
}

/// Visits every state of the group within `bounds`, breadth first.
#[must_use]
pub fn explore(bounds: &Bounds) -> Exploration {
    let mut search = Search::new();
    let mut level = match World::new(bounds) {
        Ok(initial) => vec![search.add_initial(initial)],
        Err(invariant) => search.fail(invariant, Vec::new()),
    };
    while !level.is_empty() && search.should_continue(bounds) {
        level = search.next_level(&level);
    }
    let bounded_by_depth = search.result.depth == bounds.max_depth;
    search.result.exhausted = search.result.violation.is_none()
        && search.seen.len() < bounds.max_states
        && (level.is_empty() || bounded_by_depth);
    search.result.states = search.seen.len();
    search.result
}

/// A search in progress.
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

    fn should_continue(&self, bounds: &Bounds) -> bool {
        self.result.violation.is_none()
            && self.result.depth < bounds.max_depth
            && self.seen.len() < bounds.max_states
    }

    fn add_initial(&mut self, initial: World) -> Reached {
        self.seen.insert(initial.fingerprint());
        Reached {
            world: initial,
            last_step: None,
        }
    }

    /// Ends the search with a violation. The returned next level is empty.
    fn fail(&mut self, invariant: Invariant, trace: Vec<Action>) -> Vec<Reached> {
        self.result.violation = Some(Violation { invariant, trace });
        Vec::new()
    }

    /// Returns the new states that are one step away from those in `level`.
    fn next_level(&mut self, level: &[Reached]) -> Vec<Reached> {
        let mut next = Vec::new();
        self.result.depth += 1;
        for reached in level {
            for action in reached.world.actions() {
                self.result.transitions += 1;
                let mut world = reached.world.clone();
                if let Err(invariant) = world.execute(&action) {
                    let trace = self.trace(reached.last_step, action);
                    return self.fail(invariant, trace);
                }
                if self.seen.insert(world.fingerprint()) {
                    let last_step = Some(self.record_step(reached.last_step, action));
                    next.push(Reached { world, last_step });
                }
            }
        }
        next
    }

    /// Records a step to a new state and returns its position in `steps`.
    fn record_step(&mut self, previous: Option<usize>, action: Action) -> usize {
        self.steps.push(Step { previous, action });
        self.steps.len() - 1
    }

    /// Returns the steps up to `last`, followed by `action`.
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
