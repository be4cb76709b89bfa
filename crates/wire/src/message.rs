//! Message types. Commands and queries are opaque bytes here, since this crate
//! does not depend on the state machines that define them.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{
    BackendId, ConfigVersion, GroupId, Incarnation, NodeId, RunOutcome, ServiceName, ZoneName,
};

/// The body of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Envelope {
    /// A request that is answered by a response with the same number.
    #[n(0)]
    Request {
        /// Request number, unique within the connection.
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
    /// A message without a response.
    #[n(2)]
    OneWay(#[n(0)] Request),
    /// Asks for an [`Envelope::Pong`], to distinguish an idle peer from a failed one.
    #[n(3)]
    Ping,
    /// The response to [`Envelope::Ping`].
    #[n(4)]
    Pong,
}

/// Consistency level of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Consistency {
    /// The read observes every write that was acknowledged before it began.
    #[n(0)]
    Linearizable,
    /// The read observes what the queried replica has applied.
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

/// Waits for a configuration newer than the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WatchConfiguration {
    /// Node that sends the request.
    #[n(0)]
    pub node: NodeId,
    /// Incarnation of the node.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Configuration version in force on the node, reported to operators.
    #[n(2)]
    pub in_force: ConfigVersion,
    /// Maximum time to wait for a newer configuration, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
}

/// Notifies the batch owner of a back end that an online request was sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OnlineArrival {
    /// Gateway that sent the request.
    #[n(0)]
    pub from: NodeId,
    /// Back end.
    #[n(1)]
    pub backend: BackendId,
    /// Online requests that the gateway has in flight at the back end.
    #[n(2)]
    pub in_flight: u32,
    /// Estimated prompt tokens of the new request.
    #[n(3)]
    pub prompt_tokens: u32,
}

/// Compact summary of the load of one back end, as sent by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadDigest {
    /// Back end.
    #[n(0)]
    pub backend: BackendId,
    /// Incarnation of the back end.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Sequence number of the load report that this summarizes.
    #[n(2)]
    pub sequence: u64,
    /// Online requests running and waiting.
    #[n(3)]
    pub online: u16,
    /// Batch requests running and waiting.
    #[n(4)]
    pub batch: u16,
    /// Share of KV memory in use, scaled to the range 0 to 255.
    #[n(5)]
    pub kv_used: u8,
    /// Mean step duration in units of 100 microseconds.
    #[n(6)]
    pub step: u16,
    /// Whether the back end is leaving.
    #[n(7)]
    pub leaving: bool,
}

/// Position of a node in the stream of changes from one control node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ViewPosition {
    /// Random number that the control node draws each time it starts.
    #[n(0)]
    pub session: u64,
    /// Number of changes within that session.
    #[n(1)]
    pub revision: u64,
}

/// Kind of a node that watches a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum WatcherKind {
    /// Accepts requests from callers.
    #[n(0)]
    Gateway,
    /// Stores batch jobs.
    #[n(1)]
    Store,
}

/// Waits for changes after a position.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WatchView {
    /// Node that sends the request.
    #[n(0)]
    pub node: NodeId,
    /// Kind of the node.
    #[n(1)]
    pub kind: WatcherKind,
    /// Last position received from this control node.
    #[n(2)]
    pub position: ViewPosition,
    /// Maximum time to wait for a change, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
    /// Zone of the node; `None` from nodes of an older version.
    #[n(4)]
    pub zone: Option<ZoneName>,
    /// Newest configuration version that the node holds from any control node, or 0
    /// if it holds none; `None` from nodes of an older version.
    #[n(5)]
    pub version: Option<u64>,
    /// Whether another control node is the first to send this node a new configuration.
    #[n(6)]
    #[cbor(default)]
    pub other_node_sends_first: bool,
}

/// Room for the items of jobs on some routes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteRoom {
    /// Host and path prefix of each route.
    #[n(0)]
    pub routes: Vec<(String, String)>,
    /// Maximum number of items of all these routes.
    #[n(1)]
    pub capacity: u32,
}

