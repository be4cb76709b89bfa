//! Online requests: admission, claims, engine selection, answers, retries.

use std::sync::Arc;
use std::time::Duration;

use molespan_emulator::engine::Submission;
use molespan_routing::admission::{AdmissionOutput, Decision, Ticket};
use molespan_routing::batch::{BatchInput, OnlineNotice};
use molespan_routing::pick::PickRequest;
use molespan_routing::retry::{
    AttemptRef, ClaimAnswer, NextStep, RequestKind, RequestState, StreamCheck,
};
use molespan_state::job::{ClaimReply, ClaimRequest, JobCommand, JobReply, SettleClaim};
use molespan_types::{AttemptId, BackendId, JobId, Priority, RunOutcome, Timestamp, digest_of};

use super::process::{ConnectionUse, Process, Tag};
use crate::address::Address;
use crate::context::Context;
use crate::message::{AnswerForm, ClientReply, ConnectionId, EngineCall, Message};
use crate::replica_node::JOB_GROUPS;
use crate::scenario::MODEL;
use crate::workload::OnlinePlan;

/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a settlement, which is resent until then.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Identifies an online request within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OnlineId(u64);

/// An attempt, or a status query about it, in flight.
#[derive(Debug)]
pub(super) struct Exchange {
    pub attempt: AttemptRef,
    pub connection: ConnectionId,
    pub check: StreamCheck,
    pub status_query: bool,
    pub resumed: bool,
    pub active: Timestamp,
}

/// An online request.
#[derive(Debug)]
pub(super) struct Online {
    pub client: Address,
    pub arrival: u64,
    pub plan: Arc<OnlinePlan>,
    pub state: RequestState,
    pub ticket: Ticket,
    pub claim: Option<AttemptId>,
    pub exchange: Option<Exchange>,
    /// The engine on which this request counts as in flight, and since when.
    pub in_flight_on: Option<(BackendId, Timestamp)>,
    pub answered: bool,
    pub text: String,
}

impl Process {
    pub(super) fn handle_online(
        &mut self,
        context: &mut Context,
        client: Address,
        arrival: u64,
        plan: Arc<OnlinePlan>,
    ) {
        let refusal = |reason| ClientReply::Refused {
            outcome: RunOutcome::NotRun,
            reason,
        };
        if !self.admits_new_work(context) {
            return self.reply(context, client, arrival, refusal("not ready"));
        }
        let now = self.now(context);
        let decision = self.admission.offer(now, &plan.tenant, &plan.service);
        let (ticket, begins) = match decision {
            Decision::Admitted(ticket) => (ticket, true),
            Decision::Queued { ticket, .. } => (ticket, false),
            Decision::Refused(_) => {
                return self.reply(context, client, arrival, refusal("not admitted"));
            }
        };
        self.last_online += 1;
        let id = OnlineId(self.last_online);
        let kind = RequestKind {
            repeatable: plan.key.is_none(),
            resumable: true,
        };
        let online = Online {
            client,
            arrival,
            plan,
            state: RequestState::new(kind),
            ticket,
            claim: None,
            exchange: None,
            in_flight_on: None,
            answered: false,
            text: String::new(),
        };
        self.online.insert(id, online);
        self.tickets.insert(ticket, id);
        if begins {
            self.begin_online(context, id);
        }
    }

    fn begin_online(&mut self, context: &mut Context, id: OnlineId) {
        self.budget.earn();
        if let Some(online) = self.online.get_mut(&id) {
            let step = online.state.begin();
            self.apply_step(context, id, step);
        }
    }

    pub(super) fn admission_changed(
        &mut self,
        context: &mut Context,
        outputs: Vec<AdmissionOutput>,
    ) {
        for output in outputs {
            match output {
                AdmissionOutput::Admitted(ticket) => {
                    if let Some(id) = self.tickets.get(&ticket).copied() {
                        self.begin_online(context, id);
                    }
                }
                AdmissionOutput::Refused(ticket, _) => {
                    let id = self.tickets.remove(&ticket);
                    if let Some(online) = id.and_then(|id| self.online.remove(&id)) {
                        let reply = ClientReply::Refused {
                            outcome: RunOutcome::NotRun,
                            reason: "not admitted",
                        };
                        self.reply(context, online.client, online.arrival, reply);
                    }
                }
            }
        }
    }

