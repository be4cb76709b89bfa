//! Shrinks a failing scenario: removes faults and work as long as the same checker
//! still reports a violation.

use crate::run::run_scenario;
use crate::scenario::Scenario;

/// Maximum number of runs per search.
const MAX_RUNS: usize = 250;

/// A reduced scenario, by position in the full schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shrunk {
    /// Remaining faults.
    pub faults: Vec<usize>,
    /// Remaining work.
    pub work: Vec<usize>,
}

/// Finds a small part of `scenario` in which `checker` still reports a violation.
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
    /// Removes halves, then quarters, and so on down to single entries.
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
        if self.runs >= MAX_RUNS {
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
