//! What participants saw, as the checkers read it.
//!
//! Times are those of the simulation. Records come from outside the cores:
//! from callers, operators and engines, and from the edges of gateways where
//! requests are taken in and sent on.

use std::collections::BTreeMap;

use derive_more::Display;
use molespan_state::control::ConfirmReply;
use molespan_state::job::{ItemRecord, JobPhase};
use molespan_types::{
    BackendId, ConfigVersion, Digest, FencingToken, GroupId, Incarnation, JobId, NodeId,
    RunOutcome, Timestamp,
};

use crate::workload::{JobPlan, OnlinePlan};

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{checker}: at {} ms, {message}", at.0 / 1_000)]
pub struct Violation {
    /// When it was seen.
    pub at: Timestamp,
    /// Checker that saw it.
    pub checker: &'static str,
    /// What was seen.
    pub message: String,
}

/// An answered confirmation of an intent.
#[derive(Clone, Debug)]
pub struct ConfirmRecord {
    /// When it was first sent.
    pub sent: Timestamp,
    /// When the answer came.
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
    /// When it was asked for.
    pub sent: Timestamp,
    /// When the answer came.
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

/// New work that a gateway took in.
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
    /// Life of that gateway.
    pub gateway_life: u64,
    /// Engine.
    pub backend: BackendId,
    /// Life that it was meant for.
    pub incarnation: Incarnation,
    /// Digest of the prompt.
    pub prompt: Digest,
}

/// A gateway heard that an engine is leaving.
#[derive(Clone, Copy, Debug)]
pub struct ToldRecord {
    /// When.
    pub at: Timestamp,
    /// Gateway.
    pub gateway: u32,
    /// Life of that gateway.
    pub gateway_life: u64,
    /// Engine.
    pub backend: BackendId,
    /// Life that is leaving.
    pub incarnation: Incarnation,
}

/// An engine began to leave.
#[derive(Clone, Copy, Debug)]
pub struct LeavingRecord {
    /// When.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Life that is leaving.
    pub incarnation: Incarnation,
}

/// How an arrival of an online request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalEnd {
    /// With this answer.
    Answered(String),
    /// With a refusal.
    Refused(RunOutcome),
    /// The connection broke, at a planned stop or not.
    Broken {
        /// Whether the gateway had been asked to stop.
        planned_stop: bool,
    },
    /// The caller gave up waiting.
    GivenUp,
}

/// An online request at one gateway.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// When it was sent.
    pub sent: Timestamp,
    /// Caller.
    pub client: u32,
    /// Gateway.
    pub gateway: u32,
    /// What was sent.
    pub plan: std::sync::Arc<OnlinePlan>,
    /// When the first part of the answer came.
    pub first_token: Option<Timestamp>,
    /// How it ended, and when.
    pub end: Option<(Timestamp, ArrivalEnd)>,
}

/// What a caller saw of a job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job.
    pub plan: std::sync::Arc<JobPlan>,
    /// When it was first known to be accepted.
    pub accepted: Option<Timestamp>,
    /// When a cancellation was first acknowledged.
    pub cancel_acknowledged: Option<Timestamp>,
    /// When it was first reported as cancelled.
    pub cancelled: Option<Timestamp>,
    /// When it was first reported as completed.
    pub completed: Option<Timestamp>,
    /// Reports, in the order in which they were asked for.
    pub phases: Vec<PhaseRecord>,
    /// Complete readings of its results.
    pub readings: Vec<Reading>,
}

/// A report of a job's phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseRecord {
    /// When it was asked for.
    pub sent: Timestamp,
    /// When the answer came.
    pub answered: Timestamp,
    /// Phase.
    pub phase: JobPhase,
}

/// All results of a job, read once.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When the last page came.
    pub at: Timestamp,
    /// Results.
    pub results: Vec<ItemRecord>,
}

/// An order that an operator got a token for.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// When the token came.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Life that it was meant for.
    pub incarnation: Incarnation,
    /// Token.
    pub token: FencingToken,
    /// Distinguishes this order from others.
    pub order: u32,
    /// The engine's answer, and the highest token that it had seen.
    pub reply: Option<(Timestamp, bool, FencingToken)>,
}

/// A model version that an engine took an order for.
#[derive(Clone, Copy, Debug)]
pub struct OrderTakenRecord {
    /// When.
    pub at: Timestamp,
    /// Engine.
    pub backend: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Token.
    pub token: FencingToken,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct History {
    /// Who was seen leading a group in a term.
    pub leaders: BTreeMap<(GroupId, u64), (NodeId, u32)>,
    /// Answered confirmations.
    pub confirms: Vec<ConfirmRecord>,
    /// Answered linearizable reads.
    pub reads: Vec<ReadRecord>,
    /// Configurations put in force.
    pub in_force: Vec<InForceRecord>,
    /// Work taken in.
    pub admissions: Vec<AdmissionRecord>,
    /// Attempts that entered a running batch.
    pub starts: Vec<StartRecord>,
    /// Work sent to engines.
    pub dispatches: Vec<DispatchRecord>,
    /// Gateways that heard of a leaving engine.
    pub told: Vec<ToldRecord>,
    /// Engines that began to leave.
    pub leaving: Vec<LeavingRecord>,
    /// Online requests by arrival.
    pub arrivals: BTreeMap<u64, ArrivalRecord>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Orders by number of the order.
    pub orders: Vec<OrderRecord>,
    /// Orders that engines took.
    pub orders_taken: Vec<OrderTakenRecord>,
    /// Requests that a planned stop reported as cut off.
    pub reported_cut_off: u32,
    /// Violations that are seen at once.
    pub violations: Vec<Violation>,
    /// Noteworthy happenings, for the trace of a failing run.
    pub notes: Vec<(Timestamp, String)>,
}

impl History {
    /// Notes a violation.
    pub fn violate(&mut self, at: Timestamp, checker: &'static str, message: String) {
        self.violations.push(Violation {
            at,
            checker,
            message,
        });
    }

    /// Notes a happening for the trace.
    pub fn note(&mut self, at: Timestamp, text: String) {
        self.notes.push((at, text));
    }
}
