//! Submission, status, results and cancellation of jobs for callers.

use std::sync::Arc;
use std::time::Duration;

use molespan_replica::Consistency;
use molespan_state::job::{
    AppendItems, BeginJob, JobAnswer, JobCommand, JobPhase, JobQuery, JobReply, JobStatus,
};
use molespan_types::{ItemIndex, JobId, RunOutcome};

use super::process::{Process, Tag};
use crate::address::Address;
use crate::context::Context;
use crate::message::{ClientReply, ClientRequest, Message, Operation};
use crate::replica_node::JOB_GROUPS;
use crate::workload::JobPlan;

/// Timeout of each call to a group.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Items per append.
const ITEMS_PER_APPEND: u32 = 50;
/// Results per page.
const RESULTS_PER_PAGE: u32 = 64;

/// The step of a job request that a caller waits for.
#[derive(Clone, Debug)]
pub(super) enum JobStep {
    Begin(Arc<JobPlan>),
    Append(Arc<JobPlan>),
    Accept(Arc<JobPlan>),
    Status,
    Results,
    Cancel,
}

/// A call to a group on behalf of a caller.
#[derive(Clone, Debug)]
pub(super) struct JobCall {
    pub client: Address,
    pub arrival: u64,
    pub job: JobId,
    pub step: JobStep,
}

impl Process {
    pub(super) fn handle_job_request(
        &mut self,
        context: &mut Context,
        client: Address,
        arrival: u64,
        request: ClientRequest,
    ) {
        match request {
            ClientRequest::Submit(plan) => {
                if !self.admits_new_work(context) {
                    let reply = ClientReply::Refused {
                        outcome: RunOutcome::NotRun,
                        reason: "not ready",
                    };
                    return self.reply(context, client, arrival, reply);
                }
                self.begin_job(context, client, arrival, plan);
            }
            ClientRequest::Status(job) => {
                let query = JobQuery::Status { job };
                self.query_job(context, (client, arrival, job), &query, JobStep::Status);
            }
            ClientRequest::Results { job, first } => {
                let limit = RESULTS_PER_PAGE;
                let query = JobQuery::Results { job, first, limit };
                self.query_job(context, (client, arrival, job), &query, JobStep::Results);
            }
            ClientRequest::Cancel(job) => {
                let call = JobCall {
                    client,
                    arrival,
                    job,
                    step: JobStep::Cancel,
                };
                self.job_command(context, call, &JobCommand::Cancel { job });
            }
            ClientRequest::Online(_) => {}
        }
    }

    fn begin_job(
        &mut self,
        context: &mut Context,
        client: Address,
        arrival: u64,
        plan: Arc<JobPlan>,
    ) {
        let begin = BeginJob {
            job: plan.id(),
            tenant: plan.tenant.clone(),
            key: plan.key.clone(),
            digest: plan.digest(),
            service: plan.service.clone(),
            item_count: plan.items,
            repeatable: plan.repeatable,
            deadline_unix_seconds: 0,
        };
        let call = JobCall {
            client,
            arrival,
            job: plan.id(),
            step: JobStep::Begin(plan),
        };
        self.job_command(context, call, &JobCommand::Begin(begin));
    }

    fn job_command(&mut self, context: &mut Context, call: JobCall, command: &JobCommand) {
        let group = call.job.group(JOB_GROUPS);
        let tag = Tag::Job(Box::new(call));
        self.propose(context, group, command, CALL_TIMEOUT, tag);
    }

    fn query_job(
        &mut self,
        context: &mut Context,
        (client, arrival, job): (Address, u64, JobId),
        query: &JobQuery,
        step: JobStep,
    ) {
        let call = JobCall {
            client,
            arrival,
            job,
            step,
        };
        let now = self.now(context);
        let bytes: Arc<[u8]> = molespan_state::encode(query).into();
        let operation = Operation::Query(Consistency::Linearizable, bytes);
        let group = job.group(JOB_GROUPS);
        let tag = Tag::Job(Box::new(call));
        self.groups
            .call(context, now, group, operation, CALL_TIMEOUT, tag);
    }

    pub(super) fn job_replied(
        &mut self,
        context: &mut Context,
        call: JobCall,
        answer: Option<&[u8]>,
    ) {
        let Some(answer) = answer else {
            return self.job_failed(context, &call, RunOutcome::Unknown, "no leader answered");
        };
        if matches!(call.step, JobStep::Status | JobStep::Results) {
            return self.job_answered(context, &call, answer);
        }
        match molespan_state::decode(answer) {
            Ok(JobReply::Job(status)) => self.handle_job_status(context, call, status),
            Ok(JobReply::WrongPhase { received, .. }) => {
                // Another gateway is submitting the same job concurrently.
                self.append(context, call, received);
            }
            Ok(JobReply::KeyConflict { .. }) => {
                self.job_failed(context, &call, RunOutcome::NotRun, "key conflict");
            }
            _ => self.job_failed(context, &call, RunOutcome::NotRun, "unknown job"),
        }
    }

    fn handle_job_status(&mut self, context: &mut Context, call: JobCall, status: JobStatus) {
        let submitting = status.phase == JobPhase::Submitting;
        match &call.step {
            JobStep::Begin(_) | JobStep::Append(_) if submitting => {
                self.append(context, call, status.received);
            }
            JobStep::Accept(plan) => {
                let service = plan.service.clone();
                let own = self.identity.address();
                for other in self.others() {
                    let message = Message::WorkAvailable(service.clone());
                    context.send(own, other, message);
                }
                self.work_available(context, service);
                self.job_done(context, &call, ClientReply::Job(status));
            }
            _ => self.job_done(context, &call, ClientReply::Job(status)),
        }
    }

    /// Appends the items from `received` on, or accepts the job once all items are present.
    fn append(&mut self, context: &mut Context, call: JobCall, received: u32) {
        let (JobStep::Begin(plan) | JobStep::Append(plan) | JobStep::Accept(plan)) = &call.step
        else {
            return self.job_failed(context, &call, RunOutcome::NotRun, "wrong phase");
        };
        let plan = Arc::clone(plan);
        let job = call.job;
        if received >= plan.items {
            let step = JobStep::Accept(plan);
            return self.job_command(
                context,
                JobCall { step, ..call },
                &JobCommand::Accept { job },
            );
        }
        let end = plan.items.min(received + ITEMS_PER_APPEND);
        let inputs = (received..end).map(|item| plan.input(item).into());
        let append = AppendItems {
            job,
            first: ItemIndex(received),
            inputs: inputs.collect(),
        };
        let step = JobStep::Append(plan);
        self.job_command(
            context,
            JobCall { step, ..call },
            &JobCommand::Append(append),
        );
    }

    fn job_answered(&mut self, context: &mut Context, call: &JobCall, answer: &[u8]) {
        let reply = match molespan_state::decode(answer) {
            Ok(JobAnswer::Status(Some(status))) => ClientReply::Job(status),
            Ok(JobAnswer::Results { results, next }) => ClientReply::Results { results, next },
            _ => ClientReply::Refused {
                outcome: RunOutcome::NotRun,
                reason: "unknown job",
            },
        };
        self.job_done(context, call, reply);
    }

    fn job_failed(
        &mut self,
        context: &mut Context,
        call: &JobCall,
        outcome: RunOutcome,
        reason: &'static str,
    ) {
        self.job_done(context, call, ClientReply::Refused { outcome, reason });
    }

    fn job_done(&mut self, context: &mut Context, call: &JobCall, reply: ClientReply) {
        self.reply(context, call.client, call.arrival, reply);
    }
}
