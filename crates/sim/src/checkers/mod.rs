//! Checkers of the guarantees that must hold in every run, based on observations
//! from outside the cores.

mod cancel;
mod configuration;
mod exactly_once;
mod fencing;
mod leaving;
mod liveness;
mod once;
mod online_latency;
mod stops;
mod truth;

use crate::history::Violation;
use crate::replica_node::{REPLICA_STOPPED, SINGLE_LEADER};
use crate::world::World;

/// A checker.
pub struct Checker {
    /// Name.
    pub name: &'static str,
    /// The guarantee, in one sentence.
    pub guarantee: &'static str,
    /// Checks a finished run; `None` if the checker runs during the simulation.
    pub check: Option<fn(&World, &mut Findings)>,
}

/// Collects the violations that a checker finds.
#[derive(Debug, Default)]
pub struct Findings {
    name: &'static str,
    found: Vec<Violation>,
}

impl Findings {
    /// Adds a violation observed at `at`.
    pub fn add(&mut self, at: molespan_types::Timestamp, message: String) {
        let checker = self.name;
        self.found.push(Violation {
            at,
            checker,
            message,
        });
    }
}

/// Every checker.
pub const CHECKERS: &[Checker] = &[
    Checker {
        name: "exactly-once",
        guarantee: "every accepted item has one complete result that stays readable",
        check: Some(exactly_once::check),
    },
    Checker {
        name: "cancel-stops",
        guarantee: "no item is sent out once its job is reported cancelled, nor long after the \
                    cancellation is acknowledged",
        check: Some(cancel::check),
    },
    Checker {
        name: "at-most-once",
        guarantee: "a non-repeatable request or item runs at most once",
        check: Some(once::check),
    },
    Checker {
        name: "true-not-run",
        guarantee: "what is refused as not run never runs",
        check: Some(truth::check_not_run),
    },
    Checker {
        name: "whole-answer",
        guarantee: "an answer is the complete answer to its own request",
        check: Some(truth::check_answers),
    },
    Checker {
        name: "configuration",
        guarantee: "the configuration in force never goes back to an older version and lags by \
                    no more than the currency bound where work is admitted",
        check: Some(configuration::check),
    },
    Checker {
        name: "committed",
        guarantee: "what was confirmed stays confirmed, with one winner per intent number, and \
                    every later read observes it",
        check: Some(configuration::check_committed),
    },
    Checker {
        name: SINGLE_LEADER,
        guarantee: "a group has one leader per term",
        check: None,
    },
    Checker {
        name: REPLICA_STOPPED,
        guarantee: "a replica stops by itself only after a disk fault",
        check: None,
    },
    Checker {
        name: "fencing",
        guarantee: "orders to an engine have increasing tokens and never go back",
        check: Some(fencing::check),
    },
    Checker {
        name: "leaving",
        guarantee: "a leaving engine gets no new work from a gateway that was told, and from \
                    none in calm times, after its bound",
        check: Some(leaving::check),
    },
    Checker {
        name: "planned-stop",
        guarantee: "a planned stop cuts off no request without reporting it",
        check: Some(stops::check),
    },
    Checker {
        name: "online-latency",
        guarantee: "in calm times an online request does not wait behind batch work",
        check: Some(online_latency::check),
    },
    Checker {
        name: "liveness",
        guarantee: "after the faults all accepted work finishes and every machine is used again",
        check: Some(liveness::check),
    },
];

/// Returns every violation in a finished run, earliest first.
#[must_use]
pub fn check_all(world: &World) -> Vec<Violation> {
    let mut findings = Findings {
        name: "",
        found: world.context.history.violations.clone(),
    };
    for checker in CHECKERS {
        if let Some(check) = checker.check {
            findings.name = checker.name;
            check(world, &mut findings);
        }
    }
    let mut found = findings.found;
    found.sort();
    found
}
