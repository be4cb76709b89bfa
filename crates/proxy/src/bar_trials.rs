//! Trials of barred requests. A bar rests on evidence that may be wrong, and while it stands no
//! answer can show that. So the control group grants a few sends of what is barred, one at a
//! time over all gateways, and an engine that stays up lifts the bar.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::WorkClass;
use molespan_routing::suspects::{Cause, FeatureDigest};
use molespan_state::declared::{
    DeclaredCommand, DeclaredReply, TrialOutcome, TrialReply, UNLIMITED_TRIALS,
};
use molespan_types::Timestamp;
use slog::{info, warn};

use crate::attempt::Outbound;
use crate::state::GatewayState;

/// Time before a trial without a crash that is blamed on the same cause.
const CALM: Duration = Duration::from_secs(2);
/// Time before a trial for which most engines of the service have been there: what ends engines
/// for other reasons is over.
const SETTLED: Duration = Duration::from_secs(5);
/// Time after the last crash behind which a trial no longer waits for the service to be calm.
const MAX_CALM_WAIT: Duration = Duration::from_secs(8);
/// The same for the last trial, behind which nothing is left but the end of the bar.
const MAX_LAST_CALM_WAIT: Duration = Duration::from_secs(600);
/// Timeout of a call for a trial, for which a caller waits.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);
/// Time until a call is repeated that got no answer.
const ASK_INTERVAL: Duration = Duration::from_secs(2);
/// Least time between two calls for a trial of a cause.
const MIN_AGAIN_IN: Duration = Duration::from_millis(500);
/// Maximum number of causes whose next trial is remembered.
const MAX_CAUSES: usize = 1_024;
/// Maximum number of outcomes that wait to be reported.
const MAX_OUTCOMES: usize = 1_024;
/// Timeout for committing an outcome, and pause before it is tried again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Number of tries to commit an outcome: longer than an election of a leader takes.
const REPORT_TRIES: u32 = 30;

/// A cause and how its trial ended.
type Report = (FeatureDigest, TrialOutcome);

/// What this gateway knows of the trials of one cause.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// When a request with the cause was first barred here.
    first_seen_at: Timestamp,
    /// When a trial may be asked for again.
    due: Timestamp,
    /// Whether the next trial is the last.
    needs_calm: bool,
}

/// What this gateway knows of trials.
pub(crate) struct BarTrials {
    causes: RefCell<BTreeMap<FeatureDigest, Known>>,
    reports: (Sender<Report>, Receiver<Report>),
}

impl Default for BarTrials {
    fn default() -> Self {
        Self {
            causes: RefCell::default(),
            reports: async_channel::bounded(MAX_OUTCOMES),
        }
    }
}

impl BarTrials {
    /// Returns what is known of a cause, which a request is barred for now.
    fn note_seen(&self, cause: &FeatureDigest, now: Timestamp) -> Known {
        let first = Known {
            first_seen_at: now,
            due: now,
            needs_calm: false,
        };
        let mut causes = self.causes.borrow_mut();
        let known = *causes.entry(*cause).or_insert(first);
        while causes.len() > MAX_CAUSES {
            causes.pop_first();
        }
        known
    }

    fn set_due(&self, cause: &FeatureDigest, at: Timestamp) {
        if let Some(known) = self.causes.borrow_mut().get_mut(cause) {
            known.due = at;
        }
    }

    fn set_needs_calm(&self, cause: &FeatureDigest) {
        if let Some(known) = self.causes.borrow_mut().get_mut(cause) {
            known.needs_calm = true;
        }
    }

    /// Forgets when a cause may be tried, since it is no longer barred.
    pub fn forget(&self, cause: &FeatureDigest) {
        self.causes.borrow_mut().remove(cause);
    }
}

/// The right to send one barred request to an engine, returned on drop unless an engine may
/// have run it.
pub(crate) struct BarTrial {
    state: Rc<GatewayState>,
    cause: FeatureDigest,
    asked_ms: u64,
    may_have_run: Cell<bool>,
}

impl BarTrial {
    /// Records that the request is being sent.
    pub fn begin_send(&self, request: &Outbound, engine: &str) {
        if !self.is_open() {
            return;
        }
        info!(self.state.logger, "barred request sent as a trial"; "request" => &request.id,
            "engine" => engine, "digest" => %self.cause);
        self.may_have_run.set(true);
        request.bar_trial.set(Some(self.cause));
    }

    /// Records that the engine did not run it.
    pub fn note_not_run(&self, request: &Outbound) {
        if request.bar_trial.take().is_some() {
            self.may_have_run.set(false);
        }
    }

    /// Whether the request may still be sent.
    pub fn is_open(&self) -> bool {
        !self.may_have_run.get()
    }
}

impl Drop for BarTrial {
    fn drop(&mut self) {
        if self.is_open() {
            let asked_ms = self.asked_ms;
            self.state
                .end_trial(self.cause, TrialOutcome::NotRun { asked_ms });
        }
    }
}

