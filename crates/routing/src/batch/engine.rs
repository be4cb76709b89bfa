//! State of one owned engine: its online requests, its batch streams and their
//! limit.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_types::Timestamp;

use super::message::{BatchDecision, OwnedEngine, RequestNumber, StreamId};
use super::online::OnlineView;
use super::policy::BatchPolicy;
use super::step_cost::StepCost;
use crate::pick::LoadSample;

/// Factor by which the limit grows on a report with a short step.
const LIMIT_GROWTH: f64 = 1.25;
/// Factor by which the limit shrinks on a report with a long step.
const LIMIT_DECREASE: f64 = 0.8;
/// Minimum cap on concurrent batch prefills while no online work is likely.
const PREFILLS_WITHOUT_ONLINE: u32 = 8;

/// How many batch streams may run at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Allowance {
    /// At most this many.
    UpTo(u32),
    /// Online work ended recently: running streams continue, but none are
    /// started or resumed.
    AsIs,
}

/// One owned engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) owned: OwnedEngine,
    /// Whether streams may be started on the engine.
    pub(super) open: bool,
    /// Whether the gateway has given up ownership of the engine.
    pub(super) released: bool,
    pub(super) online: OnlineView,
    pub(super) streams: BTreeSet<StreamId>,
    /// The lease request in flight, if any.
    pub(super) lease_request: Option<RequestNumber>,
    /// No stream is started before this time, after the engine failed one.
    pub(super) backoff_until: Timestamp,
    /// Since when online work has left no capacity for batch streams.
    pub(super) no_capacity_since: Option<Timestamp>,
    pub(super) kv_used: f64,
    limit: f64,
    max_streams: u32,
    max_running: Option<u32>,
    last_sequence: Option<u64>,
    step_cost: StepCost,
}

impl Engine {
    pub(super) fn new(owned: OwnedEngine, initial: u32, max_streams: u32) -> Self {
        Self {
            owned,
            open: true,
            released: false,
            online: OnlineView::new(),
            streams: BTreeSet::new(),
            lease_request: None,
            backoff_until: Timestamp::ZERO,
            no_capacity_since: None,
            kv_used: 0.0,
            limit: f64::from(initial),
            max_streams,
            max_running: None,
            last_sequence: None,
            step_cost: StepCost::default(),
        }
    }

    /// Resets the state for a new incarnation. Streams and this gateway's own
    /// online requests are kept, since their ends are still reported.
    pub(super) fn restart(&mut self, owned: OwnedEngine, initial: u32) {
        let before = std::mem::replace(self, Self::new(owned, initial, self.max_streams));
        self.streams = before.streams;
        self.lease_request = before.lease_request;
        self.online = before.online;
        self.online.reset_for_restart();
    }

    /// Returns the maximum number of batch streams without online work.
    pub(super) fn limit(&self) -> u32 {
        let limit = self.limit as u32;
        let max_streams = self
            .max_running
            .unwrap_or(self.max_streams)
            .min(self.max_streams);
        limit.min(max_streams).max(1)
    }

    /// Returns how many batch streams may run now.
    pub(super) fn allowance(&self, now: Timestamp, policy: &BatchPolicy) -> Allowance {
        let online = self.online.total();
        if online == 0 {
            let quiet_until = self.online.quiet_until(policy.quiet_factor);
            let quiet = quiet_until.is_none_or(|until| until <= now);
            return if quiet {
                Allowance::UpTo(self.limit())
            } else {
                Allowance::AsIs
            };
        }
        let none = policy.batch_headroom_share <= 0.0 || self.online.awaits_first_token(now);
        if none {
            return Allowance::UpTo(0);
        }
        Allowance::UpTo(self.streams_beside_online(online, policy))
    }

    /// Returns the number of batch streams that may run beside `online` requests
    /// without exceeding the token interval promised to online callers.
    fn streams_beside_online(&self, online: u32, policy: &BatchPolicy) -> u32 {
        let by_step = self
            .step_cost
            .max_running_within(policy.token_target())
            .unwrap_or(self.limit() / 2);
        let by_engine = self.max_running.unwrap_or(self.max_streams);
        let headroom = by_step.min(by_engine).saturating_sub(online);
        let shared = f64::from(headroom) * policy.batch_headroom_share;
        (shared as u32).min(self.limit())
    }

    /// Returns the maximum number of concurrent batch prefills.
    pub(super) fn max_prefills(&self, now: Timestamp, policy: &BatchPolicy) -> u32 {
        if self.online.is_online_likely(now) {
            policy.max_prefills
        } else {
            policy.max_prefills.max(PREFILLS_WITHOUT_ONLINE)
        }
    }

    /// Applies a load report and returns a decision if it changed the limit.
    /// Reports of another incarnation and out-of-order reports are ignored.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        sample: &LoadSample,
        policy: &BatchPolicy,
    ) -> Option<BatchDecision> {
        let later = self.last_sequence.is_none_or(|last| sample.sequence > last);
        if sample.incarnation != self.owned.incarnation || !later {
            return None;
        }
        self.last_sequence = Some(sample.sequence);
        self.kv_used = sample.kv_used;
        if sample.max_running > 0 {
            self.max_running = Some(sample.max_running);
        }
        self.online
            .apply_report(now, sample.observed, sample.online);
        let online_running = sample.online.saturating_sub(sample.online_waiting);
        let running = online_running + sample.batch_running;
        self.step_cost.observe(running, sample.step);
        self.adapt_limit(sample, policy)
    }

    /// Grows the limit while it is in use and steps are short, and cuts it when
    /// they are long. Reports with online requests are ignored, since their
    /// step does not show the effect of batch streams alone.
    fn adapt_limit(&mut self, sample: &LoadSample, policy: &BatchPolicy) -> Option<BatchDecision> {
        if sample.online > 0 || sample.batch_running == 0 || sample.step.is_zero() {
            return None;
        }
        let before = self.limit();
        let target = policy.step_target(self.step_cost.base_step());
        if sample.step > target {
            self.limit = (f64::from(before) * LIMIT_DECREASE).max(1.0);
        } else if sample.batch_running + 1 >= before {
            self.grow_limit(sample.step, target);
        }
        let after = self.limit();
        (after != before).then_some(BatchDecision::LimitChanged {
            backend: self.owned.backend,
            from: before,
            to: after,
            step: sample.step,
            target,
        })
    }

    fn grow_limit(&mut self, step: Duration, target: Duration) {
        let grown = (self.limit * LIMIT_GROWTH).max(self.limit + 1.0);
        // Close to the target, the limit grows no further than the estimate allows.
        let by_step = self.step_cost.max_running_within(target).map(f64::from);
        let near_target = step.mul_f64(LIMIT_GROWTH) > target;
        let bounded = match by_step {
            Some(most) if near_target => grown.min(most.max(self.limit)),
            _ => grown,
        };
        self.limit = bounded.min(f64::from(self.max_streams));
    }
}
