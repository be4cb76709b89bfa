//! Batch streams on engines, and the batch owner's requests to job groups.

use std::sync::Arc;
use std::time::Duration;

use molespan_emulator::engine::Submission;
use molespan_membership::WorkResult;
use molespan_routing::batch::{
    BatchInput, BatchOutput, GroupReply, ItemEnd, OnlineNotice, RequestNumber, StreamId,
};
use molespan_routing::retry::{AttemptRef, check_attempt, check_length};
use molespan_state::job::{JobCommand, JobReply, LeaseRequest};
use molespan_types::{GroupId, Priority, RunOutcome, ServiceName, Timestamp};

use super::process::{ConnectionUse, Process, Tag};
use crate::context::Context;
use crate::history::DispatchRecord;
use crate::message::{AnswerForm, ConnectionId, EngineAnswer, EngineCall, Operation};
use crate::scenario::MODEL;
use crate::workload::read_input;

/// Timeout of one request to a job group.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time of a stream after which its answer is fetched again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of fetches of the answer of a stream.
const MAX_FETCHES: u32 = 6;

/// A batch stream in flight.
#[derive(Debug)]
pub(super) struct BatchStream {
    attempt: AttemptRef,
    connection: ConnectionId,
    paused: bool,
    fetches: u32,
    active: Timestamp,
}

impl Process {
    /// Passes an input to the batch owner and executes its outputs.
    pub(super) fn batch_input(&mut self, context: &mut Context, input: BatchInput) {
        let now = self.now(context);
        let outputs = self.batch.handle(now, input);
        self.timers.batch = self.batch.next_wakeup(now);
        for output in outputs {
            self.execute_output(context, output);
        }
    }

    pub(super) fn tick_batch(&mut self, context: &mut Context) {
        let changes = self.ownership.tick(self.now(context));
        self.ownership_changed(context, changes);
        // The owner is ticked only when its own timer is due: a periodic tick would hide a
        // failure to act on inputs as they arrive.
        if self
            .timers
            .batch
            .is_some_and(|due| due <= self.now(context))
        {
            self.batch_input(context, BatchInput::Tick);
        }
        self.fetch_idle_streams(context);
    }

    fn execute_output(&mut self, context: &mut Context, output: BatchOutput) {
        match output {
            BatchOutput::Pause(id) => self.set_paused(context, id, true),
            BatchOutput::Resume(id) => self.set_paused(context, id, false),
            BatchOutput::Cancel(id) => {
                if let Some(stream) = self.streams.remove(&id) {
                    self.connections.remove(&stream.connection);
                    let call = EngineCall::Cancel(stream.attempt.attempt);
                    self.call_engine(context, stream.attempt.backend, call);
                }
            }
            BatchOutput::Dispatch { .. } => self.dispatch_item(context, output),
            BatchOutput::Decision(_) | BatchOutput::Drained => {}
            request => self.send_batch_request(context, request),
        }
    }

    fn set_paused(&mut self, context: &mut Context, id: StreamId, paused: bool) {
        let now = self.now(context);
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.paused = paused;
        stream.active = now;
        let AttemptRef {
            attempt, backend, ..
        } = stream.attempt;
        let call = if paused {
            EngineCall::Pause(attempt)
        } else {
            EngineCall::Resume(attempt)
        };
        self.call_engine(context, backend, call);
    }

    fn dispatch_item(&mut self, context: &mut Context, output: BatchOutput) {
        let BatchOutput::Dispatch {
            stream,
            backend,
            incarnation,
            input,
            ..
        } = output
        else {
            return;
        };
        let Some((tokens, prompt)) = read_input(&input) else {
            return;
        };
        let attempt = AttemptRef {
            attempt: self.next_attempt(),
            backend,
            incarnation,
        };
        self.record_dispatch(context, attempt, &prompt);
        let submission = Submission {
            attempt: attempt.attempt.to_string().into(),
            priority: Priority::Batch,
            model: MODEL.to_owned(),
            adapter: None,
            prompt,
            max_tokens: tokens,
            stream: true,
        };
        let call = EngineCall::Submit {
            submission,
            form: AnswerForm::FirstThenWhole,
        };
        let connection = self.call_engine(context, backend, call);
        self.connections
            .insert(connection, ConnectionUse::Batch(stream));
        let dispatched = BatchStream {
            attempt,
            connection,
            paused: false,
            fetches: 0,
            active: self.now(context),
        };
        self.streams.insert(stream, dispatched);
    }

    pub(super) fn record_dispatch(&self, context: &mut Context, attempt: AttemptRef, prompt: &str) {
        context.history.dispatches.push(DispatchRecord {
            at: context.now,
            gateway: self.identity.number,
            gateway_incarnation: self.identity.incarnation_number,
            backend: attempt.backend,
            incarnation: attempt.incarnation,
            prompt: molespan_types::digest_of(prompt.as_bytes()),
        });
    }

