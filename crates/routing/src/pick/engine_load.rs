//! Load of one engine: its last report, corrected by the requests that this gateway started
//! and finished since.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_engine_api::LoadReport;
use molespan_types::{BackendId, Incarnation, Timestamp};

use super::limit::{AdaptiveLimit, LimitSettings};
use super::{Candidate, Finish};

/// Most ended requests of this gateway that are kept until a report covers them.
const MAX_RECORDED_ENDS: usize = 1_024;

/// Load of an engine at the time `observed`, by this node's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number; increases with every report.
    pub sequence: u64,
    /// Estimated time of the observation: time of arrival minus the report's age and half
    /// the round trip.
    pub observed: Timestamp,
    /// Online requests, running and waiting.
    pub online: u32,
    /// Waiting online requests.
    pub online_waiting: u32,
    /// Batch requests, running and waiting.
    pub batch: u32,
    /// Running batch requests.
    pub batch_running: u32,
    /// Most requests that run concurrently; 0 if the source doesn't report it.
    pub max_running: u32,
    /// Share of KV memory in use, 0.0 to 1.0.
    pub kv_used: f64,
    /// Mean duration of the latest steps.
    pub step: Duration,
}

impl LoadSample {
    /// Returns a sample of a direct report observed at `observed`.
    #[must_use]
    pub fn from_report(report: &LoadReport, observed: Timestamp) -> Self {
        Self {
            backend: report.backend,
            incarnation: report.incarnation,
            sequence: report.sequence,
            observed,
            online: report.online_running + report.online_waiting,
            online_waiting: report.online_waiting,
            batch: report.batch_running + report.batch_waiting,
            batch_running: report.batch_running,
            max_running: report.max_running,
            kv_used: report.kv_used,
            step: Duration::from_micros(u64::from(report.step_micros)),
        }
    }
}

/// A request of this gateway in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    started: Timestamp,
    /// Blocks of its prompt that the engine had to process.
    blocks: u32,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineLoad {
    candidate: Candidate,
    report: Option<LoadSample>,
    /// Requests of this gateway in flight, oldest first.
    in_flight: VecDeque<InFlight>,
    /// Start and end of requests of this gateway that a report may still include.
    ended: VecDeque<(Timestamp, Timestamp)>,
    limit: AdaptiveLimit,
}

impl EngineLoad {
    pub(super) fn new(limit: &LimitSettings) -> Self {
        Self {
            candidate: Candidate {
                backend: BackendId::default(),
                incarnation: Incarnation::default(),
                zone: Default::default(),
                suspect: false,
            },
            report: None,
            in_flight: VecDeque::new(),
            ended: VecDeque::new(),
            limit: AdaptiveLimit::new(limit),
        }
    }

    pub(super) fn set_candidate(&mut self, candidate: Candidate) {
        self.candidate = candidate;
    }

    pub(super) fn candidate(&self) -> &Candidate {
        &self.candidate
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.candidate.incarnation
    }

    pub(super) fn own_in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    pub(super) fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// Returns the online requests in the last report, or 0 without one.
    pub(super) fn reported(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.online)
    }

    /// Records a report unless the same or a later one was recorded.
    pub(super) fn observe(&mut self, sample: LoadSample, settings: &LimitSettings) {
        if sample.incarnation != self.candidate.incarnation {
            return;
        }
        let newer = self
            .report
            .as_ref()
            .is_none_or(|known| sample.sequence > known.sequence);
        if !newer {
            return;
        }
        self.limit.observe_report(&sample, settings);
        let observed = sample.observed;
        self.ended.retain(|(_, ended)| *ended > observed);
        self.report = Some(sample);
    }

    /// Records that a request was sent; `blocks` of its prompt are not cached there.
    pub(super) fn started(&mut self, now: Timestamp, blocks: u32) {
        let started = now;
        self.in_flight.push_back(InFlight { started, blocks });
    }

    pub(super) fn finished(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        finish: Finish,
        settings: &LimitSettings,
    ) {
        let mut in_flight = self.in_flight.iter();
        let position = in_flight.position(|request| request.started == started);
        let Some(request) = position.and_then(|position| self.in_flight.remove(position)) else {
            return;
        };
        if self.ended.len() == MAX_RECORDED_ENDS {
            self.ended.pop_front();
        }
        self.ended.push_back((started, now));
        self.limit
            .observe_finish(now, request.blocks, finish, settings);
    }

    /// Returns the estimated online requests there: those of the report, plus this
    /// gateway's started since it was observed, minus this gateway's that it included and
    /// that have ended since. If the report is too old, only this gateway's requests count.
    pub(super) fn load(&self, now: Timestamp, valid_for: Duration) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(report) = &self.report else {
            return own;
        };
        if now.since(report.observed) > valid_for {
            return own;
        }
        let observed = report.observed;
        let started_since = self.in_flight.iter().rev();
        let started_since = started_since
            .take_while(|request| request.started > observed)
            .count();
        let ended_since = self
            .ended
            .iter()
            .filter(|(started, ended)| *started <= observed && *ended > observed)
            .count();
        let estimate = f64::from(report.online) + started_since as f64 - ended_since as f64;
        estimate.max(own)
    }

    /// Whether batch work probably runs there now: the last report includes some, and no
    /// online work holds it back.
    pub(super) fn probably_runs_batch(&self, now: Timestamp, valid_for: Duration) -> bool {
        let has_batch = self.report.as_ref().is_some_and(|report| {
            let fresh = now.since(report.observed) <= valid_for;
            fresh && report.batch > 0
        });
        has_batch && self.load(now, valid_for) < 1.0
    }
}
