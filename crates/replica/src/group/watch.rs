//! Notices what stands still, on the clock of one replica.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;

/// A watch looks so many times in the length after which it gives up.
const SCANS_PER_LENGTH: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Watched {
    progress: u64,
    since: Timestamp,
}

/// When each thing was last seen to go on.
#[derive(Debug)]
pub(super) struct Watch<K> {
    watched: BTreeMap<K, Watched>,
    next_scan: Timestamp,
}

impl<K> Default for Watch<K> {
    fn default() -> Self {
        Self {
            watched: BTreeMap::new(),
            next_scan: Timestamp::ZERO,
        }
    }
}

impl<K: Clone + Ord> Watch<K> {
    /// Forgets everything, since another replica leads.
    pub fn clear(&mut self) {
        self.watched.clear();
        self.next_scan = Timestamp::ZERO;
    }

    /// Whether it is time for a scan; then the next one is planned.
    pub fn is_due(&mut self, now: Timestamp, length: Duration) -> bool {
        if now < self.next_scan {
            return false;
        }
        self.next_scan = now + length / SCANS_PER_LENGTH;
        true
    }

    /// Takes note of how far each thing is; gives those that have stood still
    /// for `length`.
    pub fn scan(
        &mut self,
        now: Timestamp,
        length: Duration,
        things: impl Iterator<Item = (K, u64)>,
    ) -> Vec<(K, u64)> {
        let mut seen = BTreeMap::new();
        let mut still = Vec::new();
        for (key, progress) in things {
            let fresh = Watched {
                progress,
                since: now,
            };
            let known = self.watched.get(&key).copied();
            let mut watched = known
                .filter(|known| known.progress == progress)
                .unwrap_or(fresh);
            if now.since(watched.since) >= length {
                still.push((key.clone(), progress));
                // Given again only after another full length.
                watched = fresh;
            }
            seen.insert(key, watched);
        }
        self.watched = seen;
        still
    }
}
