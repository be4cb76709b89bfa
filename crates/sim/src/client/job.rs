//! A caller with a job.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use molespan_state::job::{ItemRecord, JobPhase, JobStatus};
use molespan_types::{ItemIndex, Timestamp};

use crate::address::Address;
use crate::context::Context;
use crate::history::{JobRecord, PhaseRecord, Reading};
use crate::message::{ClientReply, ClientRequest, Message};
use crate::node::Node;
use crate::workload::JobPlan;

/// Timeout of a request, after which it is sent to a random gateway again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between two status queries about the job.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Submit,
    Follow,
    Cancel,
    Read,
    Done,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent: Timestamp,
    /// Whether this is a concurrent resubmission, whose failure is ignored.
    is_resubmission: bool,
}

/// A caller with a job.
#[derive(Debug)]
pub struct JobClient {
    number: u32,
    gateways: u32,
    plan: Arc<JobPlan>,
    step: Step,
    begun: Timestamp,
    next: Option<Timestamp>,
    waiting: BTreeMap<u64, Waiting>,
    resubmissions: Vec<Timestamp>,
    cancel_at: Option<Timestamp>,
    pages: Vec<ItemRecord>,
    read_from: ItemIndex,
}

impl JobClient {
    /// Creates a caller that has not started.
    #[must_use]
    pub fn new(number: u32, gateways: u32, plan: Arc<JobPlan>) -> Self {
        Self {
            number,
            gateways,
            plan,
            step: Step::Submit,
            begun: Timestamp::ZERO,
            next: None,
            waiting: BTreeMap::new(),
            resubmissions: Vec::new(),
            cancel_at: None,
            pages: Vec::new(),
            read_from: ItemIndex(0),
        }
    }

    /// Whether the job was cancelled, or completed and its results were read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Starts the job.
    pub fn begin(&mut self, context: &mut Context) {
        self.begun = context.now;
        let after = |wait: &Duration| context.now + *wait;
        self.resubmissions = self.plan.resubmit_after.iter().map(after).collect();
        self.cancel_at = self.plan.cancel_after.as_ref().map(after);
        let record = JobRecord {
            plan: Arc::clone(&self.plan),
            accepted: None,
            cancel_acknowledged: None,
            cancelled: None,
            completed: None,
            phases: Vec::new(),
            readings: Vec::new(),
        };
        context.history.jobs.insert(self.plan.id(), record);
        self.act(context);
    }

    /// Reads the state of the job and its results once more.
    pub fn audit(&mut self, context: &mut Context) {
        if self.step == Step::Done {
            self.step = Step::Follow;
            self.pages.clear();
            self.read_from = ItemIndex(0);
            self.act(context);
        }
    }

    /// Sends the request of the current step.
    fn act(&mut self, context: &mut Context) {
        let job = self.plan.id();
        let due = self.cancel_at.is_some_and(|at| at <= context.now);
        if self.step == Step::Follow && due {
            self.step = Step::Cancel;
        }
        let request = match self.step {
            Step::Submit => ClientRequest::Submit(Arc::clone(&self.plan)),
            Step::Follow => ClientRequest::Status(job),
            Step::Cancel => ClientRequest::Cancel(job),
            Step::Read => ClientRequest::Results {
                job,
                first: self.read_from,
            },
            Step::Done => return,
        };
        self.next = None;
        self.send(context, request, false);
    }

    fn send(&mut self, context: &mut Context, request: ClientRequest, is_resubmission: bool) {
        let (arrival, _) = super::send(context, self.number, self.gateways, request);
        let waiting = Waiting {
            sent: context.now,
            is_resubmission,
        };
        self.waiting.insert(arrival, waiting);
    }

    fn record_status(&mut self, context: &mut Context, waiting: Waiting, status: &JobStatus) {
        let Some(record) = context.history.jobs.get_mut(&self.plan.id()) else {
            return;
        };
        let now = context.now;
        let phase = status.phase;
        record.phases.push(PhaseRecord {
            sent: waiting.sent,
            answered: now,
            phase,
        });
        if phase != JobPhase::Submitting {
            record.accepted.get_or_insert(now);
        }
        match phase {
            JobPhase::Cancelling => {
                record.cancel_acknowledged.get_or_insert(now);
            }
            JobPhase::Cancelled => {
                record.cancel_acknowledged.get_or_insert(now);
                record.cancelled.get_or_insert(now);
            }
            JobPhase::Completed => {
                record.completed.get_or_insert(now);
            }
            JobPhase::Submitting | JobPhase::Running => {}
        }
        if waiting.is_resubmission {
            return;
        }
        match phase {
            JobPhase::Submitting => self.next = Some(now + RETRY_DELAY),
            JobPhase::Running | JobPhase::Cancelling => {
                if self.step == Step::Cancel {
                    self.cancel_at = None;
                }
                self.step = Step::Follow;
                self.next = Some(now + POLL_INTERVAL);
            }
            JobPhase::Completed => {
                self.step = Step::Read;
                self.act(context);
            }
            JobPhase::Cancelled => self.step = Step::Done,
        }
    }

    fn page(&mut self, context: &mut Context, results: Vec<ItemRecord>, next: Option<ItemIndex>) {
        if self.step != Step::Read {
            return;
        }
        self.pages.extend(results);
        if let Some(next) = next {
            self.read_from = next;
            return self.act(context);
        }
        let reading = Reading {
            at: context.now,
            results: std::mem::take(&mut self.pages),
        };
        if let Some(record) = context.history.jobs.get_mut(&self.plan.id()) {
            record.readings.push(reading);
        }
        self.step = Step::Done;
    }

    fn resubmit(&mut self, context: &mut Context) {
        let now = context.now;
        let due = self.resubmissions.iter().filter(|at| **at <= now).count();
        self.resubmissions.retain(|at| *at > now);
        for _ in 0..due {
            let request = ClientRequest::Submit(Arc::clone(&self.plan));
            self.send(context, request, true);
        }
    }

    fn time_out_requests(&mut self, context: &mut Context) {
        let now = context.now;
        let mut again = false;
        self.waiting.retain(|_, waiting| {
            let timed_out = now.since(waiting.sent) >= ANSWER_TIMEOUT;
            again |= timed_out && !waiting.is_resubmission;
            !timed_out
        });
        if again {
            self.act(context);
        }
    }
}

impl Node for JobClient {
    fn receive(&mut self, context: &mut Context, _from: Address, message: Message) {
        let Message::Reply { arrival, reply } = message else {
            return;
        };
        let Some(waiting) = self.waiting.remove(&arrival) else {
            return;
        };
        match reply {
            ClientReply::Job(status) => self.record_status(context, waiting, &status),
            ClientReply::Results { results, next } => self.page(context, results, next),
            _ if waiting.is_resubmission => {}
            _ => self.next = Some(context.now + RETRY_DELAY),
        }
    }

    fn wake(&mut self, context: &mut Context) {
        self.resubmit(context);
        self.time_out_requests(context);
        if self.next.is_some_and(|next| next <= context.now) {
            self.act(context);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let timeouts = self.waiting.values();
        let timeouts = timeouts.map(|waiting| waiting.sent + ANSWER_TIMEOUT);
        timeouts
            .chain(self.resubmissions.iter().copied())
            .chain(self.next)
            .min()
    }
}
