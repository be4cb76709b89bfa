//! Observations of the participants, as input of the checkers.
//!
//! Times are simulation times. Records come from outside the cores: from callers,
//! operators and engines, and from the points where gateways admit and dispatch
//! requests.

use std::collections::BTreeMap;

use derive_more::Display;
use molespan_state::control::ConfirmReply;
use molespan_state::job::{ItemRecord, JobPhase};
use molespan_types::{
    BackendId, ConfigVersion, Digest, FencingToken, GroupId, Incarnation, JobId, NodeId,
    RunOutcome, Timestamp,
};

use crate::workload::{JobPlan, OnlinePlan};

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{checker}: at {} ms, {message}", at.0 / 1_000)]
pub struct Violation {
    /// When the violation was observed.
    pub at: Timestamp,
    /// Checker that reported the violation.
    pub checker: &'static str,
    /// Description.
    pub message: String,
}

/// An answered confirmation of an intent.
#[derive(Clone, Debug)]
pub struct ConfirmRecord {
    /// When the confirmation was first sent.
    pub sent: Timestamp,
    /// When the answer arrived.
    pub answered: Timestamp,
    /// Number of the intent.
    pub number: u64,
    /// Operator.
    pub operator: String,
    /// Answer.
    pub reply: ConfirmReply,
}

/// An answered linearizable read of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord {
    /// When the read was sent.
    pub sent: Timestamp,
    /// When the answer arrived.
    pub answered: Timestamp,
    /// Version that was read.
    pub version: ConfigVersion,
}

/// A configuration that a gateway put in force.
#[derive(Clone, Copy, Debug)]
pub struct InForceRecord {
    /// When.
    pub at: Timestamp,
    /// Gateway.
    pub gateway: u32,
    /// Version.
    pub version: ConfigVersion,
}

/// New work that a gateway admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRecord {
    /// When.
    pub at: Timestamp,
    /// Gateway.
    pub gateway: u32,
    /// Configuration in force there.
    pub version: ConfigVersion,
}

/// An attempt that entered an engine's running batch.
#[derive(Clone, Copy, Debug)]
pub struct StartRecord {
    /// When.
    pub at: Timestamp,
    /// Engine.
    pub engine: u32,
    /// Digest of the prompt.
    pub prompt: Digest,
}

/// New work that a gateway sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRecord {
    /// When.
    pub at: Timestamp,
    /// Gateway.
    pub gateway: u32,
    /// Incarnation of that gateway.
    pub gateway_incarnation: u64,
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine that the work was meant for.
    pub incarnation: Incarnation,
    /// Digest of the prompt.
    pub prompt: Digest,
}

/// A notification of a gateway that an engine is leaving.
#[derive(Clone, Copy, Debug)]
pub struct LeavingNoticeRecord {
    /// When.
    pub at: Timestamp,
    /// Gateway.
    pub gateway: u32,
    /// Incarnation of that gateway.
    pub gateway_incarnation: u64,
    /// Engine.
    pub backend: BackendId,
    /// Incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// The point at which an engine began to leave.
#[derive(Clone, Copy, Debug)]
pub struct LeavingRecord {
    /// When.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// How an arrival of an online request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalEnd {
    /// The caller got this answer.
    Answered(String),
    /// The gateway refused the request.
    Refused(RunOutcome),
    /// The connection broke, during a graceful shutdown or otherwise.
    Broken {
        /// Whether the gateway had been asked to shut down.
        planned_stop: bool,
    },
    /// The caller timed out.
    GivenUp,
}

/// An online request at one gateway.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// When the request was sent.
    pub sent: Timestamp,
    /// Caller.
    pub client: u32,
    /// Gateway.
    pub gateway: u32,
    /// Request.
    pub plan: std::sync::Arc<OnlinePlan>,
    /// When the first part of the answer arrived.
    pub first_token: Option<Timestamp>,
    /// When and how the arrival ended.
    pub end: Option<(Timestamp, ArrivalEnd)>,
}

/// What a caller observed of a job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job.
    pub plan: std::sync::Arc<JobPlan>,
    /// When the job was first reported as accepted.
    pub accepted: Option<Timestamp>,
    /// When a cancellation was first acknowledged.
    pub cancel_acknowledged: Option<Timestamp>,
    /// When the job was first reported as cancelled.
    pub cancelled: Option<Timestamp>,
    /// When the job was first reported as completed.
    pub completed: Option<Timestamp>,
    /// Status reports, in the order of their answers.
    pub phases: Vec<PhaseRecord>,
    /// Complete reads of the results.
    pub readings: Vec<Reading>,
}

/// A report of a job's phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseRecord {
    /// When the report was requested.
    pub sent: Timestamp,
    /// When the answer arrived.
    pub answered: Timestamp,
    /// Phase.
    pub phase: JobPhase,
}

/// The complete results of a job from one read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When the last page arrived.
    pub at: Timestamp,
    /// Results.
    pub results: Vec<ItemRecord>,
}

/// An order for which an operator received a token.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// When the token arrived.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine that the order is meant for.
    pub incarnation: Incarnation,
    /// Token.
    pub token: FencingToken,
    /// Identifier of the order.
    pub order: u32,
    /// When the engine answered, whether it accepted the order, and the highest token that
    /// it had seen.
    pub reply: Option<(Timestamp, bool, FencingToken)>,
}

/// An order that an engine accepted.
#[derive(Clone, Copy, Debug)]
pub struct OrderTakenRecord {
    /// When.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Token.
    pub token: FencingToken,
}

/// Observations of a whole run.
#[derive(Debug, Default)]
pub struct History {
    /// Node and incarnation first observed as leader, by group and term.
    pub leaders: BTreeMap<(GroupId, u64), (NodeId, u32)>,
    /// Answered confirmations.
    pub confirms: Vec<ConfirmRecord>,
    /// Answered linearizable reads.
    pub reads: Vec<ReadRecord>,
    /// Configurations put in force.
    pub in_force: Vec<InForceRecord>,
    /// Admitted work.
    pub admissions: Vec<AdmissionRecord>,
    /// Attempts that entered a running batch.
    pub starts: Vec<StartRecord>,
    /// Work sent to engines.
    pub dispatches: Vec<DispatchRecord>,
    /// Notifications of gateways about leaving engines.
    pub leaving_notices: Vec<LeavingNoticeRecord>,
    /// Engines that began to leave.
    pub leaving: Vec<LeavingRecord>,
    /// Online requests by arrival.
    pub arrivals: BTreeMap<u64, ArrivalRecord>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Orders, in the order of their issue.
    pub orders: Vec<OrderRecord>,
    /// Orders accepted by engines.
    pub orders_taken: Vec<OrderTakenRecord>,
    /// Number of requests that graceful shutdowns reported as cut off.
    pub reported_cut_off: u32,
    /// Violations detected during the run.
    pub violations: Vec<Violation>,
    /// Events for the trace of a failing run.
    pub notes: Vec<(Timestamp, String)>,
}

impl History {
    /// Records a violation.
    pub fn record_violation(&mut self, at: Timestamp, checker: &'static str, message: String) {
        self.violations.push(Violation {
            at,
            checker,
            message,
        });
    }

    /// Records an event for the trace.
    pub fn note(&mut self, at: Timestamp, text: String) {
        self.notes.push((at, text));
    }
}
