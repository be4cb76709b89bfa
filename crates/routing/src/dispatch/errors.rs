//! Detects engines that fail some of their requests and answer the others.
//!
//! Health checks don't reveal such an engine, and a success between two failures hides them
//! from a count of consecutive failures. One gateway of many sees few answers of an engine,
//! so the counts of all gateways are added up.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::DecayingSum;

/// Decay time of the counts. With it an engine is avoided for about 5 s.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Decaying counts are reported in units of 1/10 answer.
const COUNT_SCALE: f64 = 10.0;
/// Recent errors at which an engine may be avoided; fewer may be chance.
const AVOID_THRESHOLD: f64 = 3.0;
/// Recent errors below which an avoided engine is tried again.
const RETRY_THRESHOLD: f64 = 0.8;
/// Minimum share of errors among recent answers for an engine to be avoided. Every engine
/// breaks off a single answer now and then; that rate stays far below.
const MIN_ERROR_RATE: f64 = 0.15;

/// Recent errors and answers of one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct ErrorStats {
    errors: DecayingSum,
    answers: DecayingSum,
    avoided: bool,
}

/// Recent errors and answers, in tenths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub errors: u32,
    pub answers: u32,
}

impl Default for ErrorStats {
    fn default() -> Self {
        Self {
            errors: DecayingSum::new(DECAY_TIME),
            answers: DecayingSum::new(DECAY_TIME),
            avoided: false,
        }
    }
}

impl ErrorStats {
    /// Records the end of a request, and whether the engine failed it.
    pub fn note(&mut self, failed: bool, now: Timestamp) {
        self.answers.add(1.0, now);
        if failed {
            self.errors.add(1.0, now);
        }
    }

    /// Returns this gateway's own counts, to report to others.
    pub fn own(&self, now: Timestamp) -> Counts {
        let scaled = |count: &DecayingSum| (count.at(now) * COUNT_SCALE).round() as u32;
        Counts {
            errors: scaled(&self.errors),
            answers: scaled(&self.answers),
        }
    }

    /// Whether the engine is avoided, by this gateway's counts and those that `others`
    /// reported. Once avoided, it stays so until its recent errors fall below the lower
    /// threshold.
    pub fn is_avoided(&self, others: Counts, now: Timestamp) -> bool {
        let errors = self.errors.at(now) + f64::from(others.errors) / COUNT_SCALE;
        let answers = self.answers.at(now) + f64::from(others.answers) / COUNT_SCALE;
        match self.avoided {
            true => errors >= RETRY_THRESHOLD,
            false => errors >= AVOID_THRESHOLD && errors >= answers * MIN_ERROR_RATE,
        }
    }

    /// Stores the current decision, so that the lower threshold applies while the engine is
    /// avoided.
    pub fn update_avoided(&mut self, others: Counts, now: Timestamp) {
        self.avoided = self.is_avoided(others, now);
    }
}