impl GatewayState {
    /// Asks the control group for a trial of what is barred.
    ///
    /// # Errors
    /// The time until a trial may be asked for again.
    pub async fn try_barred(
        self: &Rc<Self>,
        service: &str,
        cause: &Cause,
        class: WorkClass,
    ) -> Result<BarTrial, Duration> {
        let now = self.now();
        let (due, calm_at) = self.trial_due(service, cause, now);
        if due > now {
            return Err(due.since(now));
        }
        let digest = *cause.digest();
        // Until the answer comes, no other request asks.
        self.bar_trials.set_due(&digest, now + ASK_INTERVAL);
        let asked_ms = unix_millis();
        let command = DeclaredCommand::Try {
            request: digest,
            now_ms: asked_ms,
            allowed: match class {
                WorkClass::Online => self.suspects.borrow().trials_left(cause),
                WorkClass::Batch => UNLIMITED_TRIALS,
            },
            is_calm: calm_at <= now,
        };
        let again_in = match self.control.change_declared(command, ASK_TIMEOUT).await {
            Ok(DeclaredReply::Trial(TrialReply::Granted)) => {
                info!(self.logger, "trial of a bar granted"; "digest" => %digest, "cause" => ?cause);
                return Ok(BarTrial {
                    state: self.clone(),
                    cause: digest,
                    asked_ms,
                    may_have_run: Cell::new(false),
                });
            }
            Ok(DeclaredReply::Trial(TrialReply::Denied {
                again_in_ms,
                needs_calm,
            })) => {
                if needs_calm {
                    self.bar_trials.set_needs_calm(&digest);
                }
                Duration::from_millis(again_in_ms).max(MIN_AGAIN_IN)
            }
            other => {
                warn!(self.logger, "no answer to a call for a trial"; "digest" => %digest,
                    "answer" => ?other.err());
                // It may have been granted.
                self.end_trial(digest, TrialOutcome::NotRun { asked_ms });
                ASK_INTERVAL
            }
        };
        self.bar_trials.set_due(&digest, self.now() + again_in);
        Err(again_in)
    }

    /// Returns when a trial may be asked for, and from when on the service is calm, or is no
    /// longer waited for. The wait counts from the last crash, or from when the bar was met by a
    /// gateway that knows of no crash. It has an end, since some services are never calm.
    fn trial_due(&self, service: &str, cause: &Cause, now: Timestamp) -> (Timestamp, Timestamp) {
        let known = self.bar_trials.note_seen(cause.digest(), now);
        let crashed = self.suspects.borrow().last_learned_at(cause);
        let since = crashed.unwrap_or(known.first_seen_at);
        let settled_since = self.engines.borrow().settled_since(service);
        let settled_at = settled_since.map_or(since, |settled_since| settled_since + SETTLED);
        let calm_at = settled_at.max(since + CALM).min(since + MAX_LAST_CALM_WAIT);
        let due = match known.needs_calm {
            true => calm_at,
            false => calm_at.min(since + MAX_CALM_WAIT),
        };
        (due.max(known.due), calm_at)
    }

    /// Records that an engine stayed up while it ran a request: what the request was tried or
    /// is barred for is not the cause of earlier crashes.
    pub fn note_sound(&self, request: &Outbound) {
        let tried = request.bar_trial.take();
        let barred = self
            .suspects
            .borrow()
            .bars_on(request.features(), self.now());
        for cause in tried.into_iter().chain(barred) {
            self.suspects.borrow_mut().lift(&cause);
            self.end_trial(cause, TrialOutcome::Sound);
        }
    }

    /// Queues the outcome of a trial for the control group.
    fn end_trial(&self, cause: FeatureDigest, outcome: TrialOutcome) {
        info!(self.logger, "trial of a bar ended"; "digest" => %cause, "outcome" => ?outcome);
        if self
            .bar_trials
            .reports
            .0
            .try_send((cause, outcome))
            .is_err()
        {
            warn!(self.logger, "too many outcomes of trials; one is dropped"; "digest" => %cause);
        }
    }
}

/// Reports the outcomes of trials to the control group. Runs until dropped.
pub(crate) async fn report_trials(state: Rc<GatewayState>) {
    while let Ok((cause, outcome)) = state.bar_trials.reports.1.recv().await {
        for _ in 0..REPORT_TRIES {
            let command = DeclaredCommand::TrialEnded {
                request: cause,
                outcome,
            };
            match state.control.change_declared(command, REPORT_TIMEOUT).await {
                Ok(_) => break,
                Err(error) => {
                    warn!(state.logger, "outcome of a trial not committed"; "digest" => %cause,
                        "outcome" => ?outcome, "error" => %error);
                    Timer::after(REPORT_PAUSE).await;
                }
            }
        }
    }
}