    pub(super) fn apply_step(&mut self, context: &mut Context, id: OnlineId, step: NextStep) {
        match step {
            NextStep::Claim => self.claim(context, id),
            NextStep::Dispatch => self.dispatch(context, id, &[]),
            NextStep::Retry { exclude } => self.dispatch(context, id, &exclude),
            NextStep::Resume { attempt, offset } => self.resume(context, id, attempt, offset),
            NextStep::AskStatus { attempt } => self.query_status(context, id, attempt),
            NextStep::Replay { outcome } => self.replay(context, id, outcome),
            NextStep::Done => self.finish(context, id, RunOutcome::Completed),
            NextStep::Fail { outcome } => self.finish(context, id, outcome),
        }
    }

    fn claim(&mut self, context: &mut Context, id: OnlineId) {
        let attempt = self.next_attempt();
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        online.claim = Some(attempt);
        let plan = Arc::clone(&online.plan);
        let Some(key) = plan.key.clone() else {
            return;
        };
        let request = ClaimRequest {
            tenant: plan.tenant.clone(),
            key: key.clone(),
            digest: digest_of(plan.prompt.as_bytes()),
            attempt,
        };
        let group = JobId::from_key(&plan.tenant, &key).group(JOB_GROUPS);
        let command = JobCommand::Claim(request);
        self.propose(context, group, &command, CLAIM_TIMEOUT, Tag::Claim(id));
    }

    pub(super) fn claim_replied(
        &mut self,
        context: &mut Context,
        id: OnlineId,
        answer: Option<&[u8]>,
    ) {
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let reply = answer.map(molespan_state::decode);
        let answer = match reply {
            Some(Ok(JobReply::Claim(ClaimReply::Granted))) => ClaimAnswer::Granted,
            Some(Ok(JobReply::Claim(ClaimReply::Held { .. }))) => ClaimAnswer::Held,
            Some(Ok(JobReply::Claim(ClaimReply::KeyConflict))) => ClaimAnswer::KeyConflict,
            Some(Ok(JobReply::Claim(ClaimReply::Settled { outcome, answer }))) => {
                online.text = String::from_utf8(answer.to_vec()).unwrap_or_default();
                ClaimAnswer::Settled(outcome)
            }
            _ => ClaimAnswer::Failed,
        };
        // A claim held by another request must not be settled by this one.
        if !matches!(answer, ClaimAnswer::Granted | ClaimAnswer::Failed) {
            online.claim = None;
        }
        let step = online.state.claim_answered(answer);
        self.apply_step(context, id, step);
    }

