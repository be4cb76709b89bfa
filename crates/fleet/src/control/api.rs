//! Executes the calls of engines and operators.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use molespan_daemon::cluster::Cluster;
use molespan_daemon::wall_clock::unix_millis;
use molespan_http::h1::{Answer, RequestHead, Service};
use molespan_state::declared::{
    Declaration, DeclaredCommand, DeclaredReply, Departure, RetireReply,
};
use molespan_types::{EngineIncarnation, NodeId, SoftwareVersion};
use slog::{Logger, info, warn};

use super::dialect::{CallError, ControlCall, ControlDialect, ControlOutcome, EngineHeartbeat};
use super::hub::Hub;
use crate::refusals::RefusalLog;

/// Deadline of a call by an engine, which tries another node after 1 s.
const ENGINE_DEADLINE: Duration = Duration::from_millis(900);
/// Deadline of a read by an operator.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// Deadline of a change by an operator. The caller may have retried at another node by
/// then, where repeating the same change is harmless.
const CHANGE_DEADLINE: Duration = Duration::from_millis(2_500);
/// Largest accepted clock skew of an engine: a start time further in the future is
/// invalid.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// HTTP interface for engines and operators.
pub struct ControlApi<D> {
    pub dialect: D,
    /// Identifier of this node.
    pub own: NodeId,
    pub hub: Arc<Hub>,
    pub cluster: Arc<Cluster>,
    /// Number of stores that must remain when one is retired.
    pub store_replicas: u32,
    /// Rejected registrations, and engines of services that the configuration does not
    /// name.
    pub refusals: Mutex<RefusalLog>,
    pub logger: Logger,
}

impl<D: ControlDialect> Service for ControlApi<D> {
    async fn call(&self, head: RequestHead, body: Vec<u8>) -> Answer {
        let outcome = match self.dialect.call(&head, &body) {
            Ok(call) => self.execute(call).await,
            Err(problem) => {
                self.log_problem(&head, &problem);
                ControlOutcome::Problem(problem)
            }
        };
        self.dialect.answer(outcome)
    }
}

impl<D: ControlDialect> ControlApi<D> {
    async fn execute(&self, call: ControlCall) -> ControlOutcome {
        match call {
            ControlCall::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            ControlCall::Departure {
                engine,
                started_at_ms,
            } => self.end_engine(&engine, started_at_ms).await,
            ControlCall::Declare(declaration) => self.declare(*declaration).await,
            ControlCall::ReadConfiguration => self.read().await,
            ControlCall::Retire { name } => self.retire(name).await,
            ControlCall::RetirementState { name } => self.retirement(&name).await,
        }
    }

    /// Logs a rejected call. An engine repeats its registration, so its problem is logged
    /// once.
    fn log_problem(&self, head: &RequestHead, problem: &CallError) {
        let CallError::Registration { engine, problems } = problem else {
            info!(self.logger, "call refused";
                "method" => &head.method, "path" => head.path(), "problem" => ?problem);
            return;
        };
        self.log_registration_problem(engine, &problems.join("; "));
    }

    fn log_registration_problem(&self, engine: &str, problems: &str) {
        if let Some(count) = self.record_refusal(engine, problems) {
            warn!(self.logger, "registration refused"; "engine" => engine,
                "problems" => problems, "refused_so_far" => count);
        }
    }

    fn record_refusal(&self, who: &str, what: &str) -> Option<u64> {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.record(who, what)
    }

    /// Logs an engine whose service the configuration does not name. The engine is kept,
    /// because a later configuration may name the service.
    fn log_unknown_service(&self, service: &str) {
        if !self.hub.is_unknown_service(service) {
            return;
        }
        if let Some(count) = self.record_refusal(service, "unknown service") {
            warn!(self.logger, "engine of an unknown service"; "service" => service,
                "refused_so_far" => count);
        }
    }

    async fn heartbeat(&self, heartbeat: EngineHeartbeat) -> ControlOutcome {
        let incarnation = EngineIncarnation::of(&heartbeat.record.id);
        let latest = unix_millis() + MAX_CLOCK_SKEW.as_millis() as u64;
        if incarnation
            .started_at_ms
            .is_some_and(|started_at_ms| started_at_ms > latest)
        {
            let problem = "born: in the future".to_owned();
            return self.reject_registration(incarnation.name, problem);
        }
        if heartbeat.draining {
            return self.depart(heartbeat.record.id, Departure::Draining).await;
        }
        let id = heartbeat.record.id.clone();
        let service = heartbeat.record.service.clone();
        let version = heartbeat.record.version.clone();
        self.log_unknown_service(&service);
        if self.hub.record_heartbeat(heartbeat.record) {
            info!(self.logger, "engine registered"; "engine" => id, "service" => service,
                "version" => version.as_ref().map_or("unknown", SoftwareVersion::as_str));
        }
        ControlOutcome::Acknowledged
    }

