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

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// It may be lost, doubled and overtaken.
    Datagram,
    /// On the connection of that number: in order, at most once.
    Stream(u64),
}

/// What a group is asked for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// To commit a command.
    Propose(Arc<[u8]>),
    /// To answer a query.
    Query(Consistency, Arc<[u8]>),
}

/// A connection from a gateway to an engine; never used again once it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How an engine sends an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// Token by token.
    Chunks,
    /// As a whole.
    Whole,
    /// As a whole, with a sign of its first token before.
    FirstThenWhole,
}

/// A call of an engine.
#[derive(Clone, Debug)]
pub enum EngineCall {
    /// Run a completion.
    Submit {
        /// The completion.
        submission: Submission,
        /// How its answer comes.
        form: AnswerForm,
    },
    /// Send the answer of an attempt from a token on.
    Fetch {
        /// Attempt.
        attempt: AttemptId,
        /// First token.
        offset: u32,
        /// How it comes.
        form: AnswerForm,
    },
    /// Say where an attempt stands.
    Status(AttemptId),
    /// Hold an attempt back.
    Pause(AttemptId),
    /// Let it go on.
    Resume(AttemptId),
    /// Stop it.
    Cancel(AttemptId),
}

/// What an engine says on a connection.
#[derive(Clone, Debug)]
pub enum EngineAnswer {
    /// The call was refused.
    Refused {
        /// Attempt that it names.
        attempt: String,
        /// Whether it ran.
        outcome: RunOutcome,
        /// Whether it is refused for good.
        permanent: bool,
        /// Whether the engine does not know the attempt, in which life.
        unknown_to: Option<Incarnation>,
    },
    /// The next token of a stream.
    Chunk(CompletionChunk),
    /// The line that ends a stream.
    Terminator,
    /// A whole answer.
    Whole {
        /// Attempt that it names.
        attempt: String,
        /// Length that it declares, in bytes.
        declared: u64,
        /// Text that came.
        text: String,
    },
    /// To [`EngineCall::Status`].
    Status {
        /// Where the attempt stands.
        state: RequestState,
        /// Life that answers.
        incarnation: Incarnation,
    },
    /// The engine closed the connection.
    Closed,
    /// The connection broke.
    Broken,
    /// Nobody listens there; no byte was sent.
    ConnectionRefused,
}

/// What a caller asks of a gateway.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// To take a job.
    Submit(Arc<JobPlan>),
    /// Where a job stands.
    Status(JobId),
    /// Results from an item on.
    Results {
        /// Job.
        job: JobId,
        /// First item.
        first: ItemIndex,
    },
    /// To stop a job.
    Cancel(JobId),
    /// A completion.
    Online(Arc<OnlinePlan>),
}

/// What a gateway answers.
#[derive(Clone, Debug)]
pub enum ClientReply {
    /// Where the job stands.
    Job(JobStatus),
    /// A page of results.
    Results {
        /// Results.
        results: Vec<ItemRecord>,
        /// Where to go on.
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
    /// It failed.
    Refused {
        /// Whether it ran.
        outcome: RunOutcome,
        /// Why.
        reason: &'static str,
    },
    /// Nobody listens there.
    ConnectionRefused,
    /// The connection broke.
    Broken {
        /// Whether the gateway had been asked to stop.
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
    /// To a replica.
    Call {
        /// Chosen by the sender.
        call: u64,
        /// Group.
        group: GroupId,
        /// What is asked.
        operation: Operation,
    },
    /// Answer to a call.
    CallReply {
        /// Number of the call.
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
    /// The live gateways.
    Gateways {
        /// Copied from the heartbeat.
        sent: Timestamp,
        /// Live gateways.
        records: Vec<GatewayRecord>,
    },
    /// Between gateways: online work at an engine.
    Notice(OnlineNotice),
    /// Between gateways: the sender no longer owns an engine.
    Released(BackendId),
    /// Between gateways: items of a service were accepted.
    WorkAvailable(ServiceName),
    /// To the platform.
    ListRequest,
    /// The machine list.
    List(MachineList),
    /// To an engine.
    LoadRequest {
        /// When it was sent, on the gateway's clock.
        sent: Timestamp,
    },
    /// Its load.
    Load {
        /// Copied from the request.
        sent: Timestamp,
        /// Report.
        report: LoadReport,
    },
    /// To an engine.
    Engine {
        /// Connection.
        connection: ConnectionId,
        /// Call.
        call: EngineCall,
    },
    /// From an engine.
    EngineAnswer {
        /// Connection.
        connection: ConnectionId,
        /// Answer.
        answer: EngineAnswer,
    },
    /// An order to an engine.
    Order(Order),
    /// Its reply.
    OrderReply(OrderReply),
    /// From a caller to a gateway.
    Client {
        /// Names this arrival.
        arrival: u64,
        /// Request.
        request: ClientRequest,
    },
    /// From a gateway to a caller.
    Reply {
        /// The arrival.
        arrival: u64,
        /// Reply.
        reply: ClientReply,
    },
}

impl Message {
    /// How it travels.
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