    fn dispatch(&mut self, context: &mut Context, id: OnlineId, exclude: &[BackendId]) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let plan = Arc::clone(&online.plan);
        let request = PickRequest {
            prefix_hashes: &[],
            exclude,
        };
        let picker = self.pickers.get_mut(&plan.service);
        let pick = picker.and_then(|picker| picker.pick(now, request).ok());
        let found = pick.and_then(|pick| self.directory.backend(pick.backend));
        let Some(found) = found else {
            let step = online.state.no_backend();
            return self.apply_step(context, id, step);
        };
        let (backend, incarnation) = (found.id, found.incarnation);
        let attempt = AttemptRef {
            attempt: self.next_attempt(),
            backend,
            incarnation,
        };
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        if !online.state.dispatched(attempt) {
            return;
        }
        online.in_flight_on = Some((backend, now));
        if let Some(picker) = self.pickers.get_mut(&plan.service) {
            picker.started(now, backend, &[]);
        }
        self.batch_input(context, BatchInput::OnlineStarted { backend });
        let prompt_tokens = plan.prompt.len() as u32;
        self.notify_owner(context, &plan, backend, prompt_tokens);
        self.record_dispatch(context, attempt, &plan.prompt);
        let submission = Submission {
            attempt: attempt.attempt.to_string().into(),
            priority: Priority::Online,
            model: MODEL.to_owned(),
            adapter: None,
            prompt: plan.prompt.clone(),
            max_tokens: plan.tokens,
            stream: plan.stream,
        };
        let call = EngineCall::Submit {
            submission,
            form: form(&plan),
        };
        self.exchange(context, id, attempt, call, 0);
    }

    /// Notifies the batch owner of an engine about online work on it.
    pub(super) fn notify_owner(
        &self,
        context: &mut Context,
        plan: &OnlinePlan,
        backend: BackendId,
        prompt_tokens: u32,
    ) {
        let owner = self.owner_of(backend);
        let Some(owner) = owner.filter(|owner| *owner != self.identity.node()) else {
            return;
        };
        let picker = self.pickers.get(&plan.service);
        let notice = OnlineNotice {
            from: self.identity.node(),
            backend,
            in_flight: picker.map_or(0, |picker| picker.own_in_flight(backend)),
            prompt_tokens,
        };
        let own = self.identity.address();
        context.send(own, Address::of_node(owner), Message::Notice(notice));
    }

    fn exchange(
        &mut self,
        context: &mut Context,
        id: OnlineId,
        attempt: AttemptRef,
        call: EngineCall,
        offset: u32,
    ) {
        let status_query = matches!(call, EngineCall::Status(_));
        let resumed = matches!(call, EngineCall::Fetch { .. });
        let connection = self.call_engine(context, attempt.backend, call);
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let exchange = Exchange {
            attempt,
            connection,
            check: StreamCheck::new(attempt.attempt, offset),
            status_query,
            resumed,
            active: now,
        };
        if let Some(old) = online.exchange.replace(exchange) {
            self.connections.remove(&old.connection);
        }
        self.connections
            .insert(connection, ConnectionUse::Online(id));
    }

    fn resume(&mut self, context: &mut Context, id: OnlineId, attempt: AttemptRef, offset: u32) {
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let offset = if online.plan.stream { offset } else { 0 };
        let call = EngineCall::Fetch {
            attempt: attempt.attempt,
            offset,
            form: form(&online.plan),
        };
        self.exchange(context, id, attempt, call, offset);
    }

    fn query_status(&mut self, context: &mut Context, id: OnlineId, attempt: AttemptRef) {
        let call = EngineCall::Status(attempt.attempt);
        self.exchange(context, id, attempt, call, 0);
    }

    /// Replays the recorded answer of a claimed request to the caller.
    fn replay(&mut self, context: &mut Context, id: OnlineId, outcome: RunOutcome) {
        let Some(online) = self.online.get(&id) else {
            return;
        };
        if outcome == RunOutcome::Completed && online.plan.stream {
            let (client, arrival) = (online.client, online.arrival);
            let text = online.text.clone();
            self.reply(
                context,
                client,
                arrival,
                ClientReply::Chunk { offset: 0, text },
            );
        }
        self.finish(context, id, outcome);
    }

    fn finish(&mut self, context: &mut Context, id: OnlineId, outcome: RunOutcome) {
        let now = self.now(context);
        let Some(online) = self.online.remove(&id) else {
            return;
        };
        self.tickets.remove(&online.ticket);
        let reply = match outcome {
            RunOutcome::Completed if online.plan.stream => ClientReply::End,
            RunOutcome::Completed => ClientReply::Whole(online.text.clone()),
            outcome => ClientReply::Refused {
                outcome,
                reason: "failed",
            },
        };
        self.reply(context, online.client, online.arrival, reply);
        self.settle(context, &online, outcome);
        let ran = outcome == RunOutcome::Completed;
        let outputs = self.admission.release(now, online.ticket, ran);
        self.admission_changed(context, outputs);
    }

    fn settle(&mut self, context: &mut Context, online: &Online, outcome: RunOutcome) {
        let (Some(attempt), Some(key)) = (online.claim, online.plan.key.clone()) else {
            return;
        };
        let tenant = online.plan.tenant.clone();
        let group = JobId::from_key(&tenant, &key).group(JOB_GROUPS);
        let answer = match outcome {
            RunOutcome::Completed => online.text.clone().into_bytes(),
            RunOutcome::NotRun | RunOutcome::Unknown => Vec::new(),
        };
        let settle = SettleClaim {
            tenant,
            key,
            attempt,
            outcome,
            answer: answer.into(),
        };
        let command = JobCommand::Settle(settle);
        self.propose(context, group, &command, SETTLE_TIMEOUT, Tag::Settle);
    }
}

fn form(plan: &OnlinePlan) -> AnswerForm {
    if plan.stream {
        AnswerForm::Chunks
    } else {
        AnswerForm::Whole
    }
}
