//! What a request would cost at one engine, in prompt tokens that are read before
//! its own first token.

use molespan_types::ZoneName;

use super::engine::EngineFacts;
use super::table::{Picked, WorkClass};

/// Prompt tokens that a way into another zone weighs as much as.
const ZONE_TOKENS: f64 = 150.0;
/// Prompt tokens that a full set of running requests weighs as much as: it
/// slows each step a little.
const RUNNING_TOKENS: f64 = 600.0;
/// Share of the time of reading a prompt that each request running there weighs:
/// an engine reads a prompt in pieces between the tokens of the others, so that
/// a long one makes all of their pauses long.
const HELD_UP_SHARE: f64 = 0.15;
/// Prompt tokens that a request weighs as much as for which there is no slot.
const WAITING_TOKENS: f64 = 20_000.0;
/// The same where own batch work gives its slot up at once.
const CUT_HERE_TOKENS: f64 = 300.0;
/// The same where another gateway's batch work gives its slot up as soon as that
/// gateway hears of the request.
const CUT_ELSEWHERE_TOKENS: f64 = 3_000.0;

/// Prompt tokens that the usual time of an online answer weighs as much as: an engine
/// that takes longer for it holds the slot for as much longer.
const ANSWER_TOKENS: f64 = 1_000.0;

/// An engine that could be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'e> {
    pub facts: &'e EngineFacts,
    pub load: f64,
    pub unread_tokens: u64,
    pub before_tokens: u64,
    /// Batch requests of this gateway there.
    pub own_batch: f64,
    /// Batch requests of other gateways there.
    pub others_batch: f64,
    /// How long work takes there; 1 is usual.
    pub pace: f64,
    /// Prompt tokens that the usual time of its answer weighs as much as.
    pub answer_tokens: f64,
}

/// Prompt tokens that the usual time of an answer weighs as much as. Batch work takes
/// what is left, whose pace has changed before it ends.
pub(super) fn answer_tokens(class: WorkClass) -> f64 {
    match class {
        WorkClass::Online => ANSWER_TOKENS,
        WorkClass::Batch => 0.0,
    }
}

impl Candidate<'_> {
    /// How long a request of `zone` waits for its first token there, in prompt
    /// tokens.
    pub fn cost(&self, zone: &ZoneName) -> f64 {
        let zone = match self.facts.zone == *zone {
            true => 0.0,
            false => ZONE_TOKENS,
        };
        let slots = f64::from(self.facts.slots);
        let reading = (self.before_tokens + self.unread_tokens) as f64 * self.pace;
        let running = self.load / slots.max(1.0) * RUNNING_TOKENS;
        let held_up = self.load * self.unread_tokens as f64 * HELD_UP_SHARE;
        let answering = (self.pace - 1.0) * self.answer_tokens;
        reading + running + held_up + answering + zone + self.slot_cost(slots)
    }

    /// How long the request waits for a slot. Batch work gives way to it, the
    /// own one first; behind other online requests it waits for the longest.
    fn slot_cost(&self, slots: f64) -> f64 {
        let wanted = (self.load - slots + 1.0).max(0.0);
        let cut_here = wanted.min(self.own_batch);
        let cut_elsewhere = (wanted - cut_here).min(self.others_batch);
        let waiting = wanted - cut_here - cut_elsewhere;
        cut_here * CUT_HERE_TOKENS + cut_elsewhere * CUT_ELSEWHERE_TOKENS + waiting * WAITING_TOKENS
    }

    pub fn picked(&self) -> Picked {
        Picked {
            facts: self.facts.clone(),
            load: self.load,
            unread_tokens: self.unread_tokens,
            before_tokens: self.before_tokens,
            takes_over: false,
        }
    }
}
