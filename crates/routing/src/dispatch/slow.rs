//! Reports to operators which engines count as slow.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;

/// Time for which an engine must be slow before it is reported; shorter spans need no
/// operator.
const MIN_SLOW_DURATION: Duration = Duration::from_millis(800);
/// Most changes reported at once; the others are only counted.
const MAX_REPORTED: usize = 8;

/// An engine started or stopped counting as slow.
#[derive(Clone, Debug, PartialEq)]
pub enum SlowChange {
    /// The engine takes a multiple of the usual time.
    Slow {
        /// Engine identifier.
        engine: String,
        /// Pace, as a multiple of the usual time.
        pace: f64,
    },
    /// The engine is no longer slow.
    Back {
        /// Engine identifier.
        engine: String,
    },
    /// Number of further changes that are not listed.
    More(usize),
}

#[derive(Clone, Copy, Debug)]
struct SlowSince {
    at: Timestamp,
    reported: bool,
}

/// Engines that were slow at the latest check.
#[derive(Clone, Debug, Default)]
pub struct SlowWatch(BTreeMap<String, SlowSince>);

impl SlowWatch {
    /// Updates the engines that are slow now, with their paces, and returns the changes to
    /// report.
    pub fn update(&mut self, slow: &[(String, f64)], now: Timestamp) -> Vec<SlowChange> {
        let mut changes = Vec::new();
        self.0.retain(|engine, since| {
            let still_slow = slow.iter().any(|(one, _)| one == engine);
            if !still_slow && since.reported {
                let engine = engine.clone();
                changes.push(SlowChange::Back { engine });
            }
            still_slow
        });
        for (engine, pace) in slow {
            let since = self.0.entry(engine.clone()).or_insert(SlowSince {
                at: now,
                reported: false,
            });
            if !since.reported && now.since(since.at) >= MIN_SLOW_DURATION {
                since.reported = true;
                changes.push(SlowChange::Slow {
                    engine: engine.clone(),
                    pace: *pace,
                });
            }
        }
        let more = changes.len().saturating_sub(MAX_REPORTED);
        if more > 0 {
            changes.truncate(MAX_REPORTED);
            changes.push(SlowChange::More(more));
        }
        changes
    }
}
