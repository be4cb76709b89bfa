//! Typed messages. Commands and queries travel as bytes, since this crate does
//! not know the state machines behind them.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    BackendId, ConfigVersion, GroupId, Incarnation, NodeId, RunOutcome, ServiceName, ZoneName,
};

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Envelope {
    /// A request that wants a response under the same number.
    #[n(0)]
    Request {
        /// Number, unique on its connection.
        #[n(0)]
        number: u64,
        /// The request.
        #[n(1)]
        request: Request,
    },
    /// A response.
    #[n(1)]
    Response {
        /// Number of the request.
        #[n(0)]
        number: u64,
        /// The response.
        #[n(1)]
        response: Response,
    },
    /// A message that nobody waits for.
    #[n(2)]
    OneWay(#[n(0)] Request),
    /// Asks for a [`Envelope::Pong`], to tell a silent peer from a lost one.
    #[n(3)]
    Ping,
    /// To [`Envelope::Ping`].
    #[n(4)]
    Pong,
}

/// How fresh a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Consistency {
    /// It sees every write that was acknowledged before it began.
    #[n(0)]
    Linearizable,
    /// It sees what the asked replica has applied.
    #[n(1)]
    Local,
}

/// A consensus message of one group, from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GroupMessage {
    /// Group.
    #[n(0)]
    pub group: GroupId,
    /// The message, encoded by the consensus crate.
    #[n(1)]
    pub message: ByteVec,
}

/// Asks for the configuration once it is newer than the asker's.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WatchConfiguration {
    /// Who asks.
    #[n(0)]
    pub node: NodeId,
    /// Its life.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Version in force there; confirms it to operators.
    #[n(2)]
    pub in_force: ConfigVersion,
    /// Longest wait for a newer one, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
}

/// Tells the batch owner of a back end that online work was sent there.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OnlineArrival {
    /// Gateway that sent it.
    #[n(0)]
    pub from: NodeId,
    /// Back end.
    #[n(1)]
    pub backend: BackendId,
    /// Online requests that this gateway has in flight there.
    #[n(2)]
    pub in_flight: u32,
    /// Prompt tokens of the new request, as estimated.
    #[n(3)]
    pub prompt_tokens: u32,
}

/// The load of one back end in few bytes, as its owner passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadDigest {
    /// Back end.
    #[n(0)]
    pub backend: BackendId,
    /// Life of it.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Sequence of the report that this was made from.
    #[n(2)]
    pub sequence: u64,
    /// Online requests running and waiting.
    #[n(3)]
    pub online: u16,
    /// Batch requests running and waiting.
    #[n(4)]
    pub batch: u16,
    /// Share of KV memory in use, 0 to 255.
    #[n(5)]
    pub kv_used: u8,
    /// Mean step in units of 100 microseconds.
    #[n(6)]
    pub step: u16,
    /// Whether it is leaving.
    #[n(7)]
    pub leaving: bool,
}

/// What one control node told a node so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ViewMark {
    /// Drawn at random at each start of the control node.
    #[n(0)]
    pub session: u64,
    /// Changes counted by that start.
    #[n(1)]
    pub revision: u64,
}

/// What a node is for, as control nodes count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum WatcherKind {
    /// It takes requests of callers.
    #[n(0)]
    Gateway,
    /// It holds batch jobs.
    #[n(1)]
    Store,
}

/// Asks for what is newer than a mark.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WatchView {
    /// Who asks.
    #[n(0)]
    pub node: NodeId,
    /// What it is for.
    #[n(1)]
    pub kind: WatcherKind,
    /// What it has of this control node.
    #[n(2)]
    pub mark: ViewMark,
    /// Longest wait for something newer, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
    /// Where the asker stands; an older one does not say.
    #[n(4)]
    pub zone: Option<ZoneName>,
    /// Version of the newest configuration that it holds, from whichever control node,
    /// and 0 for none; an older asker does not say.
    #[n(5)]
    pub version: Option<u64>,
    /// Whether another control node is to tell it a new configuration first.
    #[n(6)]
    #[cbor(default)]
    pub told_elsewhere: bool,
}

/// Asks for batch items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TakeItems {
    /// Who asks.
    #[n(0)]
    pub node: NodeId,
    /// Most items.
    #[n(1)]
    pub capacity: u32,
    /// Items that it runs, as number of the job and place.
    #[n(2)]
    pub held: Vec<(u64, u32)>,
    /// Longest wait for an item, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
    /// Drawn by the asker when it starts.
    #[n(4)]
    #[cbor(default)]
    pub life: u64,
    /// Rises with each call of that life.
    #[n(5)]
    #[cbor(default)]
    pub number: u64,
}

