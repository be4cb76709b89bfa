//! Execution of continuous-batching steps.

use std::time::Duration;

use molespan_engine_api::{CacheEventKind, RequestState};
use molespan_types::Timestamp;

use super::{EngineCore, FinishedAttempt, Output, SequenceId, StepPlan};

/// If the caller is late by more than this, the next step starts at the current
/// time instead of at the end of the previous step.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);
/// Divisor of the moving average of the step duration: the latest step has a
/// weight of one eighth.
const STEP_AVERAGE_DIVISOR: i64 = 8;

/// A step in progress. It finishes as planned, except for sequences that are
/// paused or cancelled in the meantime.
#[derive(Clone, Debug)]
pub(super) struct StepInProgress {
    plan: StepPlan,
    ends_at: Timestamp,
}

impl EngineCore {
    /// Returns when [`step`](Self::step) must be called next; `None` while idle
    /// or frozen.
    #[must_use]
    pub fn next_step_at(&self) -> Option<Timestamp> {
        if self.faults.frozen {
            return None;
        }
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Whether there are outputs for [`step`](Self::step) to return.
    #[must_use]
    pub fn has_outputs(&self) -> bool {
        !self.outputs.is_empty()
    }

    /// Finishes the steps that end by `now` and begins the next one. Returns all
    /// outputs since the last call, including those of other calls.
    pub fn step(&mut self, now: Timestamp) -> Vec<Output> {
        while let Some(ends_at) = self.next_step_at() {
            if ends_at > now {
                break;
            }
            self.finish_step(ends_at);
            let late = now.since(ends_at) > MAX_CATCH_UP;
            self.start_step(if late { now } else { ends_at });
        }
        std::mem::take(&mut self.outputs)
    }

    /// Begins a step unless the engine is frozen, a step is in progress or there
    /// is nothing to do.
    pub(super) fn start_step(&mut self, now: Timestamp) {
        if self.step.is_some() || self.faults.frozen {
            return;
        }
        let (plan, started) = self.scheduler.plan();
        self.count_started(&started);
        self.record_evictions(now);
        if plan.is_empty() {
            return;
        }
        let duration = self.step_duration(&plan);
        self.update_step_average(duration);
        self.step = Some(StepInProgress {
            plan,
            ends_at: now + duration,
        });
    }

    fn step_duration(&self, plan: &StepPlan) -> Duration {
        let model = &self.settings.model;
        let normal = model.step_duration(plan.decode.len(), plan.prefill_tokens());
        normal.mul_f64(self.faults.slow_factor.clamp(0.01, 10_000.0))
    }

    fn update_step_average(&mut self, duration: Duration) {
        let latest = duration.as_micros() as i64;
        let mean = match self.step_micros {
            0 => latest,
            mean => i64::from(mean) + (latest - i64::from(mean)) / STEP_AVERAGE_DIVISOR,
        };
        self.step_micros = u32::try_from(mean).unwrap_or(u32::MAX);
    }

    fn count_started(&mut self, started: &[SequenceId]) {
        for id in started {
            if let Some(sequence) = self.scheduler.sequence(*id) {
                let prompt = sequence.text.prompt_digest();
                self.executions.started(&sequence.attempt, prompt);
            }
        }
    }

    fn finish_step(&mut self, now: Timestamp) {
        self.observe_load(now);
        let Some(step) = self.step.take() else {
            return;
        };
        for (id, tokens) in step.plan.prefill {
            let (stored, generates) = self.scheduler.finish_prefill(id, tokens);
            for hash in stored {
                self.record_cache(now, CacheEventKind::Stored, hash);
            }
            if generates {
                self.generate(now, id);
            }
        }
        for id in step.plan.decode {
            self.generate(now, id);
        }
        self.record_evictions(now);
    }

    fn generate(&mut self, now: Timestamp, id: SequenceId) {
        let Some(offset) = self.scheduler.generate(id) else {
            return;
        };
        let Some(sequence) = self.scheduler.sequence(id) else {
            return;
        };
        if sequence.stream {
            self.outputs.push(Output::Token {
                attempt: sequence.attempt.clone(),
                offset,
                text: sequence.text,
            });
        }
        match sequence.is_complete() {
            true => self.complete(now, id),
            false => self.scheduler.ensure_growth(id),
        }
    }

    fn complete(&mut self, now: Timestamp, id: SequenceId) {
        let Some(sequence) = self.scheduler.remove(id) else {
            return;
        };
        let usage = sequence.usage();
        let finished = FinishedAttempt {
            state: RequestState::Completed,
            text: sequence.text,
            max_tokens: sequence.max_tokens(),
            usage,
        };
        let attempt = sequence.attempt;
        self.live.remove(&attempt);
        let prompt = sequence.text.prompt_digest();
        self.executions.completed(&attempt, prompt);
        self.finished.insert(now, attempt.clone(), finished);
        self.outputs.push(Output::Completed {
            attempt,
            text: sequence.text,
            usage,
        });
    }
}
