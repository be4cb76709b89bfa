//! Messages between participants.

use std::sync::Arc;

use molespan_emulator::engine::Submission;
use molespan_engine_api::{
    CompletionChunk, LoadReport, MachineList, Order, OrderReply, RequestState,
};
use molespan_membership::GatewayRecord;
use molespan_replica::{Consistency, Refusal};
use molespan_routing::batch::OnlineNotice;
use molespan_state::job::{ItemRecord, JobStatus};
use molespan_types::{
    AttemptId, BackendId, GroupId, Incarnation, ItemIndex, JobId, RunOutcome, ServiceName,
    Timestamp,
};

use crate::workload::{JobPlan, OnlinePlan};

/// How a message is transported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// May be lost, duplicated and reordered.
    Datagram,
    /// Delivered in order and at most once on the connection with this number.
    Stream(u64),
}

/// An operation requested from a group.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Commits a command.
    Propose(Arc<[u8]>),
    /// Answers a query.
    Query(Consistency, Arc<[u8]>),
}

/// A connection from a gateway to an engine. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The form in which an engine sends an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// Token by token.
    Chunks,
    /// As a whole.
    Whole,
    /// As a whole, preceded by a notification of the first token.
    FirstThenWhole,
}

/// A call to an engine.
#[derive(Clone, Debug)]
pub enum EngineCall {
    /// Runs a completion.
    Submit {
        /// The completion.
        submission: Submission,
        /// Requested form of the answer.
        form: AnswerForm,
    },
    /// Sends the answer of an attempt, starting at a token.
    Fetch {
        /// Attempt.
        attempt: AttemptId,
        /// First token.
        offset: u32,
        /// Requested form of the answer.
        form: AnswerForm,
    },
    /// Returns the status of an attempt.
    Status(AttemptId),
    /// Pauses an attempt.
    Pause(AttemptId),
    /// Resumes a paused attempt.
    Resume(AttemptId),
    /// Cancels an attempt.
    Cancel(AttemptId),
}

/// A message from an engine on a connection.
#[derive(Clone, Debug)]
pub enum EngineAnswer {
    /// The call was refused.
    Refused {
        /// Attempt that the engine names.
        attempt: String,
        /// Whether the attempt ran.
        outcome: RunOutcome,
        /// Whether a retry would be refused as well.
        permanent: bool,
        /// The engine's incarnation, if it does not know the attempt.
        unknown_to: Option<Incarnation>,
    },
    /// The next token of a stream.
    Chunk(CompletionChunk),
    /// The line that ends a stream.
    Terminator,
    /// A whole answer.
    Whole {
        /// Attempt that the engine names.
        attempt: String,
        /// Declared length, in bytes.
        declared: u64,
        /// Received text.
        text: String,
    },
    /// Reply to [`EngineCall::Status`].
    Status {
        /// State of the attempt.
        state: RequestState,
        /// Incarnation of the engine that answers.
        incarnation: Incarnation,
    },
    /// The engine closed the connection.
    Closed,
    /// The connection broke.
    Broken,
    /// No process listens at the address; no byte was sent.
    ConnectionRefused,
}

/// A request of a caller to a gateway.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// Submits a job.
    Submit(Arc<JobPlan>),
    /// Queries the status of a job.
    Status(JobId),
    /// Reads results, starting at an item.
    Results {
        /// Job.
        job: JobId,
        /// First item.
        first: ItemIndex,
    },
    /// Cancels a job.
    Cancel(JobId),
    /// Runs an online completion.
    Online(Arc<OnlinePlan>),
}

/// A reply of a gateway to a caller.
#[derive(Clone, Debug)]
pub enum ClientReply {
    /// Status of the job.
    Job(JobStatus),
    /// A page of results.
    Results {
        /// Results.
        results: Vec<ItemRecord>,
        /// First item of the next page, if any.
        next: Option<ItemIndex>,
    },
    /// The next token of a streamed answer.
    Chunk {
        /// Position.
        offset: u32,
        /// Text.
        text: String,
    },
    /// The end of a streamed answer.
    End,
    /// A whole answer.
    Whole(String),
    /// The request was refused or failed.
    Refused {
        /// Whether the request ran.
        outcome: RunOutcome,
        /// Reason.
        reason: &'static str,
    },
    /// No process listens at the address.
    ConnectionRefused,
    /// The connection broke.
    Broken {
        /// Whether the gateway had been asked to shut down.
        planned_stop: bool,
    },
}

/// A message.
#[derive(Clone, Debug)]
pub enum Message {
    /// Between replicas.
    Peer {
        /// Group.
        group: GroupId,
        /// Content.
        bytes: Vec<u8>,
    },
    /// A call to a replica.
    Call {
        /// Identifier chosen by the sender.
        call: u64,
        /// Group.
        group: GroupId,
        /// Requested operation.
        operation: Operation,
    },
    /// Answer to a call.
    CallReply {
        /// Identifier of the call.
        call: u64,
        /// Answer.
        result: Result<Vec<u8>, Refusal>,
    },
    /// From a gateway to replicas; the control leader answers.
    Heartbeat {
        /// The gateway.
        record: GatewayRecord,
        /// When it was sent, on the gateway's clock.
        sent: Timestamp,
    },
    /// The live gateways, in reply to a heartbeat.
    Gateways {
        /// Copied from the heartbeat.
        sent: Timestamp,
        /// Live gateways.
        records: Vec<GatewayRecord>,
    },
    /// Between gateways: online work on an engine.
    Notice(OnlineNotice),
    /// Between gateways: the sender no longer owns an engine.
    Released(BackendId),
    /// Between gateways: items of a service were accepted.
    WorkAvailable(ServiceName),
    /// Requests the machine list from the platform.
    ListRequest,
    /// The machine list.
    List(MachineList),
    /// Requests the load of an engine.
    LoadRequest {
        /// When it was sent, on the gateway's clock.
        sent: Timestamp,
    },
    /// The load of an engine.
    Load {
        /// Copied from the request.
        sent: Timestamp,
        /// Report.
        report: LoadReport,
    },
    /// A call to an engine.
    Engine {
        /// Connection.
        connection: ConnectionId,
        /// Call.
        call: EngineCall,
    },
    /// An answer from an engine.
    EngineAnswer {
        /// Connection.
        connection: ConnectionId,
        /// Answer.
        answer: EngineAnswer,
    },
    /// An order to an engine.
    Order(Order),
    /// Reply of an engine to an order.
    OrderReply(OrderReply),
    /// From a caller to a gateway.
    Client {
        /// Identifies this arrival.
        arrival: u64,
        /// Request.
        request: ClientRequest,
    },
    /// From a gateway to a caller.
    Reply {
        /// Arrival that the reply is for.
        arrival: u64,
        /// Reply.
        reply: ClientReply,
    },
}

impl Message {
    /// Returns how the message is transported.
    #[must_use]
    pub fn transport(&self) -> Transport {
        match self {
            Message::Engine { connection, .. } | Message::EngineAnswer { connection, .. } => {
                Transport::Stream(connection.0)
            }
            Message::Client { arrival, .. } | Message::Reply { arrival, .. } => {
                Transport::Stream(*arrival)
            }
            _ => Transport::Datagram,
        }
    }
}
