//! Crashes by the parts of prompts that the requests at the engines had in common.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use molespan_state::declared::RequestDigest;
use molespan_types::Timestamp;

use super::blame::EngineKey;
use super::features::FeatureDigest;

/// How long a complete answer with a part clears it of crashes that are heard of later.
/// Reports of a crash take less.
const COMPLETION_TTL: Duration = Duration::from_secs(5);
/// Maximum number of remembered completions, some 50 bytes each.
const MAX_COMPLETIONS: usize = 4_096;

/// A request that was running on an engine when the engine ended.
pub(super) type Case = (EngineKey, RequestDigest);

/// Maximum number of remembered times of complete answers: over the time that parts are
/// judged for, several a second.
const MAX_ANSWER_TIMES: usize = 256;
/// Least time between two remembered ones.
const ANSWER_TIME_STEP: Duration = Duration::from_millis(50);

/// Cases that parts of prompts are blamed for, and complete answers with parts.
#[derive(Clone, Debug, Default)]
pub(super) struct PartCrashes {
    blamed: BTreeMap<FeatureDigest, BTreeSet<Case>>,
    completed: BTreeMap<FeatureDigest, Timestamp>,
    /// When engines answered any requests completely.
    answers: VecDeque<Timestamp>,
}

impl PartCrashes {
    /// Blames a part for a case, or no longer blames it.
    pub fn set(&mut self, part: FeatureDigest, case: Case, blamed: bool) {
        let cases = self.blamed.entry(part).or_default();
        match blamed {
            true => cases.insert(case),
            false => cases.remove(&case),
        };
        if cases.is_empty() {
            self.blamed.remove(&part);
        }
    }

    /// Returns the cases that a part is blamed for, in the order of the engines.
    pub fn cases(&self, part: &FeatureDigest) -> impl Iterator<Item = &Case> {
        self.blamed.get(part).into_iter().flatten()
    }

    /// Returns the engines that ended and for which a part is blamed.
    pub fn engines(&self, part: &FeatureDigest) -> Vec<EngineKey> {
        let mut engines: Vec<EngineKey> = self.cases(part).map(|(engine, _)| *engine).collect();
        engines.dedup();
        engines
    }

    /// Number of engines that ended and for which a part is blamed.
    pub fn count(&self, part: &FeatureDigest) -> usize {
        self.engines(part).len()
    }

    /// Returns all blamed parts.
    pub fn parts(&self) -> impl Iterator<Item = &FeatureDigest> {
        self.blamed.keys()
    }

    /// Records that an engine answered a request with a part completely.
    pub fn note_completed(&mut self, part: FeatureDigest, now: Timestamp) {
        self.completed.insert(part, now);
        if self.completed.len() > MAX_COMPLETIONS {
            self.expire(now);
        }
        if self.completed.len() > MAX_COMPLETIONS {
            self.completed.pop_first();
        }
    }

    /// Records that an engine answered a request completely.
    pub fn note_answer(&mut self, now: Timestamp) {
        let last = self.answers.back().copied();
        if last.is_some_and(|last| now.since(last) < ANSWER_TIME_STEP) {
            return;
        }
        self.answers.push_back(now);
        if self.answers.len() > MAX_ANSWER_TIMES {
            self.answers.pop_front();
        }
    }

    /// Returns when an engine first answered a request completely later than `at`.
    pub fn answered_after(&self, at: Timestamp) -> Option<Timestamp> {
        self.answers.iter().find(|answer| **answer > at).copied()
    }

    /// Whether a part was completed later than `at`, as far as is remembered.
    pub fn completed_after(&self, part: &FeatureDigest, at: Timestamp) -> bool {
        self.completed.get(part).is_some_and(|done| *done > at)
    }

    /// Forgets old completions.
    pub fn expire(&mut self, now: Timestamp) {
        self.completed
            .retain(|_, done| now.since(*done) < COMPLETION_TTL);
    }
}
