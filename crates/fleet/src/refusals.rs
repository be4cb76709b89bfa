//! What is refused again and again, told in few lines.

use std::collections::BTreeSet;

/// Different refusals that get a line each; behind them one for each doubling of all.
const TOLD_ONE_BY_ONE: usize = 256;

/// Refusals so far.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    count: u64,
    told: BTreeSet<(String, String)>,
}

impl Refusals {
    /// `who` was refused for `what`. Says how many refusals there were by now, where that
    /// is to be told.
    pub fn note(&mut self, who: &str, what: &str) -> Option<u64> {
        self.count += 1;
        let is_told = match self.told.len() < TOLD_ONE_BY_ONE {
            true => self.told.insert((who.to_owned(), what.to_owned())),
            false => self.count.is_power_of_two(),
        };
        is_told.then_some(self.count)
    }
}
