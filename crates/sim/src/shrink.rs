//! Making a failing scenario small: faults and work are left out as long as
//! the same checker still complains.

use crate::run::run_scenario;
use crate::scenario::Scenario;

/// Runs that a search may take.
const MOST_RUNS: usize = 250;

/// A scenario cut down to what is needed, by position in the full schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shrunk {
    /// Faults that are needed.
    pub faults: Vec<usize>,
    /// Work that is needed.
    pub work: Vec<usize>,
}

/// Finds a small part of `scenario` in which `checker` still complains.
#[must_use]
pub fn shrink(scenario: &Scenario, checker: &str) -> Shrunk {
    let mut search = Search {
        scenario,
        checker,
        runs: 0,
        best: Shrunk {
            faults: present(&scenario.faults),
            work: present(&scenario.work),
        },
    };
    search.reduce(|best| &mut best.faults);
    search.reduce(|best| &mut best.work);
    search.reduce(|best| &mut best.faults);
    search.best
}

fn present<T>(entries: &[Option<T>]) -> Vec<usize> {
    let entries = entries.iter().enumerate();
    let present = entries.filter(|(_, entry)| entry.is_some());
    present.map(|(position, _)| position).collect()
}

struct Search<'a> {
    scenario: &'a Scenario,
    checker: &'a str,
    runs: usize,
    best: Shrunk,
}

impl Search<'_> {
    /// Leaves out halves, then quarters, and so on down to single entries.
    fn reduce(&mut self, part: impl Fn(&mut Shrunk) -> &mut Vec<usize>) {
        let mut size = part(&mut self.best).len().div_ceil(2);
        while size > 0 {
            let mut start = 0;
            while start < part(&mut self.best).len() {
                let mut smaller = self.best.clone();
                let entries = part(&mut smaller);
                let end = entries.len().min(start + size);
                entries.drain(start..end);
                if self.still_fails(&smaller) {
                    self.best = smaller;
                } else {
                    start += size;
                }
            }
            size /= 2;
        }
    }

    fn still_fails(&mut self, smaller: &Shrunk) -> bool {
        if self.runs >= MOST_RUNS {
            return false;
        }
        self.runs += 1;
        let scenario = self.scenario.clone();
        let scenario = scenario.only(Some(&smaller.faults), Some(&smaller.work));
        let outcome = run_scenario(scenario);
        let mut found = outcome.violations.iter();
        found.any(|violation| violation.checker == self.checker)
    }
}
