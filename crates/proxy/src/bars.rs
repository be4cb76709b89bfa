//! Barring requests that cause engines to end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::WorkClass;
use molespan_routing::suspects::{Cause, FeatureDigest, SuspectTable, Verdict};
use molespan_state::declared::{Bar, DeclaredCommand, RequestDigest};
use molespan_types::Timestamp;
use slog::{info, warn};

use crate::attempt::Outbound;
use crate::state::GatewayState;

/// Interval between checks for requests to bar.
const BAR_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of bars remembered: twice as many as the control group keeps, so that a
/// bar the group still keeps is never evicted here and then taken for new.
const MAX_BARS: usize = 2_048;
/// Interval between checks whether an engine that broke a request off has ended.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for committing a bar, after which the bar is requested again.
const BAR_COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The bars of the control group.
pub(crate) struct Bars {
    /// The newest bar of each request; control nodes report changes at different times.
    newest: RefCell<BTreeMap<RequestDigest, Bar>>,
    /// Signalled when a request may have to be barred.
    check_requests: (Sender<()>, Receiver<()>),
}

impl Default for Bars {
    fn default() -> Self {
        Self {
            newest: RefCell::default(),
            check_requests: async_channel::bounded(1),
        }
    }
}

fn oldest(bars: &BTreeMap<RequestDigest, Bar>) -> Option<RequestDigest> {
    let oldest = bars.iter().min_by_key(|(_, bar)| bar.change);
    oldest.map(|(request, _)| *request)
}

impl Bars {
    /// Requests a check for requests to bar.
    pub fn request_check(&self) {
        let _already_requested = self.check_requests.0.try_send(());
    }

    /// Stores a bar and returns whether it is newer than the stored one.
    fn store(&self, request: RequestDigest, bar: Bar) -> bool {
        let mut newest = self.newest.borrow_mut();
        let known = newest.get(&request);
        if known.is_some_and(|known| known.change >= bar.change) {
            return false;
        }
        newest.insert(request, bar);
        while newest.len() > MAX_BARS
            && let Some(oldest) = oldest(&newest)
        {
            newest.remove(&oldest);
        }
        true
    }
}

/// Whether a request may be sent to an engine now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    Granted,
    /// As the only one with this part in its prompt.
    Trial(FeatureDigest),
    /// Decided later; ask again at this time.
    Later(Timestamp),
    /// No engine gets it, for this reason, unless the control group grants a trial.
    Barred(Cause),
}

/// Parts of prompts of which a request is at an engine that has not begun to write.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    open: RefCell<BTreeSet<FeatureDigest>>,
}

impl Trials {
    fn is_open(&self, part: &FeatureDigest) -> bool {
        self.open.borrow().contains(part)
    }
}

/// Keeps other requests with the same part from engines until dropped.
pub(crate) struct TrialGuard {
    state: Rc<GatewayState>,
    part: FeatureDigest,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.state.trials.open.borrow_mut().remove(&self.part);
    }
}

/// Number of engines that may have ended under a request from which on the request waits
/// for the open checks. It counts engines that did end and engines being checked. An online
/// request whose engine broke off is retried at another one at once, so that its caller
/// sees no pause, but only once; batch work has the time to wait.
fn wait_threshold(class: WorkClass) -> usize {
    match class {
        WorkClass::Online => 2,
        WorkClass::Batch => 1,
    }
}

impl GatewayState {
    /// Returns whether a request may be sent to an engine now.
    pub fn permit(&self, request: &Outbound) -> Permit {
        let suspects = self.suspects.borrow();
        let open = self.broken_requests.open_checks(|| request.digest());
        if open > 0 && open + self.crashes(&suspects, request) >= wait_threshold(request.class) {
            return Permit::Later(self.now() + ENGINE_CHECK_INTERVAL);
        }
        if suspects.is_empty() {
            return Permit::Granted;
        }
        let now = self.now();
        match suspects.verdict(request.features(), now) {
            Verdict::Suspect { .. } if request.class == WorkClass::Batch => {
                let waits = suspects.item_waits(&request.digest(), now);
                waits.map_or_else(|| self.permit_trial(&suspects, request), Permit::Later)
            }
            Verdict::Free | Verdict::Suspect { .. } => self.permit_trial(&suspects, request),
            Verdict::Unsettled { until } => Permit::Later(until),
            Verdict::Barred { cause, .. } => Permit::Barred(cause),
        }
    }

