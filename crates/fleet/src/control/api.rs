//! Carrying out the calls of engines and operators.

use std::sync::Arc;
use std::time::Duration;

use molespan_daemon::cluster::Cluster;
use molespan_http::h1::{Answer, RequestHead, Service};
use molespan_state::declared::{
    Declaration, DeclaredCommand, DeclaredReply, Departure, RetireReply,
};
use molespan_types::NodeId;
use slog::{Logger, info, warn};

use super::dialect::{CallProblem, ControlCall, ControlDialect, ControlOutcome, EngineHeartbeat};
use super::hub::Hub;

/// Longest time for a call of an engine, which goes elsewhere after a second.
const ENGINE_DEADLINE: Duration = Duration::from_millis(900);
/// Longest time for an operator's read.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// Longest time for an operator's order. The caller may have gone elsewhere by
/// then, where the same order is harmless.
const ORDER_DEADLINE: Duration = Duration::from_millis(2_500);

/// The interface of engines and operators.
pub struct ControlApi<D> {
    pub dialect: D,
    /// This node.
    pub own: NodeId,
    pub hub: Arc<Hub>,
    pub cluster: Arc<Cluster>,
    /// Stores that must stay when one is to be emptied.
    pub store_replicas: u32,
    pub logger: Logger,
}

impl<D: ControlDialect> Service for ControlApi<D> {
    async fn call(&self, head: RequestHead, body: Vec<u8>) -> Answer {
        let outcome = match self.dialect.call(&head, &body) {
            Ok(call) => self.carry_out(call).await,
            Err(problem) => {
                info!(self.logger, "call refused";
                    "method" => &head.method, "path" => head.path(), "problem" => ?problem);
                ControlOutcome::Problem(problem)
            }
        };
        self.dialect.answer(outcome)
    }
}

impl<D: ControlDialect> ControlApi<D> {
    async fn carry_out(&self, call: ControlCall) -> ControlOutcome {
        match call {
            ControlCall::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            ControlCall::Gone { engine } => self.depart(engine, Departure::Gone).await,
            ControlCall::Declare(declaration) => self.declare(*declaration).await,
            ControlCall::Read => self.read().await,
            ControlCall::Retire { name } => self.retire(name).await,
            ControlCall::Retirement { name } => self.retirement(&name).await,
        }
    }

    async fn heartbeat(&self, heartbeat: EngineHeartbeat) -> ControlOutcome {
        if heartbeat.draining {
            return self.depart(heartbeat.record.id, Departure::Draining).await;
        }
        let id = heartbeat.record.id.clone();
        let service = heartbeat.record.service.clone();
        if self.hub.hear(heartbeat.record) {
            info!(self.logger, "engine heard"; "engine" => id, "service" => service);
        }
        ControlOutcome::Acknowledged
    }

    /// A departure is acknowledged only once it is committed: the
    /// acknowledgement binds every gateway, also when this node is cut off
    /// right behind it.
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
                warn!(self.logger, "departure not committed";
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
            return ControlOutcome::Problem(CallProblem::Invalid { problems });
        }
        let command = DeclaredCommand::Declare(Box::new(declaration));
        match self.cluster.change_declared(command, ORDER_DEADLINE).await {
            Ok(DeclaredReply::Version { version: in_force }) => {
                info!(self.logger, "configuration acknowledged";
                    "version" => version, "in_force" => in_force);
                ControlOutcome::Acknowledged
            }
            other => {
                warn!(self.logger, "configuration not committed";
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
            Some(held) => ControlOutcome::Document(held.document.to_vec()),
            None => ControlOutcome::Unavailable,
        }
    }

    async fn retire(&self, name: String) -> ControlOutcome {
        // Stores watch at members only: another node, or one that has just
        // started, knows of too few that are alive.
        if !self.hub.control_nodes().contains(&self.own) || !self.hub.knows_stores() {
            info!(self.logger, "store not to be emptied by this node"; "name" => name);
            return ControlOutcome::Unavailable;
        }
        let command = DeclaredCommand::Retire {
            name: name.clone(),
            replicas: self.store_replicas,
            alive: self.hub.live_stores(),
        };
        let reply = self.cluster.change_declared(command, ORDER_DEADLINE).await;
        info!(self.logger, "store to be emptied"; "name" => name, "reply" => ?reply);
        match reply {
            Ok(DeclaredReply::Retire(RetireReply::Unknown)) => ControlOutcome::Unknown,
            Ok(DeclaredReply::Retire(RetireReply::TooFew)) => ControlOutcome::TooFewLeft,
            Ok(DeclaredReply::Retire(RetireReply::Taken { .. })) => ControlOutcome::Acknowledged,
            _ => ControlOutcome::Unavailable,
        }
    }

    async fn retirement(&self, name: &str) -> ControlOutcome {
        let Ok(declared) = self.cluster.declared(READ_DEADLINE).await else {
            return ControlOutcome::Unavailable;
        };
        let store = declared.stores().named(name);
        match store.and_then(|(_, store)| store.retirement) {
            Some(retirement) => ControlOutcome::Retirement(retirement),
            None => ControlOutcome::Unknown,
        }
    }
}
