//! Online requests at one engine, from this gateway's own requests, notices of
//! other gateways and load reports.
//!
//! Own requests and notices are exact and known at once, but a notice can be
//! lost. A load report arrives late but counts every request. Requests that a
//! report counts in excess of those known at the time of its observation are
//! attributed to lost notices and counted until the next report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};

use super::message::Foreign;
use super::quiet::QuietTime;

/// Time after which a gateway's last notice expires; the engine's load reports
/// include its requests by then.
const NOTICE_TTL: Duration = Duration::from_secs(5);
/// Time after the last online work during which more is considered likely.
const ONLINE_LIKELY_WINDOW: Duration = Duration::from_secs(5);
/// Weight of the newest time to first token in the EWMA.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Estimated time to first token before any is observed.
const INITIAL_FIRST_TOKEN: Duration = Duration::from_millis(200);
/// Maximum number of past changes of the known count that are kept for matching
/// late reports.
const MAX_KNOWN_CHANGES: usize = 256;
/// Tolerance for the difference between the times at which an engine and this
/// gateway see the same request, and for errors in the time of an observation.
const OBSERVATION_TOLERANCE: Duration = Duration::from_millis(20);

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
    /// Time and new value of each change of the known request count, oldest first.
    known_changes: VecDeque<(Timestamp, u32)>,
    /// Requests in the latest report beyond this gateway's own and those in notices.
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

    /// Resets the state after a restart of the engine. Own requests to the earlier
    /// incarnation still end one by one; those of other gateways are dropped.
    pub(super) fn restarted(&mut self) {
        self.notices.clear();
        self.known_changes.clear();
        self.unexplained = 0;
    }

    /// Returns the number of online requests at the engine, as far as known.
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

    /// Applies a load report: the engine counted `online` requests at `observed`.
    pub(super) fn reported(&mut self, now: Timestamp, observed: Timestamp, online: u32) {
        let before = self.total();
        // If the engine counts no request, a notice from well before the
        // observation is stale: the notice of the request's end was lost.
        self.notices.retain(|_, notice| {
            let fresh = now.since(notice.at) < NOTICE_TTL;
            let contradicted = online == 0 && notice.at + OBSERVATION_TOLERANCE <= observed;
            fresh && !contradicted
        });
        self.unexplained = online.saturating_sub(self.known_near(observed));
        if self.total() > 0 {
            self.last_activity = Some(now);
        }
        self.note_known(now);
        self.note_idle(now, before);
    }

    /// Whether some online request probably still awaits its first token.
    pub(super) fn awaits_first_token(&self, now: Timestamp) -> bool {
        let typical = Duration::from_secs_f64(self.first_token_seconds);
        let foreign = self
            .last_foreign_arrival
            .is_some_and(|arrival| now.since(arrival) < typical);
        self.own_waiting > 0 || foreign
    }

    /// Whether there was online work recently, so that more is likely.
    pub(super) fn is_likely(&self, now: Timestamp) -> bool {
        self.last_activity
            .is_some_and(|activity| now.since(activity) < ONLINE_LIKELY_WINDOW)
    }

    /// Returns the end of the quiet period after the last online request; `None`
    /// while there are online requests or there has never been one.
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
        if self.known_changes.len() == MAX_KNOWN_CHANGES {
            self.known_changes.pop_front();
        }
        self.known_changes.push_back((now, known));
    }

    /// Returns the highest number of requests that was known around `observed`.
    fn known_near(&self, observed: Timestamp) -> u32 {
        let mut most = 0;
        for (at, known) in self.known_changes.iter().rev() {
            if *at > observed + OBSERVATION_TOLERANCE {
                continue;
            }
            most = most.max(*known);
            if *at + OBSERVATION_TOLERANCE <= observed {
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
