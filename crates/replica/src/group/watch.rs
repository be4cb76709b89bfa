//! Detection of items without progress, on the clock of one replica.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;

/// Number of scans within the time after which an item counts as stalled.
const SCANS_PER_LENGTH: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Observation {
    progress: u64,
    since: Timestamp,
}

/// The last observed progress of each item.
#[derive(Debug)]
pub(super) struct ProgressWatch<K> {
    watched: BTreeMap<K, Observation>,
    next_scan: Timestamp,
}

impl<K> Default for ProgressWatch<K> {
    fn default() -> Self {
        Self {
            watched: BTreeMap::new(),
            next_scan: Timestamp::ZERO,
        }
    }
}

impl<K: Clone + Ord> ProgressWatch<K> {
    /// Clears all items, because this replica no longer leads.
    pub fn clear(&mut self) {
        self.watched.clear();
        self.next_scan = Timestamp::ZERO;
    }

    /// Whether a scan is due; if so, schedules the next one.
    pub fn is_due(&mut self, now: Timestamp, length: Duration) -> bool {
        if now < self.next_scan {
            return false;
        }
        self.next_scan = now + length / SCANS_PER_LENGTH;
        true
    }

    /// Records the progress of each item; returns the items without progress for
    /// `length`.
    pub fn scan(
        &mut self,
        now: Timestamp,
        length: Duration,
        items: impl Iterator<Item = (K, u64)>,
    ) -> Vec<(K, u64)> {
        let mut seen = BTreeMap::new();
        let mut stalled = Vec::new();
        for (key, progress) in items {
            let fresh = Observation {
                progress,
                since: now,
            };
            let known = self.watched.get(&key).copied();
            let mut watched = known
                .filter(|known| known.progress == progress)
                .unwrap_or(fresh);
            if now.since(watched.since) >= length {
                stalled.push((key.clone(), progress));
                // Reported again only after another full length.
                watched = fresh;
            }
            seen.insert(key, watched);
        }
        self.watched = seen;
        stalled
    }
}
