//! Whether an engine fails part of its requests while it answers the others.
//!
//! Its health check says nothing of it, and a success between two failures hides
//! them from whoever counts failures in a row. One gateway of many sees few answers
//! of an engine, so that all of them count together.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::FadingSum;

/// Time over which answers fade. With it an engine is left alone for some 5 s once
/// it was avoided.
const FADES_OVER: Duration = Duration::from_secs(4);
/// Answers that a fading count is told in parts of.
const TOLD_PARTS: f64 = 10.0;
/// Errors lately from which on an engine may be avoided: fewer may be chance.
const AVOIDED_FROM: f64 = 3.0;
/// Errors lately below which it is tried again.
const TRIED_BELOW: f64 = 0.8;
/// Part of its answers that have to be errors: single broken answers, which every
/// engine has now and then, stay far below.
const ERROR_SHARE: f64 = 0.15;

/// Answers of one engine, to this gateway and to others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Errors {
    errors: FadingSum,
    answers: FadingSum,
    avoided: bool,
}

/// Errors and answers lately, in tenths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub errors: u32,
    pub answers: u32,
}

impl Default for Errors {
    fn default() -> Self {
        Self {
            errors: FadingSum::new(FADES_OVER),
            answers: FadingSum::new(FADES_OVER),
            avoided: false,
        }
    }
}

impl Errors {
    /// The engine answered a request and ran it to a good end, or failed it.
    pub fn note(&mut self, failed: bool, now: Timestamp) {
        self.answers.add(1.0, now);
        if failed {
            self.errors.add(1.0, now);
        }
    }

    /// What this gateway saw, for telling others.
    pub fn own(&self, now: Timestamp) -> Counts {
        let told = |count: &FadingSum| (count.at(now) * TOLD_PARTS).round() as u32;
        Counts {
            errors: told(&self.errors),
            answers: told(&self.answers),
        }
    }

    /// Whether the engine is avoided, by what this gateway saw and `others` told.
    pub fn is_avoided(&self, others: Counts, now: Timestamp) -> bool {
        let errors = self.errors.at(now) + f64::from(others.errors) / TOLD_PARTS;
        let answers = self.answers.at(now) + f64::from(others.answers) / TOLD_PARTS;
        match self.avoided {
            true => errors >= TRIED_BELOW,
            false => errors >= AVOIDED_FROM && errors >= answers * ERROR_SHARE,
        }
    }

    /// Remembers whether it is avoided by now, so that it stays so for a while.
    pub fn decide(&mut self, others: Counts, now: Timestamp) {
        self.avoided = self.is_avoided(others, now);
    }
}
