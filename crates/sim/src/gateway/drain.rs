//! The graceful shutdown of a gateway.

use molespan_membership::{DrainInput, DrainOutput, DrainPhase};
use molespan_routing::admission::RefusalCode;
use molespan_routing::batch::BatchInput;

use super::process::{Process, Tag};
use crate::context::Context;

impl Process {
    /// Starts the graceful shutdown that an operator requested.
    pub(super) fn begin_stop(&mut self, context: &mut Context) {
        self.report_load(context);
        self.drain_input(context, DrainInput::Begin);
    }

    pub(super) fn tick_drain(&mut self, context: &mut Context) {
        if self.drain.phase() == DrainPhase::Serving {
            return;
        }
        self.report_load(context);
        self.drain_input(context, DrainInput::Tick);
    }

    /// Reports the requests in flight, and the leases and engines held, to the drain plan.
    fn report_load(&mut self, context: &mut Context) {
        let jobs = self.groups.open();
        let jobs = jobs.filter(|tag| matches!(tag, Tag::Job(_) | Tag::Settle));
        let in_flight = self.online.len() + jobs.count();
        self.drain_input(context, DrainInput::InFlight(in_flight as u32));
        let held = self.batch.leases_held() + self.ownership.owned().count();
        self.drain_input(context, DrainInput::Held(held as u32));
    }

    fn drain_input(&mut self, context: &mut Context, input: DrainInput) {
        let now = self.now(context);
        for output in self.drain.handle(now, input) {
            match output {
                DrainOutput::SayUnready => self.draining = true,
                DrainOutput::ReturnBatchItems => self.batch_input(context, BatchInput::Drain),
                DrainOutput::RefuseNew => {
                    self.refuses_new = true;
                    let outputs = self.admission.refuse_waiting(RefusalCode::Draining);
                    self.admission_changed(context, outputs);
                }
                DrainOutput::HandOver => {
                    let changes = self.ownership.release_all();
                    self.ownership_changed(context, changes);
                }
                DrainOutput::CutOff { in_flight } => {
                    context.history.reported_cut_off += in_flight;
                }
                DrainOutput::LeftBehind { .. } => {}
                DrainOutput::Exit => self.stopped = true,
            }
        }
    }
}
