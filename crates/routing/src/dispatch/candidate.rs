//! Cost of a request at one engine, in prompt tokens that are read before its own first
//! token.

use molespan_types::ZoneName;

use super::engine::EngineFacts;
use super::table::{Picked, WorkClass};

/// Cost of sending a request to another zone, in prompt tokens.
const ZONE_TOKENS: f64 = 150.0;
/// Cost of a full set of running requests, in prompt tokens: it slows each step a little.
const RUNNING_TOKENS: f64 = 600.0;
/// Cost for each request running there, as a share of the time to read the prompt. An
/// engine reads a prompt in chunks between the tokens of the other requests, so a long
/// prompt lengthens the pauses of all of them.
const DELAY_SHARE: f64 = 0.15;
/// Cost of each request too many that has to wait for a slot, in prompt tokens.
const WAITING_TOKENS: f64 = 20_000.0;
/// Cost of each request too many where this gateway's batch work frees a slot at once, in
/// prompt tokens.
const PREEMPT_OWN_TOKENS: f64 = 300.0;
/// Cost of each request too many where another gateway's batch work frees a slot once that
/// gateway learns of the request, in prompt tokens.
const PREEMPT_OTHERS_TOKENS: f64 = 3_000.0;

/// Cost of the usual time of an online answer, in prompt tokens: a slower engine holds the
/// slot for that much longer.
const ANSWER_TOKENS: f64 = 1_000.0;

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'e> {
    pub facts: &'e EngineFacts,
    pub load: f64,
    pub unread_tokens: u64,
    pub queued_tokens: u64,
    /// Batch requests of this gateway there.
    pub own_batch: f64,
    /// Batch requests of other gateways there.
    pub others_batch: f64,
    /// Pace: how long work takes there, where 1 is usual.
    pub pace: f64,
    /// Cost of the usual time of the request's answer, in prompt tokens.
    pub answer_tokens: f64,
}

/// Returns the cost of the usual time of an answer, in prompt tokens. Zero for batch work:
/// it takes what is left, and the pace changes before it ends.
pub(super) fn answer_tokens(class: WorkClass) -> f64 {
    match class {
        WorkClass::Online => ANSWER_TOKENS,
        WorkClass::Batch => 0.0,
    }
}

impl Candidate<'_> {
    /// Returns the estimated wait of a request from `zone` for its first token there, in
    /// prompt tokens.
    pub fn cost(&self, zone: &ZoneName) -> f64 {
        let zone = match self.facts.zone == *zone {
            true => 0.0,
            false => ZONE_TOKENS,
        };
        let slots = f64::from(self.facts.slots);
        let reading = (self.queued_tokens + self.unread_tokens) as f64 * self.pace;
        let running = self.load / slots.max(1.0) * RUNNING_TOKENS;
        let delaying = self.load * self.unread_tokens as f64 * DELAY_SHARE;
        let answering = (self.pace - 1.0) * self.answer_tokens;
        reading + running + delaying + answering + zone + self.slot_cost(slots)
    }

    /// Returns the estimated wait for a slot. Batch work is preempted, this gateway's
    /// first; behind other online requests the wait is the longest.
    fn slot_cost(&self, slots: f64) -> f64 {
        let wanted = (self.load - slots + 1.0).max(0.0);
        let preempted_own = wanted.min(self.own_batch);
        let preempted_others = (wanted - preempted_own).min(self.others_batch);
        let waiting = wanted - preempted_own - preempted_others;
        preempted_own * PREEMPT_OWN_TOKENS
            + preempted_others * PREEMPT_OTHERS_TOKENS
            + waiting * WAITING_TOKENS
    }

    pub fn picked(&self) -> Picked {
        Picked {
            facts: self.facts.clone(),
            load: self.load,
            unread_tokens: self.unread_tokens,
            queued_tokens: self.queued_tokens,
            takes_over: false,
        }
    }
}