    fn send_batch_request(&mut self, context: &mut Context, output: BatchOutput) {
        let (request, group, command) = match output {
            BatchOutput::LeaseItems {
                request,
                group,
                service,
                backend,
                max_items,
            } => {
                let wanted = LeaseRequest {
                    owner: self.identity.node(),
                    owner_incarnation: self.identity.incarnation_number,
                    sequence: request.0,
                    service,
                    backend,
                    max_items,
                };
                (request, group, JobCommand::Lease(wanted))
            }
            BatchOutput::Renew {
                request,
                group,
                leases,
            } => (request, group, JobCommand::Renew { leases }),
            BatchOutput::Record {
                request,
                group,
                lease,
                results,
            } => (request, group, JobCommand::Record { lease, results }),
            BatchOutput::Return {
                request,
                group,
                lease,
                items,
            } => (request, group, JobCommand::Return { lease, items }),
            _ => return,
        };
        let tag = Tag::Batch(request);
        self.propose(context, group, &command, REQUEST_TIMEOUT, tag);
    }

    /// Proposes a command to a job group.
    pub(super) fn propose(
        &mut self,
        context: &mut Context,
        group: GroupId,
        command: &JobCommand,
        within: Duration,
        tag: Tag,
    ) {
        let now = self.now(context);
        let bytes: Arc<[u8]> = molespan_state::encode(command).into();
        let operation = Operation::Propose(bytes);
        self.groups
            .call(context, now, group, operation, within, tag);
    }

    pub(super) fn batch_replied(
        &mut self,
        context: &mut Context,
        request: RequestNumber,
        answer: Option<&[u8]>,
    ) {
        let reply = match answer.map(molespan_state::decode) {
            Some(Ok(JobReply::Leased(granted))) => GroupReply::Leased(granted),
            Some(Ok(JobReply::Renewed { lost, cancelled })) => {
                GroupReply::Renewed { lost, cancelled }
            }
            Some(Ok(JobReply::Recorded { taken, dropped })) => {
                GroupReply::Accepted { taken, dropped }
            }
            _ => GroupReply::Failed,
        };
        self.batch_input(context, BatchInput::Reply { request, reply });
    }

    pub(super) fn stream_answered(
        &mut self,
        context: &mut Context,
        id: StreamId,
        answer: EngineAnswer,
    ) {
        let now = self.now(context);
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.active = now;
        let attempt = stream.attempt;
        let first_fetch = stream.fetches == 0;
        match answer {
            EngineAnswer::Chunk(chunk) => {
                if check_attempt(attempt.attempt, Some(&chunk.id)).is_ok() {
                    let tokens = chunk.offset + 1;
                    let progress = BatchInput::Progress { stream: id, tokens };
                    self.batch_input(context, progress);
                }
            }
            EngineAnswer::Whole {
                attempt: echoed,
                declared,
                text,
            } => {
                let own = check_attempt(attempt.attempt, Some(&echoed));
                let whole = check_length(Some(declared), text.len() as u64, true);
                if own.is_ok() && whole.is_ok() {
                    let end = ItemEnd::Completed(text.into_bytes().into());
                    self.end_stream(context, id, end);
                } else {
                    self.fetch_stream(context, id);
                }
            }
            EngineAnswer::Refused {
                outcome,
                permanent,
                unknown_to,
                ..
            } => {
                let end = match outcome {
                    _ if permanent => ItemEnd::Refused(b"refused".to_vec().into()),
                    // In reply to the first submission, the engine itself vouches that the
                    // attempt did not run.
                    RunOutcome::NotRun if first_fetch && unknown_to.is_none() => ItemEnd::NotRun,
                    _ => ItemEnd::Unknown,
                };
                self.end_stream(context, id, end);
            }
            EngineAnswer::ConnectionRefused if first_fetch => {
                self.end_stream(context, id, ItemEnd::NotRun);
            }
            EngineAnswer::Broken | EngineAnswer::Closed | EngineAnswer::ConnectionRefused => {
                self.fetch_stream(context, id);
            }
            EngineAnswer::Terminator | EngineAnswer::Status { .. } => {}
        }
    }

    fn end_stream(&mut self, context: &mut Context, id: StreamId, end: ItemEnd) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        self.connections.remove(&stream.connection);
        let attempt = stream.attempt;
        if end == ItemEnd::Unknown || end == ItemEnd::NotRun {
            let (backend, incarnation) = (attempt.backend, attempt.incarnation);
            self.report_work(context, backend, incarnation, WorkResult::Failed);
        }
        self.batch_input(context, BatchInput::Ended { stream: id, end });
    }

    /// Fetches the answer of a stream whose connection broke or stayed idle.
    fn fetch_stream(&mut self, context: &mut Context, id: StreamId) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        if stream.fetches >= MAX_FETCHES {
            return self.end_stream(context, id, ItemEnd::Unknown);
        }
        let (attempt, old) = (stream.attempt, stream.connection);
        self.connections.remove(&old);
        let call = EngineCall::Fetch {
            attempt: attempt.attempt,
            offset: 0,
            form: AnswerForm::Whole,
        };
        let connection = self.call_engine(context, attempt.backend, call);
        self.connections
            .insert(connection, ConnectionUse::Batch(id));
        let now = self.now(context);
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.connection = connection;
            stream.fetches += 1;
            stream.active = now;
        }
    }

    fn fetch_idle_streams(&mut self, context: &mut Context) {
        let now = self.now(context);
        let idle: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| !stream.paused && now.since(stream.active) >= IDLE_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.fetch_stream(context, id);
        }
    }

    pub(super) fn handle_notice(&mut self, context: &mut Context, notice: OnlineNotice) {
        self.batch_input(context, BatchInput::OnlineNotice(notice));
    }

    pub(super) fn work_available(&mut self, context: &mut Context, service: ServiceName) {
        self.batch_input(context, BatchInput::WorkAvailable(service));
    }
}
