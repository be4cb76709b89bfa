//! The machine list, load reports, heartbeats and engine ownership.

use std::time::Duration;

use molespan_engine_api::{LoadReport, MachineList, MachineState};
use molespan_membership::{
    BackendReport, BackendState, DirectoryInput, DirectoryOutput, GatewayRecord, OwnershipChange,
    WorkResult,
};
use molespan_routing::batch::{BatchInput, OwnedEngine};
use molespan_routing::pick::{Candidate, LoadSample};
use molespan_types::{BackendId, Incarnation, Timestamp};

use super::process::Process;
use crate::address::Address;
use crate::context::Context;
use crate::history::LeavingNoticeRecord;
use crate::message::Message;
use crate::platform_node::zone_name;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two load requests.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two requests for the machine list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two ticks of the directory.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(100);

impl Process {
    /// Sends the requests that are due and ticks the directory.
    pub(super) fn poll_machines(&mut self, context: &mut Context) {
        let now = self.now(context);
        let own = self.identity.address();
        if self.timers.list <= now {
            self.timers.list = now + LIST_INTERVAL;
            context.send(own, Address::Platform, Message::ListRequest);
        }
        if self.timers.load <= now {
            self.timers.load = now + LOAD_INTERVAL;
            let backends: Vec<BackendId> = self.directory.backends().map(|one| one.id).collect();
            for backend in backends {
                let engine = Address::of_backend(backend);
                context.send(own, engine, Message::LoadRequest { sent: now });
            }
        }
        if self.timers.heartbeat <= now {
            self.timers.heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(context, now);
        }
        if self.timers.directory <= now {
            self.timers.directory = now + DIRECTORY_INTERVAL;
            self.directory_input(context, DirectoryInput::Tick);
            self.gateways.expire(now);
            self.refresh_ownership(context);
        }
    }

    fn send_heartbeats(&mut self, context: &mut Context, now: Timestamp) {
        let record = GatewayRecord {
            node: self.identity.node(),
            incarnation: self.identity.incarnation(),
            zone: zone_name(self.identity.zone).as_str().into(),
            draining: self.draining,
        };
        for replica in 1..=self.identity.replicas {
            let record = record.clone();
            let message = Message::Heartbeat { record, sent: now };
            context.send(self.identity.address(), Address::Replica(replica), message);
        }
    }

    pub(super) fn heartbeat_answered(
        &mut self,
        context: &mut Context,
        sent: Timestamp,
        records: Vec<GatewayRecord>,
    ) {
        let now = self.now(context);
        self.ownership.heartbeat_answered(sent);
        self.gateways.update(now, records);
        self.refresh_ownership(context);
    }

    fn refresh_ownership(&mut self, context: &mut Context) {
        if self.draining {
            return;
        }
        let now = self.now(context);
        let backends = self.directory.backends();
        let backends = backends.map(|backend| (backend.id, &backend.zone));
        let changes = self.ownership.refresh(now, &self.gateways, backends);
        self.ownership_changed(context, changes);
    }

    pub(super) fn ownership_changed(
        &mut self,
        context: &mut Context,
        changes: Vec<OwnershipChange>,
    ) {
        for change in changes {
            match change {
                OwnershipChange::Acquired(backend) => self.offer_engine(context, backend),
                OwnershipChange::Released { backend, next } => {
                    self.batch_input(context, BatchInput::Released(backend));
                    let own = self.identity.address();
                    let receivers: Vec<Address> = match next {
                        Some(next) => vec![Address::of_node(next)],
                        None => self.others().collect(),
                    };
                    for receiver in receivers {
                        context.send(own, receiver, Message::Released(backend));
                    }
                }
            }
        }
    }

    /// Lets batch work use an owned engine if the engine accepts new work.
    fn offer_engine(&mut self, context: &mut Context, backend: BackendId) {
        let Some(found) = self.directory.backend(backend) else {
            return;
        };
        if !found.state.accepts_new_work() || !self.ownership.owns(backend) {
            return;
        }
        let owned = OwnedEngine {
            backend,
            incarnation: found.incarnation,
            service: found.service.clone(),
        };
        self.batch_input(context, BatchInput::Acquired(owned));
    }

    pub(super) fn handle_list(&mut self, context: &mut Context, list: MachineList) {
        for machine in &list.machines {
            if machine.state == MachineState::Leaving {
                self.record_leaving_notice(context, machine.id, machine.incarnation);
            }
        }
        self.directory_input(context, DirectoryInput::List(list));
    }

    fn record_leaving_notice(
        &self,
        context: &mut Context,
        backend: BackendId,
        incarnation: Incarnation,
    ) {
        context.history.leaving_notices.push(LeavingNoticeRecord {
            at: context.now,
            gateway: self.identity.number,
            gateway_incarnation: self.identity.incarnation_number,
            backend,
            incarnation,
        });
    }

    pub(super) fn handle_load(
        &mut self,
        context: &mut Context,
        sent: Timestamp,
        report: &LoadReport,
    ) {
        let now = self.now(context);
        if report.leaving {
            self.record_leaving_notice(context, report.backend, report.incarnation);
        }
        let round_trip = now.since(sent);
        let probed = DirectoryInput::Probe {
            backend: report.backend,
            incarnation: Some(report.incarnation),
            result: WorkResult::Answered(round_trip),
        };
        self.directory_input(context, probed);
        self.directory_input(context, DirectoryInput::Report(BackendReport::from(report)));
        let age = Duration::from_millis(u64::from(report.age_ms)) + round_trip / 2;
        let observed = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
        let sample = LoadSample::from_report(report, observed);
        for picker in self.pickers.values_mut() {
            picker.observe_load(sample.clone());
        }
        self.batch_input(context, BatchInput::Load(sample));
    }

    /// Passes an input to the directory and applies the resulting changes.
    pub(super) fn directory_input(&mut self, context: &mut Context, input: DirectoryInput) {
        let now = self.now(context);
        let mut changed = false;
        for output in self.directory.handle(now, input) {
            let DirectoryOutput::Changed(change) = output else {
                // Load requests are sent to every engine anyway and serve as its probes.
                continue;
            };
            changed = true;
            if change.to.accepts_new_work() {
                self.offer_engine(context, change.backend);
            } else if change.to == BackendState::Gone {
                self.batch_input(context, BatchInput::Released(change.backend));
            } else {
                self.batch_input(context, BatchInput::Closed(change.backend));
            }
        }
        if changed {
            self.set_candidates();
        }
    }

    fn set_candidates(&mut self) {
        for (service, picker) in &mut self.pickers {
            let candidates = self.directory.in_service(service).map(|backend| Candidate {
                backend: backend.id,
                incarnation: backend.incarnation,
                zone: backend.zone.clone(),
                suspect: backend.state == BackendState::Suspect,
            });
            picker.set_engines(candidates.collect());
        }
    }

    /// Reports the result of work on an engine to the directory.
    pub(super) fn report_work(
        &mut self,
        context: &mut Context,
        backend: BackendId,
        incarnation: Incarnation,
        result: WorkResult,
    ) {
        let input = DirectoryInput::Work {
            backend,
            incarnation,
            result,
        };
        self.directory_input(context, input);
    }

    /// Whether the gateway sends new work to this incarnation of an engine.
    #[must_use]
    pub fn uses(&self, backend: BackendId, incarnation: Incarnation) -> bool {
        self.directory.backend(backend).is_some_and(|backend| {
            backend.incarnation == incarnation && backend.state.accepts_new_work()
        })
    }
}