/// Requests batch items to run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TakeItems {
    /// Node that sends the request.
    #[n(0)]
    pub node: NodeId,
    /// Maximum number of items.
    #[n(1)]
    pub capacity: u32,
    /// Items that the node runs, as pairs of job number and item index.
    #[n(2)]
    pub held: Vec<(u64, u32)>,
    /// Maximum time to wait for an item, in milliseconds.
    #[n(3)]
    pub wait_ms: u32,
    /// Number that the node draws when it starts.
    #[n(4)]
    #[cbor(default)]
    pub life: u64,
    /// Sequence number of the request, which increases with each request of one `life`.
    #[n(5)]
    #[cbor(default)]
    pub number: u64,
    /// Whether the node only looks whether the items are to be given up: one of each job, of
    /// other jobs in the next request. Leaders of an older build hand out items to run, which
    /// the node gives back.
    #[n(6)]
    #[cbor(default)]
    pub inspects: bool,
    /// Room by route, within `capacity`. The route of a job is the one with the longest prefix
    /// of its path; items of other jobs only count against `capacity`. Empty if all routes
    /// share the same room, and in requests of an older build.
    #[n(7)]
    #[cbor(default)]
    pub rooms: Vec<RouteRoom>,
}

/// A request between processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// Consensus messages between replicas; one-way.
    #[n(0)]
    Consensus {
        /// Sender.
        #[n(0)]
        from: NodeId,
        /// Messages, possibly of several groups.
        #[n(1)]
        messages: Vec<GroupMessage>,
    },
    /// Proposes a command to the leader of a group.
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
        /// Consistency of the read.
        #[n(1)]
        consistency: Consistency,
        /// Query, encoded by the state crate.
        #[n(2)]
        query: ByteVec,
    },
    /// Waits for a newer configuration.
    #[n(3)]
    Watch(#[n(0)] WatchConfiguration),
    /// An online request was sent to a back end; one-way.
    #[n(4)]
    OnlineArrival(#[n(0)] OnlineArrival),
    /// Load of the back ends that the sender owns; one-way.
    #[n(5)]
    Loads {
        /// Owner that observed the loads.
        #[n(0)]
        from: NodeId,
        /// The digests.
        #[n(1)]
        digests: Vec<LoadDigest>,
    },
    /// Requests the status of a process.
    #[n(6)]
    Status,
    /// Requests the configuration version in force on each node.
    #[n(7)]
    VersionsInForce,
    /// Reports that a node is alive.
    #[n(8)]
    Heartbeat {
        /// Node.
        #[n(0)]
        node: NodeId,
        /// Incarnation of the node.
        #[n(1)]
        incarnation: Incarnation,
        /// Zone of the node.
        #[n(2)]
        zone: ZoneName,
        /// Whether the node is draining for a planned stop.
        #[n(3)]
        draining: bool,
        /// Back ends whose batch work the node owns.
        #[n(4)]
        owned: Vec<BackendId>,
    },
    /// Waits for changes of the state that a control node publishes to nodes.
    #[n(9)]
    WatchView(#[n(0)] WatchView),
    /// Engines that announced themselves to another control node; one-way.
    #[n(10)]
    EnginesAnnounced {
        /// Encoded engine records.
        #[n(0)]
        records: ByteVec,
    },
    /// Requests items to run from the leader of the batch group, and renews the
    /// leases of those that the sender runs.
    #[n(11)]
    TakeItems(#[n(0)] TakeItems),
    /// Work that a gateway has at engines and its use of tenants' limits, or the sum over
    /// several gateways from a relay; one-way, to gateways and relays.
    #[n(12)]
    EngineWork {
        /// Gateway or relay.
        #[n(0)]
        from: NodeId,
        /// Encoded shares of work, one for each engine that has work.
        #[n(1)]
        shares: ByteVec,
        /// Whether the sender is a relay.
        #[n(2)]
        relayed: bool,
        /// Encoded use of tenants' limits; `None` when the message does not report it.
        #[n(3)]
        usage: Option<ByteVec>,
        /// Number of gateways that a relay represents, when it sends to another relay.
        #[n(4)]
        gateways: Option<u32>,
        /// Encoded requests that were running at engines when those ended; `None` when there
        /// are none to report.
        #[n(5)]
        blames: Option<ByteVec>,
        /// Encoded reports of unreachable zones; `None` when there is no such zone.
        #[n(6)]
        reach: Option<ByteVec>,
        /// Encoded demand for services; `None` when the message does not report it.
        #[n(7)]
        demand: Option<ByteVec>,
    },
    /// Streams that a gateway began, with their origins; one-way, to control nodes that
    /// hold them.
    #[n(13)]
    StreamsBegan {
        /// Gateway.
        #[n(0)]
        from: NodeId,
        /// Encoded reports.
        #[n(1)]
        streams: ByteVec,
    },
    /// Asks a control node where a stream began.
    #[n(14)]
    FindStream {
        /// Encoded key of the stream.
        #[n(0)]
        stream: ByteVec,
    },
}

/// Node and address of a group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaderHint {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Internal address of the node.
    #[n(1)]
    pub address: String,
}

/// Status of a process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeStatus {
    /// Node.
    #[n(0)]
    pub node: NodeId,
    /// Incarnation of the node.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Configuration version in force.
    #[n(2)]
    pub in_force: ConfigVersion,
    /// Whether the node accepts new work.
    #[n(3)]
    pub ready: bool,
    /// Groups that the node leads.
    #[n(4)]
    pub leads: Vec<GroupId>,
    /// Services that the node routes.
    #[n(5)]
    pub services: Vec<ServiceName>,
}

/// A response between processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Response {
    /// The command was committed and applied.
    #[n(0)]
    Proposed {
        /// Reply, encoded by the state crate.
        #[n(0)]
        reply: ByteVec,
    },
    /// The result of a read.
    #[n(1)]
    Answered {
        /// Result, encoded by the state crate.
        #[n(0)]
        answer: ByteVec,
    },
    /// This replica is not the leader and did nothing.
    #[n(2)]
    NotLeader {
        /// The current leader, if known.
        #[n(0)]
        leader: Option<LeaderHint>,
    },
    /// The request was rejected, or its outcome is unknown.
    #[n(3)]
    Refused {
        /// `NotRun`: the request will never take effect. `Unknown`: it may still take effect.
        #[n(0)]
        outcome: RunOutcome,
        /// Human-readable message of one sentence.
        #[n(1)]
        message: String,
        /// Delay before a retry, in milliseconds.
        #[n(2)]
        retry_after_ms: u32,
    },
    /// A newer configuration, or none if there was no newer one within the wait.
    #[n(4)]
    Configuration {
        /// Newest version that a quorum confirmed when this response was created.
        #[n(0)]
        current: ConfigVersion,
        /// The newer configuration, if any, encoded by the state crate.
        #[n(1)]
        configuration: Option<ByteVec>,
    },
    /// The request was accepted.
    #[n(5)]
    Acknowledged,
    /// The response to [`Request::Status`].
    #[n(6)]
    Status(#[n(0)] NodeStatus),
    /// The response to [`Request::VersionsInForce`].
    #[n(7)]
    VersionsInForce {
        /// Nodes with their versions.
        #[n(0)]
        versions: Vec<(NodeId, ConfigVersion)>,
    },
    /// The response to [`Request::Heartbeat`]: live gateways, for batch ownership.
    #[n(8)]
    LiveNodes {
        /// Nodes with their incarnation and whether they are draining.
        #[n(0)]
        nodes: Vec<(NodeId, Incarnation, bool)>,
    },
    /// The response to [`Request::WatchView`].
    #[n(9)]
    View {
        /// Position of the node once it has applied the update.
        #[n(0)]
        position: ViewPosition,
        /// Encoded changes since the position in the request.
        #[n(1)]
        update: ByteVec,
    },
    /// The response to [`Request::TakeItems`].
    #[n(10)]
    Items {
        /// Encoded items to run.
        #[n(0)]
        items: ByteVec,
        /// Items that the node runs but must stop, as pairs of job number and item
        /// index.
        #[n(1)]
        stop: Vec<(u64, u32)>,
    },
    /// The response to [`Request::FindStream`].
    #[n(11)]
    StreamOrigin {
        /// Encoded origin; `None` if it is unknown here.
        #[n(0)]
        origin: Option<ByteVec>,
        /// Time since a gateway last reported it, in milliseconds.
        #[n(1)]
        age_ms: u64,
    },
}
