//! Whether engines may get a request, after some have ended under it or under others like it.

use std::time::Duration;

use molespan_routing::dispatch::WorkClass;
use molespan_routing::suspects::Cause;
use molespan_types::Timestamp;

use super::{Dispatch, MAX_TURN, WAIT_SHARE};
use crate::bar_trials::BarTrial;
use crate::bars::Permit;
use crate::dialect::{GatewayDialect, Refusal};

/// Retry delay for a caller whose request engines end under. A bar lasts for hours unless
/// an operator lifts it, and a waiting caller notices that within this time.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Least retry delay of a barred request, within which another one may lift its bar.
const MIN_BARRED_RETRY_AFTER: Duration = Duration::from_millis(500);

impl<D: GatewayDialect> Dispatch<'_, D> {
    /// Whether the request holds a trial of its bar that it has not used.
    pub(super) fn has_bar_trial(&self) -> bool {
        self.bar_trial.as_ref().is_some_and(BarTrial::is_open)
    }

    /// Records that an engine did not run the request.
    pub(super) fn note_not_run(&self) {
        if let Some(trial) = &self.bar_trial {
            trial.note_not_run(&self.outbound);
        }
    }

    /// Asks for a trial of a barred request. Only batch items get one for what they are
    /// themselves, and further ones until they are done: they were accepted, while a caller
    /// comes again.
    async fn seek_trial(&mut self, cause: Cause) -> Result<(), Refusal> {
        if self.outbound.class == WorkClass::Online && matches!(cause, Cause::Request(_)) {
            return Err(self.barred(&cause, BARRED_RETRY_AFTER));
        }
        let class = self.outbound.class;
        let trial = self.state.try_barred(&self.service, &cause, class);
        match trial.await {
            Ok(trial) => {
                self.bar_trial = Some(trial);
                Ok(())
            }
            Err(again_in) => Err(self.barred(&cause, again_in)),
        }
    }

    /// Returns the refusal of a barred request, which may be tried again after `again_in`.
    fn barred(&self, cause: &Cause, again_in: Duration) -> Refusal {
        if self.runs > 0 {
            return Refusal::AnswerLost;
        }
        if self.outbound.class == WorkClass::Online {
            self.state.log_barred(&self.outbound, cause, again_in);
        }
        Refusal::Barred {
            retry_after: again_in.clamp(MIN_BARRED_RETRY_AFTER, BARRED_RETRY_AFTER),
        }
    }

    /// Returns until when the request waits for the decision whether engines may get it. A
    /// batch item looks in between whether it is still to run.
    fn permit_waits_until(&self) -> Timestamp {
        match self.outbound.class {
            WorkClass::Online => {
                let time_limit = self.deadline.since(self.arrived);
                self.arrived + time_limit.mul_f64(WAIT_SHARE)
            }
            WorkClass::Batch => self.state.now() + MAX_TURN,
        }
    }

    /// Waits until it is decided whether engines may get the request, while time is left for
    /// its answer.
    pub(super) async fn wait_until_permitted(&mut self) -> Result<(), Refusal> {
        let waits_until = self.permit_waits_until();
        loop {
            match self.state.permit(&self.outbound) {
                Permit::Granted | Permit::Trial(_) => return Ok(()),
                Permit::Later(_) if self.state.now() >= waits_until => {
                    return Err(self.give_up());
                }
                Permit::Later(until) => {
                    let until = until.min(waits_until);
                    self.state.wait_until_settled(until).await;
                }
                Permit::Barred(_) if self.has_bar_trial() => return Ok(()),
                Permit::Barred(cause) => return self.seek_trial(cause).await,
            }
        }
    }
}
