//! Bounded exhaustive exploration of leases and claims.
//!
//! From the empty machine, every command of a small domain is applied in every
//! state that can be reached, breadth first. A command may come any number of
//! times and in any order, which covers resends, late duplicates and reordering.
//! Beside the machine runs a record of what its replies promised; a reply or a
//! state that breaks a promise ends the search with the shortest way there.

mod claim_model;
mod interned_log;
mod lease_model;

use std::collections::HashSet;

pub use claim_model::ClaimModel;
pub use lease_model::LeaseModel;

use crate::job::JobCommand;

/// A small domain to explore.
pub trait Model {
    /// The machine and the record of its promises.
    type State: Clone;

    /// Where the search starts.
    fn initial(&self) -> Self::State;

    /// Commands that may come in `state`.
    fn commands(&self, state: &Self::State) -> Vec<JobCommand>;

    /// The state after `command`.
    ///
    /// # Errors
    /// When the machine breaks an invariant.
    fn step(&self, state: &Self::State, command: &JobCommand) -> Result<Self::State, &'static str>;

    /// Bytes that are equal for equal states only.
    fn key(&self, state: &Self::State) -> Vec<u8>;
}

/// A broken invariant and how to get there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was broken.
    pub invariant: &'static str,
    /// The shortest sequence of commands that breaks it.
    pub trace: Vec<JobCommand>,
}

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Distinct states that were reached.
    pub states: usize,
    /// Commands that were applied.
    pub transitions: usize,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// The first violation.
    pub violation: Option<Violation>,
}

/// A state that was reached, and from where by which command.
struct Reached<S> {
    state: S,
    origin: Option<(usize, JobCommand)>,
}

/// Visits the states of `model`, `max_states` at most.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Exploration {
    let initial = model.initial();
    let mut seen = HashSet::from([fingerprint(&model.key(&initial))]);
    let mut reached = vec![Reached {
        state: initial,
        origin: None,
    }];
    let mut transitions = 0;
    let mut next = 0;
    while next < reached.len() && reached.len() <= max_states {
        for command in model.commands(&reached[next].state) {
            transitions += 1;
            let state = match model.step(&reached[next].state, &command) {
                Ok(state) => state,
                Err(invariant) => {
                    let trace = trace(&reached, next, command);
                    let violation = Violation { invariant, trace };
                    return finish(reached.len(), transitions, false, Some(violation));
                }
            };
            if seen.insert(fingerprint(&model.key(&state))) {
                let origin = Some((next, command));
                reached.push(Reached { state, origin });
            }
        }
        next += 1;
    }
    finish(reached.len(), transitions, next == reached.len(), None)
}

/// What a search found.
fn finish(
    states: usize,
    transitions: usize,
    exhausted: bool,
    violation: Option<Violation>,
) -> Exploration {
    Exploration {
        states,
        transitions,
        exhausted,
        violation,
    }
}

/// A digest wide enough that two states of a search do not share it.
fn fingerprint(key: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(key)
}

/// The commands that led to state `last`, and `command` after them.
fn trace<S>(reached: &[Reached<S>], last: usize, command: JobCommand) -> Vec<JobCommand> {
    let mut commands = vec![command];
    let mut position = last;
    while let Some((origin, command)) = &reached[position].origin {
        commands.push(command.clone());
        position = *origin;
    }
    commands.reverse();
    commands
}