    /// Logs that a request is barred.
    pub fn log_barred(&self, request: &Outbound, cause: &Cause, again_in: Duration) {
        self.metrics.count_barred(&request.service);
        let suspects = self.suspects.borrow();
        let now = self.now();
        let learned_at = suspects.last_learned_at(cause);
        info!(self.logger, "request barred"; "request" => &request.id,
            "digest" => %request.digest(), "service" => &request.service, "cause" => ?cause,
            "crashes" => suspects.crashes_of(cause),
            "heard_ms_ago" => learned_at.map(|at| now.since(at).as_millis() as u64),
            "again_in_ms" => again_in.as_millis() as u64);
    }

    /// Whether a request may be sent now beside others with a part of prompts under which
    /// engines have ended: one at a time, until its engine has begun to write.
    fn permit_trial(&self, suspects: &SuspectTable, request: &Outbound) -> Permit {
        let Some(part) = suspects.trial(request.features(), self.now()) else {
            return Permit::Granted;
        };
        let is_open = self.broken_requests.open_checks(|| part) > 0;
        match is_open || self.trials.is_open(&part) {
            true => Permit::Later(self.now() + ENGINE_CHECK_INTERVAL),
            false => Permit::Trial(part),
        }
    }

    /// Begins the trial of a part of prompts, which ends with the returned guard.
    pub fn begin_trial(self: &Rc<Self>, part: FeatureDigest) -> TrialGuard {
        self.trials.open.borrow_mut().insert(part);
        TrialGuard {
            state: self.clone(),
            part,
        }
    }

    fn crashes(&self, suspects: &SuspectTable, request: &Outbound) -> usize {
        match suspects.is_empty() {
            true => 0,
            false => suspects.crashes(&request.digest()),
        }
    }

    /// Whether engines have ended while they ran this request.
    pub fn is_suspect(&self, request: &Outbound) -> bool {
        self.crashes(&self.suspects.borrow(), request) > 0
    }

    /// Applies a bar reported by a control node.
    pub fn apply_bar(&self, request: RequestDigest, bar: Bar) {
        if !self.bars.store(request, bar) {
            return;
        }
        let left = bar.remaining(unix_millis());
        info!(self.logger, "bar"; "digest" => %request, "crashes" => bar.crashes,
            "lifted" => bar.lifted, "holds_s" => left.map_or(0, |left| left.as_secs()));
        let mut suspects = self.suspects.borrow_mut();
        match left {
            Some(left) => suspects.bar(request, self.now() + left),
            None => {
                suspects.lift(&request);
                self.bar_trials.forget(&request);
            }
        }
    }

    /// Waits until a permit can be decided.
    pub async fn wait_until_settled(&self, until: Timestamp) {
        self.clock.wait_until(until).await;
    }

    /// Records that an engine answered a request completely, which clears it of earlier
    /// crashes.
    pub fn note_complete(&self, request: &Outbound) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        self.note_sound(request);
        let now = self.now();
        if self.suspects.borrow_mut().answered(request.features(), now) {
            info!(self.logger, "request cleared"; "request" => &request.id,
                "digest" => %request.digest());
            self.request_report();
        }
    }
}

/// Asks the control group to bar guilty requests, so that the bars survive a restart of all
/// gateways. Runs until dropped.
pub(crate) async fn request_bars(state: Rc<GatewayState>) {
    loop {
        let _requested = state.bars.check_requests.1.recv().await;
        while state.suspects.borrow().has_candidates(state.now()) {
            let guilty = state.suspects.borrow().to_bar(state.now());
            for (barred, crashes) in guilty {
                request_bar(&state, barred, crashes).await;
            }
            Timer::after(BAR_CHECK_INTERVAL).await;
        }
    }
}

async fn request_bar(state: &GatewayState, request: RequestDigest, crashes: usize) {
    let command = DeclaredCommand::Bar {
        request,
        since_ms: unix_millis(),
        crashes: crashes as u32,
    };
    match state
        .control
        .change_declared(command, BAR_COMMIT_TIMEOUT)
        .await
    {
        Ok(_) => {
            let evidence = state.suspects.borrow().evidence(&request, state.now());
            info!(state.logger, "asked the control group for a bar"; "digest" => %request, "crashes" => crashes,
                "together" => evidence.map(|evidence| evidence.together),
                "service" => evidence.and_then(|evidence| evidence.service).map(|one| one.to_string()),
                "served_for_ms" => evidence.and_then(|evidence| evidence.served_for)
                    .map(|time| time.as_millis() as u64));
        }
        Err(error) => warn!(state.logger, "bar not committed"; "digest" => %request,
            "crashes" => crashes, "error" => %error),
    }
}
