//! Records of ended attempts. A record expires after the retention time; after
//! that, only the existence of the attempt is known.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use molespan_engine_api::{RequestState, Usage};
use molespan_types::{Timestamp, digest_of};

use super::{AnswerText, AttemptKey};

/// Maximum number of attempts whose existence is tracked after their records
/// expired.
const MAX_TRACKED_ATTEMPTS: usize = 262_144;

/// Record of an ended attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// `Completed` or `Cancelled`.
    pub state: RequestState,
    /// Generator of the answer's text.
    pub text: AnswerText,
    /// Number of tokens requested.
    pub max_tokens: u32,
    /// Token counts.
    pub usage: Usage,
}

/// Result of looking up an attempt that is not live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLookup {
    /// The attempt ended and its record is still retained.
    Finished(FinishedAttempt),
    /// The attempt ended, or may have ended; no record is left.
    Forgotten,
    /// The attempt was never submitted.
    NeverSeen,
}

/// Bounded store of ended attempts.
#[derive(Clone, Debug)]
pub struct FinishedAttempts {
    retention: Duration,
    limit: usize,
    attempts: HashMap<AttemptKey, FinishedAttempt>,
    order: VecDeque<(Timestamp, AttemptKey)>,
    known: HashSet<u64>,
    known_order: VecDeque<u64>,
    tracking_overflowed: bool,
}

impl FinishedAttempts {
    /// Creates a store of at most `limit` records, each kept for `retention`.
    #[must_use]
    pub fn new(retention: Duration, limit: usize) -> Self {
        Self {
            retention,
            limit,
            attempts: HashMap::new(),
            order: VecDeque::new(),
            known: HashSet::new(),
            known_order: VecDeque::new(),
            tracking_overflowed: false,
        }
    }

    /// Records an attempt that ended at `now`.
    pub fn insert(&mut self, now: Timestamp, attempt: AttemptKey, finished: FinishedAttempt) {
        self.attempts.insert(attempt.clone(), finished);
        self.order.push_back((now, attempt));
        self.drop_expired(now);
    }

    /// Looks up `attempt`.
    #[must_use]
    pub fn lookup(&self, attempt: &str) -> AttemptLookup {
        if let Some(finished) = self.attempts.get(attempt) {
            return AttemptLookup::Finished(*finished);
        }
        // Invariant: `NeverSeen` is returned only when it is certain, since
        // clients interpret it as "not run".
        if self.tracking_overflowed || self.known.contains(&digest_of(attempt.as_bytes()).0) {
            return AttemptLookup::Forgotten;
        }
        AttemptLookup::NeverSeen
    }

    /// Whether the attempt is known to have existed. When this is `false`,
    /// [`AttemptLookup::Forgotten`] only means that older attempts are no longer
    /// tracked.
    #[must_use]
    pub fn has_existed(&self, attempt: &str) -> bool {
        self.known.contains(&digest_of(attempt.as_bytes()).0)
    }

    /// Drops the records that exceed the retention time or the limit.
    pub fn drop_expired(&mut self, now: Timestamp) {
        while let Some((ended_at, _)) = self.order.front() {
            let expired = now.since(*ended_at) > self.retention;
            if !expired && self.order.len() <= self.limit {
                break;
            }
            if let Some((_, attempt)) = self.order.pop_front() {
                self.attempts.remove(&attempt);
                self.track_existence(&attempt);
            }
        }
    }

    fn track_existence(&mut self, attempt: &str) {
        let digest = digest_of(attempt.as_bytes()).0;
        if self.known.insert(digest) {
            self.known_order.push_back(digest);
        }
        if self.known_order.len() > MAX_TRACKED_ATTEMPTS {
            self.tracking_overflowed = true;
            if let Some(oldest) = self.known_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}
