//! What is known of one engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use molespan_types::{NodeId, Timestamp, ZoneName};

/// How long a report says something about the work of others.
const REPORT_FADES: Duration = Duration::from_secs(2);
/// First pause of an engine that fails; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Pause of an engine that is full.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Doublings after which the pause stays.
const MOST_DOUBLINGS: u32 = 3;

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// Identifier of its incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// Load that an engine tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// How an attempt failed, as far as it tells of the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It could not be reached.
    Unreachable,
    /// It broke off, or answered what is no answer.
    Broken,
    /// It was silent for too long.
    Silent,
    /// It has no room.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// Work of others at that time.
    others: u32,
    at: Timestamp,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub facts: EngineFacts,
    /// Control nodes that say it is there.
    pub known_by: BTreeSet<NodeId>,
    /// Own requests there, online and batch.
    pub online: u32,
    pub batch: u32,
    report: Option<Report>,
    failures: u32,
    paused_until: Timestamp,
}

impl Engine {
    pub fn new(facts: EngineFacts) -> Self {
        Self {
            facts,
            known_by: BTreeSet::new(),
            online: 0,
            batch: 0,
            report: None,
            failures: 0,
            paused_until: Timestamp::ZERO,
        }
    }

    pub fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Takes in a load that it told; own requests in flight are in it.
    pub fn report(&mut self, load: EngineLoad, now: Timestamp) {
        let all = load.running + load.waiting;
        self.report = Some(Report {
            others: all.saturating_sub(self.own()),
            at: now,
        });
        if load.slots > 0 {
            self.facts.slots = load.slots;
        }
    }

    /// Requests that are there as far as is known: the own ones, and those of
    /// others, which count for less the older the report is.
    pub fn load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.own());
        let Some(report) = self.report else {
            return own;
        };
        let age = now.since(report.at).as_secs_f64() / REPORT_FADES.as_secs_f64();
        own + f64::from(report.others) * (1.0 - age).max(0.0)
    }

    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    pub fn failed(&mut self, failure: Failure, now: Timestamp) {
        if failure == Failure::Full {
            self.paused_until = self.paused_until.max(now + FULL_PAUSE);
            return;
        }
        self.failures += 1;
        // One broken answer may be the answer's fault; two are the engine's.
        if failure == Failure::Broken && self.failures < 2 {
            return;
        }
        let doublings = (self.failures - 1).min(MOST_DOUBLINGS);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.paused_until = self.paused_until.max(now + pause);
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
