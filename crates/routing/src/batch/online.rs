//! Online work at one engine, from own sends, notices and reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};

use super::message::Foreign;
use super::quiet::QuietTime;

/// Silence after which a gateway's notice no longer counts; what it sent is in
/// the engine's reports by then.
const NOTICE_VALID_FOR: Duration = Duration::from_secs(5);
/// Time since the last online work within which more is likely.
const LIKELY_FOR: Duration = Duration::from_secs(5);
/// Weight of the newest time to the first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Time to the first token before any was seen.
const INITIAL_FIRST_TOKEN: Duration = Duration::from_millis(200);
/// Changes of the own count that are kept to match late reports.
const MOST_CHANGES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Notice {
    in_flight: u32,
    at: Timestamp,
}

/// Online work at one engine.
#[derive(Clone, Debug)]
pub(super) struct OnlineView {
    own: u32,
    own_waiting: u32,
    /// Own count after each change, oldest first.
    own_changes: VecDeque<(Timestamp, u32)>,
    notices: BTreeMap<NodeId, Notice>,
    reported_foreign: u32,
    last_foreign_arrival: Option<Timestamp>,
    last_activity: Option<Timestamp>,
    first_token_seconds: f64,
    quiet: QuietTime,
}

impl OnlineView {
    pub(super) fn new() -> Self {
        Self {
            own: 0,
            own_waiting: 0,
            own_changes: VecDeque::new(),
            notices: BTreeMap::new(),
            reported_foreign: 0,
            last_foreign_arrival: None,
            last_activity: None,
            first_token_seconds: INITIAL_FIRST_TOKEN.as_secs_f64(),
            quiet: QuietTime::new(),
        }
    }

    /// Online requests there, as far as is known.
    pub(super) fn total(&self) -> u32 {
        let noticed: u32 = self.notices.values().map(|notice| notice.in_flight).sum();
        self.own + self.reported_foreign.max(noticed)
    }

    pub(super) fn started(&mut self, now: Timestamp) {
        self.quiet.arrived(now);
        self.own_waiting += 1;
        self.set_own(now, self.own + 1);
    }

    pub(super) fn first_token(&mut self, after: Duration) {
        self.own_waiting = self.own_waiting.saturating_sub(1);
        let difference = after.as_secs_f64() - self.first_token_seconds;
        self.first_token_seconds += FIRST_TOKEN_WEIGHT * difference;
    }

    pub(super) fn finished(&mut self, now: Timestamp) {
        let before = self.total();
        self.set_own(now, self.own.saturating_sub(1));
        self.own_waiting = self.own_waiting.min(self.own);
        self.note_idle(now, before);
    }

    pub(super) fn noticed(&mut self, now: Timestamp, foreign: Foreign) {
        let before = self.total();
        let notice = Notice {
            in_flight: foreign.in_flight,
            at: now,
        };
        let earlier = self.notices.insert(foreign.from, notice);
        self.last_activity = Some(now);
        if foreign.prompt_tokens > 0 {
            self.quiet.arrived(now);
            self.last_foreign_arrival = Some(now);
            return;
        }
        // A request ended that the last report may still count.
        let ended = earlier.map_or(0, |earlier| {
            earlier.in_flight.saturating_sub(foreign.in_flight)
        });
        self.reported_foreign = self.reported_foreign.saturating_sub(ended);
        self.note_idle(now, before);
    }

    /// Takes the online requests that the engine counted at `observed`.
    pub(super) fn reported(&mut self, now: Timestamp, observed: Timestamp, online: u32) {
        let before = self.total();
        self.notices.retain(|_, notice| {
            let fresh = now.since(notice.at) < NOTICE_VALID_FOR;
            notice.at > observed && fresh
        });
        self.reported_foreign = online.saturating_sub(self.own_at(observed));
        if self.total() > 0 {
            self.last_activity = Some(now);
        }
        self.note_idle(now, before);
    }

    /// Whether some online request probably has no token yet.
    pub(super) fn awaits_first_token(&self, now: Timestamp) -> bool {
        let typical = Duration::from_secs_f64(self.first_token_seconds);
        let foreign = self
            .last_foreign_arrival
            .is_some_and(|arrival| now.since(arrival) < typical);
        self.own_waiting > 0 || foreign
    }

    /// Whether online work was there lately.
    pub(super) fn is_likely(&self, now: Timestamp) -> bool {
        self.last_activity
            .is_some_and(|activity| now.since(activity) < LIKELY_FOR)
    }

    /// Until when batch work stays back after the last online request; `None`
    /// when there is online work or there never was any.
    pub(super) fn quiet_until(&self, factor: f64) -> Option<Timestamp> {
        self.quiet.over_at(factor)
    }

    fn set_own(&mut self, now: Timestamp, own: u32) {
        self.own = own;
        self.last_activity = Some(now);
        if self.own_changes.len() == MOST_CHANGES {
            self.own_changes.pop_front();
        }
        self.own_changes.push_back((now, own));
    }

    fn own_at(&self, observed: Timestamp) -> u32 {
        let earlier = self.own_changes.iter().rev();
        let mut earlier = earlier.skip_while(|(at, _)| *at > observed);
        earlier.next().map_or(0, |(_, own)| *own)
    }

    fn note_idle(&mut self, now: Timestamp, before: u32) {
        if before > 0 && self.total() == 0 {
            self.quiet.fell_idle(now);
        }
    }
}
