//! Bounded exhaustive exploration of leases and claims.
//!
//! Starting from the empty machine, every command of a small domain is applied in every
//! reachable state, breadth first. A command may occur any number of times and in any
//! order, which covers retries, late duplicates and reordering. A reference state records
//! the guarantees given by earlier replies; a reply or a state that violates one ends the
//! search with a shortest trace.

mod claim_model;
mod interned_log;
mod lease_model;

use std::collections::HashSet;

pub use claim_model::ClaimModel;
pub use lease_model::LeaseModel;

use crate::job::JobCommand;

/// A small state space to explore.
pub trait Model {
    /// The machine and its reference state.
    type State: Clone;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns the commands that may be applied in `state`.
    fn commands(&self, state: &Self::State) -> Vec<JobCommand>;

    /// Returns the state after `command`.
    ///
    /// # Errors
    /// Returns the violated invariant.
    fn step(&self, state: &Self::State, command: &JobCommand) -> Result<Self::State, &'static str>;

    /// Returns a key that is equal only for equal states.
    fn key(&self, state: &Self::State) -> Vec<u8>;
}

/// A violated invariant and a trace that leads to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Description of the violated invariant.
    pub invariant: &'static str,
    /// A shortest sequence of commands that violates it.
    pub trace: Vec<JobCommand>,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of commands applied.
    pub transitions: usize,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// First violation found.
    pub violation: Option<Violation>,
}

/// A reached state, with its predecessor and the command that led to it.
struct Reached<S> {
    state: S,
    origin: Option<(usize, JobCommand)>,
}

/// Explores the states of `model` until about `max_states` states have been reached.
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

/// Builds the result of a search.
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

/// Returns a digest that is wide enough to be unique among the states of a search.
fn fingerprint(key: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(key)
}

/// Returns the commands that led to state `last`, followed by `command`.
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
