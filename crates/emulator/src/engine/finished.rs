//! Ended attempts: remembered for a while, then only known to have existed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use molespan_engine_api::{RequestState, Usage};
use molespan_types::{Timestamp, digest_of};

use super::{AnswerText, AttemptKey};

/// Attempts known to have existed after their answers are forgotten.
const KNOWN_ATTEMPTS: usize = 262_144;

/// An attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// `Completed` or `Cancelled`.
    pub state: RequestState,
    /// Source of the answer's text.
    pub text: AnswerText,
    /// Tokens that were asked for.
    pub max_tokens: u32,
    /// Token counts.
    pub usage: Usage,
}

/// What is known of an attempt that is not live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recollection {
    /// It ended and its answer is still there.
    Finished(FinishedAttempt),
    /// It ended, or may have; nothing else is known.
    Forgotten,
    /// It was never seen.
    NeverSeen,
}

/// Bounded memory of ended attempts.
#[derive(Clone, Debug)]
pub struct FinishedAttempts {
    retention: Duration,
    limit: usize,
    attempts: HashMap<AttemptKey, FinishedAttempt>,
    order: VecDeque<(Timestamp, AttemptKey)>,
    known: HashSet<u64>,
    known_order: VecDeque<u64>,
    overflowed: bool,
}

impl FinishedAttempts {
    /// Remembers at most `limit` answers, each for `retention`.
    #[must_use]
    pub fn new(retention: Duration, limit: usize) -> Self {
        Self {
            retention,
            limit,
            attempts: HashMap::new(),
            order: VecDeque::new(),
            known: HashSet::new(),
            known_order: VecDeque::new(),
            overflowed: false,
        }
    }

    /// Remembers an attempt that ended at `now`.
    pub fn insert(&mut self, now: Timestamp, attempt: AttemptKey, finished: FinishedAttempt) {
        self.attempts.insert(attempt.clone(), finished);
        self.order.push_back((now, attempt));
        self.forget_old(now);
    }

    /// What is known of `attempt`.
    #[must_use]
    pub fn recall(&self, attempt: &str) -> Recollection {
        if let Some(finished) = self.attempts.get(attempt) {
            return Recollection::Finished(*finished);
        }
        // Invariant: `NeverSeen` is said only when it is certain, since a
        // client takes it for "not run".
        if self.overflowed || self.known.contains(&digest_of(attempt.as_bytes()).0) {
            return Recollection::Forgotten;
        }
        Recollection::NeverSeen
    }

    /// Whether the attempt itself, and not only the limit of this memory, is
    /// the reason for [`Recollection::Forgotten`].
    #[must_use]
    pub fn knows(&self, attempt: &str) -> bool {
        self.known.contains(&digest_of(attempt.as_bytes()).0)
    }

    /// Forgets the answers that are too old or too many.
    pub fn forget_old(&mut self, now: Timestamp) {
        while let Some((ended_at, _)) = self.order.front() {
            let expired = now.since(*ended_at) > self.retention;
            if !expired && self.order.len() <= self.limit {
                break;
            }
            if let Some((_, attempt)) = self.order.pop_front() {
                self.attempts.remove(&attempt);
                self.remember_existence(&attempt);
            }
        }
    }

    fn remember_existence(&mut self, attempt: &str) {
        let digest = digest_of(attempt.as_bytes()).0;
        if self.known.insert(digest) {
            self.known_order.push_back(digest);
        }
        if self.known_order.len() > KNOWN_ATTEMPTS {
            self.overflowed = true;
            if let Some(oldest) = self.known_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}
