//! When recent configurations came into force.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_types::Timestamp;

/// Time for which versions are told apart: longer than a watcher has to get one from another
/// control node.
const REMEMBERED: Duration = Duration::from_secs(5);
/// Maximum number of remembered versions.
const MAX_VERSIONS: usize = 64;

/// The times at which configurations came into force on this node, oldest first.
#[derive(Debug, Default)]
pub struct ConfigurationTimes(VecDeque<(u64, Timestamp)>);

impl ConfigurationTimes {
    /// Records that a version came into force.
    pub fn record(&mut self, version: u64, now: Timestamp) {
        self.0.push_back((version, now));
        let is_old = |at: &Timestamp| now.since(*at) > REMEMBERED;
        while self.0.len() > MAX_VERSIONS || self.0.get(1).is_some_and(|(_, at)| is_old(at)) {
            self.0.pop_front();
        }
    }

    /// Returns when the oldest version that a watcher with `version` lacks came into force.
    /// Counted from the newest one, a watcher would wait for as long as changes go on.
    pub fn lacking_since(&self, version: u64) -> Option<Timestamp> {
        let mut lacking = self.0.iter().filter(|(newer, _)| *newer > version);
        lacking.next().map(|(_, at)| *at)
    }
}
