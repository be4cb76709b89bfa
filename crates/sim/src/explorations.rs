//! Bounded exhaustive exploration of small state machines and groups.

use std::fmt::Write;

use molespan_consensus::explore::{Bounds, Start, explore as explore_group};
use molespan_sim::run::run_in_order;
use molespan_state::explore::{ClaimModel, LeaseModel, Model, explore as explore_machine};

/// Result of a search.
pub struct Explored {
    /// Report of one or more lines.
    pub text: String,
    /// Whether every invariant held.
    pub holds: bool,
}

/// A named search.
struct Exploration {
    name: &'static str,
    search: fn(states: usize) -> Explored,
}

const EXPLORATIONS: &[Exploration] = &[
    Exploration {
        name: "leases of a repeatable job",
        search: |states| machine(&LeaseModel { repeatable: true }, states),
    },
    Exploration {
        name: "leases of a non-repeatable job",
        search: |states| machine(&LeaseModel { repeatable: false }, states),
    },
    Exploration {
        name: "claims",
        search: |states| machine(&ClaimModel, states),
    },
    Exploration {
        name: "three replicas, two elections, a restart before a sync",
        search: |states| group(Bounds::default(), states),
    },
    Exploration {
        name: "three replicas, a change of leader under a proposal",
        search: |states| {
            let bounds = Bounds {
                start: Start::Led,
                proposals: 1,
                slow_disk: false,
                ..Bounds::default()
            };
            group(bounds, states)
        },
    },
    Exploration {
        name: "three replicas, pre-votes and repeated messages",
        search: |states| {
            let bounds = Bounds {
                restarts: 0,
                repetitions: 1,
                slow_disk: false,
                pre_vote: true,
                ..Bounds::default()
            };
            group(bounds, states)
        },
    },
    Exploration {
        name: "three replicas, a replacement and a disk lost right after it",
        search: |states| {
            let bounds = Bounds {
                start: Start::Repairing,
                ticks: 1,
                losses: 1,
                slow_disk: false,
                max_in_flight: 3,
                ..Bounds::default()
            };
            group(bounds, states)
        },
    },
];

/// Longest explored path of a group.
const GROUP_DEPTH: u32 = 11;

/// Runs every search with at most `states` states each, and passes the results to
/// `take` in a fixed order.
pub fn explore_all(states: usize, threads: usize, mut take: impl FnMut(Explored)) {
    let work = |task: usize| {
        let exploration = &EXPLORATIONS[task];
        let found = (exploration.search)(states);
        Explored {
            text: format!("{}: {}", exploration.name, found.text),
            holds: found.holds,
        }
    };
    run_in_order(EXPLORATIONS.len(), threads, work, |_, explored| {
        take(explored);
        true
    });
}

fn machine<M: Model>(model: &M, states: usize) -> Explored {
    let found = explore_machine(model, states);
    let extent = extent(found.exhausted);
    let mut text = format!(
        "{} states, {} transitions, {extent}",
        found.states, found.transitions
    );
    if let Some(violation) = &found.violation {
        // Writing to a string cannot fail.
        let _ = write!(text, "; {} broken by:", violation.invariant);
        for command in &violation.trace {
            let _ = write!(text, "\n  {command:?}");
        }
    }
    let holds = found.violation.is_none();
    Explored { text, holds }
}

fn group(bounds: Bounds, states: usize) -> Explored {
    let bounds = Bounds {
        max_depth: GROUP_DEPTH,
        max_states: states,
        ..bounds
    };
    let found = explore_group(&bounds);
    let extent = extent(found.exhausted);
    let mut text = format!(
        "{} states, {} transitions, up to {} steps, {extent}",
        found.states, found.transitions, found.depth
    );
    if let Some(violation) = &found.violation {
        let _ = write!(text, "; {:?} broken by:", violation.invariant);
        for action in &violation.trace {
            let _ = write!(text, "\n  {action:?}");
        }
    }
    let holds = found.violation.is_none();
    Explored { text, holds }
}

fn extent(exhausted: bool) -> &'static str {
    if exhausted {
        "every state within the bounds"
    } else {
        "not every state"
    }
}
