//! One owned engine: its online work, its batch streams and their limit.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_types::Timestamp;

use super::message::{BatchDecision, OwnedEngine, RequestNumber, StreamId};
use super::online::OnlineView;
use super::policy::BatchPolicy;
use super::step_cost::StepCost;
use crate::pick::LoadSample;

/// Growth of the limit per report with a short step.
const LIMIT_GROWTH: f64 = 1.25;
/// Factor of the limit on a report with a long step.
const LIMIT_DECREASE: f64 = 0.8;
/// Prompts in processing where no online work is likely.
const UNLIKELY_PREFILLS: u32 = 8;

/// How many batch streams may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Allowance {
    /// Up to this many.
    UpTo(u32),
    /// Online work just ended: what runs may run, nothing is added.
    AsIs,
}

/// One owned engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) owned: OwnedEngine,
    /// Whether streams may be started there.
    pub(super) open: bool,
    /// Whether the gateway no longer owns it.
    pub(super) released: bool,
    pub(super) online: OnlineView,
    pub(super) streams: BTreeSet<StreamId>,
    /// The lease request that is out.
    pub(super) asking: Option<RequestNumber>,
    /// Nothing is started before this, after the engine failed a stream.
    pub(super) hold_until: Timestamp,
    /// Since when there was no room for what is pending.
    pub(super) no_room_since: Option<Timestamp>,
    pub(super) kv_used: f64,
    limit: f64,
    most: u32,
    max_running: Option<u32>,
    last_sequence: Option<u64>,
    cost: StepCost,
}

impl Engine {
    pub(super) fn new(owned: OwnedEngine, initial: u32, most: u32) -> Self {
        Self {
            owned,
            open: true,
            released: false,
            online: OnlineView::new(),
            streams: BTreeSet::new(),
            asking: None,
            hold_until: Timestamp::ZERO,
            no_room_since: None,
            kv_used: 0.0,
            limit: f64::from(initial),
            most,
            max_running: None,
            last_sequence: None,
            cost: StepCost::default(),
        }
    }

    /// Starts anew for a later life, keeping streams and own online requests,
    /// whose ends will be told.
    pub(super) fn restart(&mut self, owned: OwnedEngine, initial: u32) {
        let before = std::mem::replace(self, Self::new(owned, initial, self.most));
        self.streams = before.streams;
        self.asking = before.asking;
        self.online = before.online;
        self.online.restarted();
    }

    /// Most batch streams when there is no online work.
    pub(super) fn limit(&self) -> u32 {
        let limit = self.limit as u32;
        let most = self.max_running.unwrap_or(self.most).min(self.most);
        limit.min(most).max(1)
    }

    /// How many batch streams may run now.
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
        let none = policy.alongside_share <= 0.0 || self.online.awaits_first_token(now);
        if none {
            return Allowance::UpTo(0);
        }
        Allowance::UpTo(self.alongside(online, policy))
    }

    /// Streams that keep the step within what online callers are promised.
    fn alongside(&self, online: u32, policy: &BatchPolicy) -> u32 {
        let by_step = self
            .cost
            .most_running(policy.token_target())
            .unwrap_or(self.limit() / 2);
        let by_engine = self.max_running.unwrap_or(self.most);
        let room = by_step.min(by_engine).saturating_sub(online);
        let shared = f64::from(room) * policy.alongside_share;
        (shared as u32).min(self.limit())
    }

    /// Most batch prompts in processing at once.
    pub(super) fn prefills(&self, now: Timestamp, policy: &BatchPolicy) -> u32 {
        if self.online.is_likely(now) {
            policy.prefills
        } else {
            policy.prefills.max(UNLIKELY_PREFILLS)
        }
    }

    /// Takes a load report; returns the decision when the limit changed.
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
        self.online.reported(now, sample.observed, sample.online);
        let online_running = sample.online.saturating_sub(sample.online_waiting);
        let running = online_running + sample.batch_running;
        self.cost.observe(running, sample.step);
        self.adapt(sample, policy)
    }

    /// Grows the limit while steps are short and it is in use, and cuts it
    /// when they are long. Reports with online work say nothing about it.
    fn adapt(&mut self, sample: &LoadSample, policy: &BatchPolicy) -> Option<BatchDecision> {
        if sample.online > 0 || sample.batch_running == 0 || sample.step.is_zero() {
            return None;
        }
        let before = self.limit();
        let target = policy.step_target(self.cost.base_step());
        if sample.step > target {
            self.limit = (f64::from(before) * LIMIT_DECREASE).max(1.0);
        } else if sample.batch_running + 1 >= before {
            self.grow(sample.step, target);
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

    fn grow(&mut self, step: Duration, target: Duration) {
        let grown = (self.limit * LIMIT_GROWTH).max(self.limit + 1.0);
        // Close to the target, grow no further than the learnt line allows.
        let by_step = self.cost.most_running(target).map(f64::from);
        let near_target = step.mul_f64(LIMIT_GROWTH) > target;
        let bounded = match by_step {
            Some(most) if near_target => grown.min(most.max(self.limit)),
            _ => grown,
        };
        self.limit = bounded.min(f64::from(self.most));
    }
}
