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
/// Maximum number of services whose answers are remembered.
const MAX_SERVICES: usize = 256;
/// Least time between two remembered ones.
const ANSWER_TIME_STEP: Duration = Duration::from_millis(50);

/// Cases that parts of prompts are blamed for, and complete answers with parts.
#[derive(Clone, Debug, Default)]
pub(super) struct PartCrashes {
    /// Requests that had the part at engines that ended, by engine.
    blamed: BTreeMap<FeatureDigest, BTreeMap<EngineKey, BTreeSet<RequestDigest>>>,
    completed: BTreeMap<FeatureDigest, Timestamp>,
    /// When engines answered any requests completely, by their service.
    answers: BTreeMap<Option<FeatureDigest>, VecDeque<Timestamp>>,
}

impl PartCrashes {
    /// Blames a part for a case, or no longer blames it.
    pub fn set(&mut self, part: FeatureDigest, (engine, request): Case, blamed: bool) {
        let engines = self.blamed.entry(part).or_default();
        let requests = engines.entry(engine).or_default();
        match blamed {
            true => requests.insert(request),
            false => requests.remove(&request),
        };
        if requests.is_empty() {
            engines.remove(&engine);
        }
        if engines.is_empty() {
            self.blamed.remove(&part);
        }
    }

    /// Returns the cases that a part is blamed for.
    pub fn cases(&self, part: &FeatureDigest) -> impl Iterator<Item = Case> {
        let engines = self.blamed.get(part).into_iter().flatten();
        engines.flat_map(|(engine, requests)| requests.iter().map(|request| (*engine, *request)))
    }

    /// Returns the engines that ended and for which a part is blamed, in order.
    pub fn engines(&self, part: &FeatureDigest) -> Vec<EngineKey> {
        let engines = self.blamed.get(part).into_iter();
        engines.flat_map(BTreeMap::keys).copied().collect()
    }

    /// Number of engines that ended and for which a part is blamed.
    pub fn count(&self, part: &FeatureDigest) -> usize {
        self.blamed.get(part).map_or(0, BTreeMap::len)
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

    /// Records that an engine of a service answered a request completely.
    pub fn note_answer(&mut self, service: Option<FeatureDigest>, now: Timestamp) {
        if !self.answers.contains_key(&service) && self.answers.len() >= MAX_SERVICES {
            return;
        }
        let answers = self.answers.entry(service).or_default();
        let last = answers.back().copied();
        if last.is_some_and(|last| now.since(last) < ANSWER_TIME_STEP) {
            return;
        }
        answers.push_back(now);
        if answers.len() > MAX_ANSWER_TIMES {
            answers.pop_front();
        }
    }

    /// Returns when an engine of a service first answered a request completely later than
    /// `at`. Engines of another service say nothing of this one's.
    pub fn answered_after(
        &self,
        service: Option<&FeatureDigest>,
        at: Timestamp,
    ) -> Option<Timestamp> {
        let answers = self.answers.get(&service.copied())?;
        answers.iter().find(|answer| **answer > at).copied()
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
