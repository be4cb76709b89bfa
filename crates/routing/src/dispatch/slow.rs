//! Which engines count as slow, as it is told to operators.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;

/// How long an engine has to be slow until it is told: a shorter time needs no operator.
const SLOW_FOR: Duration = Duration::from_millis(800);
/// Changes that are told at once at the most; the others are counted.
const MOST_TOLD: usize = 8;

/// An engine began or ceased to count as slow.
#[derive(Clone, Debug, PartialEq)]
pub enum SlowChange {
    /// It takes so many times as long as is usual.
    Slow {
        /// Engine.
        engine: String,
        /// Multiple of the usual time.
        pace: f64,
    },
    /// It is back.
    Back {
        /// Engine.
        engine: String,
    },
    /// Further changes that are not named.
    More(usize),
}

#[derive(Clone, Copy, Debug)]
struct Since {
    at: Timestamp,
    told: bool,
}

/// Engines that were slow at the latest look.
#[derive(Clone, Debug, Default)]
pub struct SlowWatch(BTreeMap<String, Since>);

impl SlowWatch {
    /// These engines are slow now; says what is news.
    pub fn look(&mut self, slow: &[(String, f64)], now: Timestamp) -> Vec<SlowChange> {
        let mut changes = Vec::new();
        self.0.retain(|engine, since| {
            let stays = slow.iter().any(|(one, _)| one == engine);
            if !stays && since.told {
                let engine = engine.clone();
                changes.push(SlowChange::Back { engine });
            }
            stays
        });
        for (engine, pace) in slow {
            let since = self.0.entry(engine.clone()).or_insert(Since {
                at: now,
                told: false,
            });
            if !since.told && now.since(since.at) >= SLOW_FOR {
                since.told = true;
                changes.push(SlowChange::Slow {
                    engine: engine.clone(),
                    pace: *pace,
                });
            }
        }
        let more = changes.len().saturating_sub(MOST_TOLD);
        if more > 0 {
            changes.truncate(MOST_TOLD);
            changes.push(SlowChange::More(more));
        }
        changes
    }
}