    fn reject_registration(&self, engine: &str, problem: String) -> ControlOutcome {
        self.log_registration_problem(engine, &problem);
        ControlOutcome::Problem(CallError::Registration {
            engine: engine.to_owned(),
            problems: vec![problem],
        })
    }

    /// Records the shutdown of an engine. Without a start time it applies to every
    /// incarnation started until now.
    async fn end_engine(&self, name: &str, started_at_ms: Option<u64>) -> ControlOutcome {
        let incarnation = match started_at_ms {
            Some(_) => EngineIncarnation {
                name,
                started_at_ms,
            }
            .id(),
            None => self.hub.ended_incarnation(name, unix_millis()),
        };
        self.depart(incarnation, Departure::Gone).await
    }

    /// Commits a departure before it is acknowledged: an acknowledged departure binds
    /// every gateway, even if this node is partitioned right afterwards.
    async fn depart(&self, engine: String, departure: Departure) -> ControlOutcome {
        if self
            .hub
            .departure(&engine)
            .is_some_and(|known| known >= departure)
        {
            return ControlOutcome::Acknowledged;
        }
        let command = DeclaredCommand::Depart {
            engine: engine.clone(),
            departure,
        };
        match self.cluster.change_declared(command, ENGINE_DEADLINE).await {
            Ok(_) => {
                info!(self.logger, "engine leaves";
                    "engine" => engine, "departure" => ?departure);
                ControlOutcome::Acknowledged
            }
            Err(error) => {
                warn!(self.logger, "departure could not be committed";
                    "engine" => engine, "error" => %error);
                ControlOutcome::Unavailable
            }
        }
    }

    async fn declare(&self, declaration: Declaration) -> ControlOutcome {
        let problems = declaration.model.problems();
        let version = declaration.version;
        if !problems.is_empty() {
            info!(self.logger, "configuration refused";
                "version" => version, "problems" => problems.join("; "));
            return ControlOutcome::Problem(CallError::Invalid { problems });
        }
        let command = DeclaredCommand::Declare(Box::new(declaration));
        match self.cluster.change_declared(command, CHANGE_DEADLINE).await {
            Ok(DeclaredReply::Version { version: in_force }) => {
                info!(self.logger, "configuration acknowledged";
                    "version" => version, "in_force" => in_force);
                ControlOutcome::Acknowledged
            }
            other => {
                warn!(self.logger, "configuration could not be committed";
                    "version" => version, "answer" => ?other.err());
                ControlOutcome::Unavailable
            }
        }
    }

    async fn read(&self) -> ControlOutcome {
        let Ok(declared) = self.cluster.declared(READ_DEADLINE).await else {
            return ControlOutcome::Unavailable;
        };
        match declared.configuration() {
            Some(configuration) => ControlOutcome::Document(configuration.document.to_vec()),
            None => ControlOutcome::Unavailable,
        }
    }

    async fn retire(&self, name: String) -> ControlOutcome {
        // Only group members are watched by stores: another node, or one that has just
        // started, does not know all live stores.
        if !self.hub.control_nodes().contains(&self.own) || !self.hub.store_list_is_complete() {
            info!(self.logger, "this node cannot retire a store"; "name" => name);
            return ControlOutcome::Unavailable;
        }
        let command = DeclaredCommand::Retire {
            name: name.clone(),
            replicas: self.store_replicas,
            alive: self.hub.live_stores(),
        };
        let reply = self.cluster.change_declared(command, CHANGE_DEADLINE).await;
        info!(self.logger, "store retirement requested"; "name" => name, "reply" => ?reply);
        match reply {
            Ok(DeclaredReply::Retire(RetireReply::Unknown)) => ControlOutcome::Unknown,
            Ok(DeclaredReply::Retire(RetireReply::TooFew)) => ControlOutcome::TooFewStores,
            Ok(DeclaredReply::Retire(RetireReply::Taken { .. })) => ControlOutcome::Acknowledged,
            _ => ControlOutcome::Unavailable,
        }
    }

    async fn retirement(&self, name: &str) -> ControlOutcome {
        let Ok(declared) = self.cluster.declared(READ_DEADLINE).await else {
            return ControlOutcome::Unavailable;
        };
        let store = declared.stores().by_name(name);
        match store.and_then(|(_, store)| store.retirement) {
            Some(retirement) => ControlOutcome::Retirement(retirement),
            None => ControlOutcome::Unknown,
        }
    }
}
