//! Online work at one engine, from own sends, notices and reports.
//!
//! Own sends and the notices of other gateways are exact and come at once, but
//! a notice can be lost. A report comes late and counts everything. What a
//! report counts beyond that which was known when it was observed is work
//! whose notice was lost; it stands until the next report.

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
/// Changes of the known count that are kept to match late reports.
const MOST_CHANGES: usize = 256;
/// How far apart an engine and this gateway may learn of the same request, and
/// how wrong the time of an observation may be.
const SKEW: Duration = Duration::from_millis(20);

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
    notices: BTreeMap<NodeId, Notice>,
    /// Own and noticed requests after each change, oldest first.
    known_changes: VecDeque<(Timestamp, u32)>,
    /// Requests of the latest report that neither own sends nor notices explain.
    unexplained: u32,
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
            notices: BTreeMap::new(),
            known_changes: VecDeque::new(),
            unexplained: 0,
            last_foreign_arrival: None,
            last_activity: None,
            first_token_seconds: INITIAL_FIRST_TOKEN.as_secs_f64(),
            quiet: QuietTime::new(),
        }
    }

    /// The engine restarted. Own requests to its earlier life still end one by
    /// one; what others had there is gone.
    pub(super) fn restarted(&mut self) {
        self.notices.clear();
        self.known_changes.clear();
        self.unexplained = 0;
    }

    /// Online requests there, as far as is known.
    pub(super) fn total(&self) -> u32 {
        self.known() + self.unexplained
    }

    fn known(&self) -> u32 {
        let noticed: u32 = self.notices.values().map(|notice| notice.in_flight).sum();
        self.own + noticed
    }

    pub(super) fn started(&mut self, now: Timestamp) {
        self.quiet.arrived(now);
        self.own_waiting += 1;
        self.own += 1;
        self.note_change(now);
    }

    pub(super) fn first_token(&mut self, after: Duration) {
        self.own_waiting = self.own_waiting.saturating_sub(1);
        let difference = after.as_secs_f64() - self.first_token_seconds;
        self.first_token_seconds += FIRST_TOKEN_WEIGHT * difference;
    }

    pub(super) fn finished(&mut self, now: Timestamp) {
        let before = self.total();
        self.own = self.own.saturating_sub(1);
        self.own_waiting = self.own_waiting.min(self.own);
        self.note_change(now);
        self.note_idle(now, before);
    }

    pub(super) fn noticed(&mut self, now: Timestamp, foreign: Foreign) {
        let before = self.total();
        let notice = Notice {
            in_flight: foreign.in_flight,
            at: now,
        };
        self.notices.insert(foreign.from, notice);
        self.note_change(now);
        if foreign.prompt_tokens > 0 {
            self.quiet.arrived(now);
            self.last_foreign_arrival = Some(now);
            return;
        }
        self.note_idle(now, before);
    }

    /// Takes the online requests that the engine counted at `observed`.
    pub(super) fn reported(&mut self, now: Timestamp, observed: Timestamp, online: u32) {
        let before = self.total();
        // Once an engine counts nothing, the end of what was noticed well
        // before got lost.
        self.notices.retain(|_, notice| {
            let fresh = now.since(notice.at) < NOTICE_VALID_FOR;
            let contradicted = online == 0 && notice.at + SKEW <= observed;
            fresh && !contradicted
        });
        self.unexplained = online.saturating_sub(self.known_near(observed));
        if self.total() > 0 {
            self.last_activity = Some(now);
        }
        self.note_known(now);
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

    fn note_change(&mut self, now: Timestamp) {
        self.last_activity = Some(now);
        self.note_known(now);
    }

    fn note_known(&mut self, now: Timestamp) {
        let known = self.known();
        if self.known_changes.back().map(|(_, last)| *last) == Some(known) {
            return;
        }
        if self.known_changes.len() == MOST_CHANGES {
            self.known_changes.pop_front();
        }
        self.known_changes.push_back((now, known));
    }

    /// The most requests that were known of around `observed`.
    fn known_near(&self, observed: Timestamp) -> u32 {
        let mut most = 0;
        for (at, known) in self.known_changes.iter().rev() {
            if *at > observed + SKEW {
                continue;
            }
            most = most.max(*known);
            if *at + SKEW <= observed {
                break;
            }
        }
        most
    }

    fn note_idle(&mut self, now: Timestamp, before: u32) {
        if before > 0 && self.total() == 0 {
            self.quiet.fell_idle(now);
        }
    }
}
