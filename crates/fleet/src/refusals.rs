//! Limits the number of log lines for refusals that keep recurring.

use std::collections::BTreeSet;

/// Number of distinct refusals that are logged individually. After that, a line is logged
/// each time the total count doubles.
const MAX_LOGGED_INDIVIDUALLY: usize = 256;

/// Counts refusals and selects those to log.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    count: u64,
    logged: BTreeSet<(String, String)>,
}

impl RefusalLog {
    /// Records that `who` was refused because of `what`. Returns the number of refusals
    /// so far if this one should be logged.
    pub fn record(&mut self, who: &str, what: &str) -> Option<u64> {
        self.count += 1;
        let should_log = match self.logged.len() < MAX_LOGGED_INDIVIDUALLY {
            true => self.logged.insert((who.to_owned(), what.to_owned())),
            false => self.count.is_power_of_two(),
        };
        should_log.then_some(self.count)
    }
}
