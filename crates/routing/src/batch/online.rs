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

use super::message::OnlineNotice;
use super::quiet::QuietPeriod;

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
    own_requests: u32,
    own_awaiting_first_token: u32,
    notices: BTreeMap<NodeId, Notice>,
    /// Time and new value of each change of the known request count, oldest first.
    known_changes: VecDeque<(Timestamp, u32)>,
    /// Requests in the latest report beyond this gateway's own and those in notices.
    unannounced: u32,
    last_foreign_arrival: Option<Timestamp>,
    last_activity: Option<Timestamp>,
    first_token_seconds: f64,
    quiet: QuietPeriod,
}

impl OnlineView {
    pub(super) fn new() -> Self {
        Self {
            own_requests: 0,
            own_awaiting_first_token: 0,
            notices: BTreeMap::new(),
            known_changes: VecDeque::new(),
            unannounced: 0,
            last_foreign_arrival: None,
            last_activity: None,
            first_token_seconds: INITIAL_FIRST_TOKEN.as_secs_f64(),
            quiet: QuietPeriod::new(),
        }
    }

    /// Resets the state after a restart of the engine. Own requests to the earlier
    /// incarnation still end one by one; those of other gateways are dropped.
    pub(super) fn reset_for_restart(&mut self) {
        self.notices.clear();
        self.known_changes.clear();
        self.unannounced = 0;
    }

    /// Returns the number of online requests at the engine, as far as known.
    pub(super) fn total(&self) -> u32 {
        self.known_requests() + self.unannounced
    }

    fn known_requests(&self) -> u32 {
        let in_notices: u32 = self.notices.values().map(|notice| notice.in_flight).sum();
        self.own_requests + in_notices
    }

    pub(super) fn request_started(&mut self, now: Timestamp) {
        self.quiet.record_arrival(now);
        self.own_awaiting_first_token += 1;
        self.own_requests += 1;
        self.record_activity(now);
    }

    pub(super) fn first_token_received(&mut self, after: Duration) {
        self.own_awaiting_first_token = self.own_awaiting_first_token.saturating_sub(1);
        let difference = after.as_secs_f64() - self.first_token_seconds;
        self.first_token_seconds += FIRST_TOKEN_WEIGHT * difference;
    }

    pub(super) fn request_finished(&mut self, now: Timestamp) {
        let before = self.total();
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_awaiting_first_token = self.own_awaiting_first_token.min(self.own_requests);
        self.record_activity(now);
        self.record_if_idle(now, before);
    }

    pub(super) fn apply_notice(&mut self, now: Timestamp, received: OnlineNotice) {
        let before = self.total();
        let notice = Notice {
            in_flight: received.in_flight,
            at: now,
        };
        self.notices.insert(received.from, notice);
        self.record_activity(now);
        if received.prompt_tokens > 0 {
            self.quiet.record_arrival(now);
            self.last_foreign_arrival = Some(now);
            return;
        }
        self.record_if_idle(now, before);
    }

    /// Applies a load report: the engine counted `online` requests at `observed`.
    pub(super) fn apply_report(&mut self, now: Timestamp, observed: Timestamp, online: u32) {
        let before = self.total();
        // If the engine counts no request, a notice from well before the
        // observation is stale: the notice of the request's end was lost.
        self.notices.retain(|_, notice| {
            let fresh = now.since(notice.at) < NOTICE_TTL;
            let contradicted = online == 0 && notice.at + OBSERVATION_TOLERANCE <= observed;
            fresh && !contradicted
        });
        self.unannounced = online.saturating_sub(self.max_known_near(observed));
        if self.total() > 0 {
            self.last_activity = Some(now);
        }
        self.record_known(now);
        self.record_if_idle(now, before);
    }

    /// Whether some online request probably still awaits its first token.
    pub(super) fn awaits_first_token(&self, now: Timestamp) -> bool {
        let typical = Duration::from_secs_f64(self.first_token_seconds);
        let foreign = self
            .last_foreign_arrival
            .is_some_and(|arrival| now.since(arrival) < typical);
        self.own_awaiting_first_token > 0 || foreign
    }

    /// Whether there was online work recently, so that more is likely.
    pub(super) fn is_online_likely(&self, now: Timestamp) -> bool {
        self.last_activity
            .is_some_and(|activity| now.since(activity) < ONLINE_LIKELY_WINDOW)
    }

    /// Returns the end of the quiet period after the last online request; `None`
    /// while there are online requests or there has never been one.
    pub(super) fn quiet_until(&self, factor: f64) -> Option<Timestamp> {
        self.quiet.ends_at(factor)
    }

    fn record_activity(&mut self, now: Timestamp) {
        self.last_activity = Some(now);
        self.record_known(now);
    }

    fn record_known(&mut self, now: Timestamp) {
        let known = self.known_requests();
        if self.known_changes.back().map(|(_, last)| *last) == Some(known) {
            return;
        }
        if self.known_changes.len() == MAX_KNOWN_CHANGES {
            self.known_changes.pop_front();
        }
        self.known_changes.push_back((now, known));
    }

    /// Returns the highest number of requests that was known around `observed`.
    fn max_known_near(&self, observed: Timestamp) -> u32 {
        let mut max_known = 0;
        for (at, known) in self.known_changes.iter().rev() {
            if *at > observed + OBSERVATION_TOLERANCE {
                continue;
            }
            max_known = max_known.max(*known);
            if *at + OBSERVATION_TOLERANCE <= observed {
                break;
            }
        }
        max_known
    }

    fn record_if_idle(&mut self, now: Timestamp, before: u32) {
        if before > 0 && self.total() == 0 {
            self.quiet.record_idle(now);
        }
    }
}
