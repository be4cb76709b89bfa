//! Crashes that one request is blamed for.

use std::collections::BTreeMap;

use molespan_types::Timestamp;

use super::blame::{EngineKey, Progress, SharedBlame};
use super::features::FeatureDigest;

/// Maximum number of crashes kept per request. A guilty request is not sent any more, so
/// further crashes come only from copies of it that ran at the same time.
const MAX_CRASHES: usize = 16;

/// The end of an engine that was running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// When the engine ended, on the clock of this node.
    pub at: Timestamp,
    /// When this node learned that the request was running there.
    pub learned_at: Timestamp,
    /// Whether the request was answered completely since.
    pub cleared: bool,
    /// Whether this gateway observed the crash itself.
    pub own: bool,
    /// What the request shares with others, if that is blamed too.
    pub shared: Option<SharedBlame>,
    /// How far the answer had got, if it is known.
    pub progress: Option<Progress>,
}

impl Crash {
    /// Returns the parts of the request's prompt that may have ended the engine, cleared
    /// ones too.
    pub fn parts(&self) -> impl Iterator<Item = &FeatureDigest> {
        let shared = self.shared.iter();
        shared.flat_map(|blame| &blame.shared.parts)
    }

    /// Returns those of them that are still blamed.
    pub fn blamed_parts(&self) -> impl Iterator<Item = &FeatureDigest> {
        self.shared.iter().flat_map(SharedBlame::blamed)
    }

    /// Returns the tenant of the request, if it is known.
    pub fn tenant(&self) -> Option<&FeatureDigest> {
        self.shared.as_ref()?.shared.tenant.as_ref()
    }

    /// Adds what another report of the same crash says. Returns whether that is new.
    fn merge(&mut self, other: Self) -> bool {
        let mut is_new = other.cleared && !self.cleared;
        self.cleared |= other.cleared;
        self.own |= other.own;
        match (&mut self.shared, other.shared) {
            (Some(known), Some(reported)) if known.shared == reported.shared => {
                is_new |= reported.cleared & !known.cleared != 0;
                known.cleared |= reported.cleared;
            }
            (known @ None, Some(reported)) => {
                *known = Some(reported);
                is_new = true;
            }
            _ => {}
        }
        is_new
    }
}

/// A request that was running on engines when they ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub crashes: BTreeMap<EngineKey, Crash>,
}

impl Suspect {
    /// Records a crash. Returns whether that is new. A crash that was cleared is not
    /// blamed again, in whatever order reports arrive.
    pub fn note(&mut self, engine: EngineKey, crash: Crash) -> bool {
        if let Some(known) = self.crashes.get_mut(&engine) {
            return known.merge(crash);
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.insert(engine, crash);
        true
    }

    /// Clears the request of all crashes known here, after a complete answer. Returns
    /// whether there were any left to clear.
    pub fn clear(&mut self) -> bool {
        let mut changed = false;
        for crash in self.crashes.values_mut() {
            changed |= !crash.cleared;
            crash.cleared = true;
        }
        changed
    }

    /// Crashes that the request is still blamed for: those that no whole answer cleared, and
    /// behind which no later run went on for a while.
    pub fn blamed(&self) -> impl Iterator<Item = (EngineKey, &Crash)> {
        let runs = self.crashes.values().filter_map(|crash| crash.progress);
        let lived = runs.filter(|progress| progress.has_written_long());
        let furthest = lived.map(|progress| progress.resumed_after).max();
        let is_passed = move |crash: &Crash| {
            let reached = crash.progress.map(Progress::reached);
            reached.is_some_and(|reached| furthest.is_some_and(|furthest| furthest >= reached))
        };
        let crashes = self.crashes.iter();
        crashes
            .filter(move |(_, crash)| !crash.cleared && !is_passed(crash))
            .map(|(&engine, crash)| (engine, crash))
    }

    /// Number of crashes that the request is still blamed for.
    pub fn count(&self) -> usize {
        self.blamed().count()
    }

    /// When this node last learned of another crash.
    pub fn last_learned_at(&self) -> Timestamp {
        let learned_at = self.crashes.values().map(|crash| crash.learned_at);
        learned_at.max().unwrap_or(Timestamp::ZERO)
    }

    /// When the latest engine ended while running the request.
    pub fn last_crash_at(&self) -> Timestamp {
        let ended = self.crashes.values().map(|crash| crash.at);
        ended.max().unwrap_or(Timestamp::ZERO)
    }
}