/// A request between processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// Consensus messages between replicas, one way.
    #[n(0)]
    Consensus {
        /// Sender.
        #[n(0)]
        from: NodeId,
        /// Messages, several groups together.
        #[n(1)]
        messages: Vec<GroupMessage>,
    },
    /// Proposes a command to a group's leader.
    #[n(1)]
    Propose {
        /// Group.
        #[n(0)]
        group: GroupId,
        /// Command, encoded by the state crate.
        #[n(1)]
        command: ByteVec,
    },
    /// Reads from a group.
    #[n(2)]
    Query {
        /// Group.
        #[n(0)]
        group: GroupId,
        /// How fresh.
        #[n(1)]
        consistency: Consistency,
        /// Query, encoded by the state crate.
        #[n(2)]
        query: ByteVec,
    },
    /// Waits for a newer configuration.
    #[n(3)]
    Watch(#[n(0)] WatchConfiguration),
    /// Online work went to a back end, one way.
    #[n(4)]
    OnlineArrival(#[n(0)] OnlineArrival),
    /// Load of the sender's back ends, one way.
    #[n(5)]
    Loads {
        /// Owner that observed them.
        #[n(0)]
        from: NodeId,
        /// The digests.
        #[n(1)]
        digests: Vec<LoadDigest>,
    },
    /// Asks a process what it is.
    #[n(6)]
    Status,
    /// Asks which version is in force on each node.
    #[n(7)]
    VersionsInForce,
    /// A node is alive.
    #[n(8)]
    Heartbeat {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Its life.
        #[n(1)]
        incarnation: Incarnation,
        /// Where it stands.
        #[n(2)]
        zone: ZoneName,
        /// Whether it is stopping as planned.
        #[n(3)]
        draining: bool,
        /// Back ends whose batch work it owns.
        #[n(4)]
        owned: Vec<BackendId>,
    },
    /// Asks a control node what a node needs to know, once something is newer.
    #[n(9)]
    WatchView(#[n(0)] WatchView),
    /// Engines that another control node heard; one-way.
    #[n(10)]
    EnginesHeard {
        /// Encoded records.
        #[n(0)]
        records: ByteVec,
    },
    /// Asks the leader of the batch group for items to run, and renews those
    /// that the asker runs.
    #[n(11)]
    TakeItems(#[n(0)] TakeItems),
    /// What a gateway has at engines and of tenants, or what several have as a relay adds it
    /// up; one-way, to gateways and relays.
    #[n(12)]
    EngineWork {
        /// Gateway or relay.
        #[n(0)]
        from: NodeId,
        /// Encoded shares of work, one for each engine that has any.
        #[n(1)]
        shares: ByteVec,
        /// Whether a relay tells it.
        #[n(2)]
        relayed: bool,
        /// Encoded use of tenants' limits; `None` when it says nothing of them.
        #[n(3)]
        usage: Option<ByteVec>,
        /// Gateways that a relay speaks for, where it tells another relay.
        #[n(4)]
        gateways: Option<u32>,
        /// Encoded requests that ran at engines as they ended; `None` when there is
        /// nothing to tell of them.
        #[n(5)]
        blames: Option<ByteVec>,
        /// Encoded tellings of zones that are out of reach; `None` for no such zone.
        #[n(6)]
        reach: Option<ByteVec>,
        /// Encoded demand for services; `None` where it is not told.
        #[n(7)]
        demand: Option<ByteVec>,
    },
}

/// Where a group's leader can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaderHint {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Its internal address.
    #[n(1)]
    pub address: String,
}

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeStatus {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Its life.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Configuration in force.
    #[n(2)]
    pub in_force: ConfigVersion,
    /// Whether it takes new work.
    #[n(3)]
    pub ready: bool,
    /// Groups that it leads.
    #[n(4)]
    pub leads: Vec<GroupId>,
    /// Services it routes.
    #[n(5)]
    pub services: Vec<ServiceName>,
}

/// A response between processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Response {
    /// The command was committed and applied; this is its reply.
    #[n(0)]
    Proposed {
        /// Reply, encoded by the state crate.
        #[n(0)]
        reply: ByteVec,
    },
    /// The answer to a read.
    #[n(1)]
    Answered {
        /// Answer, encoded by the state crate.
        #[n(0)]
        answer: ByteVec,
    },
    /// Another replica leads, or none that is known. Nothing was done.
    #[n(2)]
    NotLeader {
        /// Who leads.
        #[n(0)]
        leader: Option<LeaderHint>,
    },
    /// It was refused, or its fate is not known.
    #[n(3)]
    Refused {
        /// `NotRun`: it will never take effect. `Unknown`: it may yet.
        #[n(0)]
        outcome: RunOutcome,
        /// One sentence for people.
        #[n(1)]
        message: String,
        /// When to come back, in milliseconds.
        #[n(2)]
        retry_after_ms: u32,
    },
    /// A newer configuration, or none within the wait.
    #[n(4)]
    Configuration {
        /// Newest version that a quorum confirmed when this was answered.
        #[n(0)]
        current: ConfigVersion,
        /// The configuration, encoded by the state crate, if newer.
        #[n(1)]
        configuration: Option<ByteVec>,
    },
    /// Taken.
    #[n(5)]
    Acknowledged,
    /// To [`Request::Status`].
    #[n(6)]
    Status(#[n(0)] NodeStatus),
    /// To [`Request::VersionsInForce`].
    #[n(7)]
    VersionsInForce {
        /// Node and its version.
        #[n(0)]
        versions: Vec<(NodeId, ConfigVersion)>,
    },
    /// To [`Request::Heartbeat`]: gateways that are alive, for batch ownership.
    #[n(8)]
    LiveNodes {
        /// Node, life and whether it is draining.
        #[n(0)]
        nodes: Vec<(NodeId, Incarnation, bool)>,
    },
    /// To [`Request::WatchView`].
    #[n(9)]
    View {
        /// State that the asker then has.
        #[n(0)]
        mark: ViewMark,
        /// Encoded changes since the asker's mark.
        #[n(1)]
        update: ByteVec,
    },
    /// To [`Request::TakeItems`].
    #[n(10)]
    Items {
        /// Encoded items to run.
        #[n(0)]
        items: ByteVec,
        /// Items that the asker runs and should not, as number of the job and
        /// place.
        #[n(1)]
        stop: Vec<(u64, u32)>,
    },
}
