//! One incarnation of a gateway process.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_membership::{
    Directory, DirectorySettings, DrainPlan, DrainSettings, GatewaySet, GatewaySetSettings,
    Ownership, OwnershipSettings,
};
use molespan_routing::admission::{Admission, AdmissionSettings, ServiceLimits, Ticket};
use molespan_routing::batch::{BatchOwner, BatchSettings, StreamId};
use molespan_routing::pick::{PickSettings, Picker};
use molespan_routing::readiness::ConfigurationHolder;
use molespan_routing::retry::{RetryBudget, RetryBudgetSettings};
use molespan_state::control::Configuration;
use molespan_types::{AttemptId, BackendId, NodeId, ServiceName, Timestamp};

use super::Identity;
use super::batch::BatchStream;
use super::jobs::JobCall;
use super::online::{Online, OnlineId};
use crate::address::Address;
use crate::context::Context;
use crate::group_client::GroupClient;
use crate::message::{ClientReply, ClientRequest, ConnectionId, EngineAnswer, EngineCall, Message};
use crate::platform_node::zone_name;
use crate::replica_node::JOB_GROUPS;
use crate::scenario::{CURRENCY_BOUND, LEASE, SERVICES};

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(10);
/// Tail protection until a policy is configured.
const INITIAL_TAIL_PROTECTION: u8 = 50;
/// Number of gateways; an announcement goes to all others.
pub(super) const GATEWAYS: u32 = 3;

/// Purpose of a call to a group.
#[derive(Debug)]
pub(super) enum Tag {
    /// A read at any replica.
    Watch,
    /// A linearizable read, with the version in force when it was sent.
    Confirm(molespan_types::ConfigVersion),
    /// A request of the batch owner.
    Batch(molespan_routing::batch::RequestNumber),
    /// A request of a caller.
    Job(Box<JobCall>),
    /// The claim of a request.
    Claim(OnlineId),
    /// The settlement of a claim.
    Settle,
}

/// Purpose of a connection to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// An attempt of an online request, or a status query about it.
    Online(OnlineId),
    /// A batch stream.
    Batch(StreamId),
}

/// When periodic work is due, on the local clock.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub tick: Timestamp,
    pub watch: Timestamp,
    pub heartbeat: Timestamp,
    pub load: Timestamp,
    pub list: Timestamp,
    pub directory: Timestamp,
    pub batch: Option<Timestamp>,
}

/// One incarnation of a gateway process.
#[derive(Debug)]
pub struct Process {
    pub(super) identity: Identity,
    pub(super) groups: GroupClient<Tag>,
    pub(super) timers: Timers,
    pub(super) holder: ConfigurationHolder,
    pub(super) unsaved_configuration: Option<Configuration>,
    pub(super) directory: Directory,
    pub(super) gateways: GatewaySet,
    pub(super) ownership: Ownership,
    pub(super) batch: BatchOwner,
    pub(super) streams: BTreeMap<StreamId, BatchStream>,
    pub(super) pickers: BTreeMap<ServiceName, Picker>,
    pub(super) admission: Admission,
    pub(super) budget: RetryBudget,
    pub(super) online: BTreeMap<OnlineId, Online>,
    pub(super) tickets: BTreeMap<Ticket, OnlineId>,
    pub(super) connections: BTreeMap<ConnectionId, ConnectionUse>,
    pub(super) drain: DrainPlan,
    pub(super) draining: bool,
    pub(super) refuses_new: bool,
    pub(super) stopped: bool,
    pub(super) last_attempt: u64,
    pub(super) last_online: u64,
}

impl Process {
    /// Starts with the configuration stored on disk.
    pub(super) fn start(
        context: &mut Context,
        identity: Identity,
        stored: Option<Configuration>,
    ) -> Self {
        let now = identity.clock.local(context.now);
        let zone = zone_name(identity.zone);
        let pickers = SERVICES.iter().map(|service| {
            let seed = context.random_id();
            let picker = Picker::new(zone.as_str().into(), PickSettings::default(), seed);
            ((*service).into(), picker)
        });
        let pickers = pickers.collect();
        let batch = BatchSettings {
            job_groups: JOB_GROUPS,
            lease: LEASE,
            renew_interval: Duration::from_secs(1),
            ..BatchSettings::default()
        };
        let drain = DrainSettings {
            unready_wait: Duration::from_millis(300),
            finish_within: Duration::from_secs(30),
            hand_over_within: Duration::from_secs(3),
        };
        let gateways = GatewaySetSettings {
            live_for: Duration::from_secs(2),
            ..GatewaySetSettings::default()
        };
        let ownership = OwnershipSettings {
            lease: Duration::from_secs(3),
        };
        let mut process = Self {
            groups: GroupClient::new(identity.address(), identity.replicas),
            timers: Timers {
                tick: now,
                ..Timers::default()
            },
            holder: ConfigurationHolder::new(CURRENCY_BOUND),
            unsaved_configuration: None,
            directory: Directory::new(DirectorySettings::default()),
            gateways: GatewaySet::new(gateways),
            ownership: Ownership::new(identity.node(), ownership),
            batch: BatchOwner::new(batch, INITIAL_TAIL_PROTECTION),
            streams: BTreeMap::new(),
            pickers,
            admission: Admission::new(AdmissionSettings::default()),
            budget: RetryBudget::new(RetryBudgetSettings::default()),
            online: BTreeMap::new(),
            tickets: BTreeMap::new(),
            connections: BTreeMap::new(),
            drain: DrainPlan::new(drain),
            draining: false,
            refuses_new: false,
            stopped: false,
            last_attempt: 0,
            last_online: 0,
            identity,
        };
        if let Some(stored) = stored {
            let change = process.holder.restore(stored);
            process.configuration_changed(context, change);
        }
        process
    }

    /// Returns the time on the gateway's clock.
    pub(super) fn now(&self, context: &Context) -> Timestamp {
        self.identity.clock.local(context.now)
    }

    /// Returns when the next tick is due, on the gateway's clock.
    #[must_use]
    pub(super) fn next_tick(&self) -> Timestamp {
        self.timers.tick
    }

    /// Takes the configuration that must be stored, if any.
    pub(super) fn take_unsaved_configuration(&mut self) -> Option<Configuration> {
        self.unsaved_configuration.take()
    }

    /// Whether a graceful shutdown has finished.
    pub(super) fn has_stopped(&self) -> bool {
        self.stopped
    }

    /// Performs the work that is due.
    pub(super) fn tick(&mut self, context: &mut Context) {
        let now = self.now(context);
        if self.timers.tick > now {
            return;
        }
        self.timers.tick = now + TICK;
        for ended in self.groups.tick(context, now) {
            self.call_ended(context, ended);
        }
        self.poll_configuration(context);
        self.poll_machines(context);
        self.tick_batch(context);
        self.tick_online(context);
        self.tick_drain(context);
    }

    /// Handles a message.
    pub(super) fn receive(&mut self, context: &mut Context, from: Address, message: Message) {
        let now = self.now(context);
        match message {
            Message::CallReply { call, result } => {
                if let Some(ended) = self.groups.replied(now, call, result) {
                    self.call_ended(context, ended);
                }
            }
            Message::Gateways { sent, records } => self.heartbeat_answered(context, sent, records),
            Message::List(list) => self.handle_list(context, list),
            Message::Load { sent, report } => self.handle_load(context, sent, &report),
            Message::Notice(notice) => self.handle_notice(context, notice),
            Message::Released(backend) => self.ownership.released_elsewhere(now, backend),
            Message::WorkAvailable(service) => self.work_available(context, service),
            Message::EngineAnswer { connection, answer } => {
                self.engine_answered(context, connection, answer);
            }
            Message::Client { arrival, request } => {
                self.handle_request(context, from, arrival, request);
            }
            _ => {}
        }
    }

    fn call_ended(&mut self, context: &mut Context, ended: crate::group_client::Ended<Tag>) {
        let answer = ended.answer;
        match ended.tag {
            Tag::Watch => self.handle_configuration(context, answer.as_deref()),
            Tag::Confirm(known) => {
                self.handle_confirmation(context, ended.started, known, answer.as_deref());
            }
            Tag::Batch(request) => self.batch_replied(context, request, answer.as_deref()),
            Tag::Job(call) => self.job_replied(context, *call, answer.as_deref()),
            Tag::Claim(id) => self.claim_replied(context, id, answer.as_deref()),
            Tag::Settle => {}
        }
    }

    fn engine_answered(
        &mut self,
        context: &mut Context,
        connection: ConnectionId,
        answer: EngineAnswer,
    ) {
        // Answers on an abandoned connection are ignored.
        match self.connections.get(&connection).copied() {
            Some(ConnectionUse::Online(id)) => {
                self.online_answered(context, id, connection, answer)
            }
            Some(ConnectionUse::Batch(id)) => self.stream_answered(context, id, answer),
            None => {}
        }
    }

    fn handle_request(
        &mut self,
        context: &mut Context,
        client: Address,
        arrival: u64,
        request: ClientRequest,
    ) {
        match request {
            ClientRequest::Online(plan) => self.handle_online(context, client, arrival, plan),
            other => self.handle_job_request(context, client, arrival, other),
        }
    }

    /// Sends a reply to a caller.
    pub(super) fn reply(
        &self,
        context: &mut Context,
        client: Address,
        arrival: u64,
        reply: ClientReply,
    ) {
        let own = self.identity.address();
        context.send(own, client, Message::Reply { arrival, reply });
    }

    /// Calls an engine on a new connection.
    pub(super) fn call_engine(
        &mut self,
        context: &mut Context,
        backend: BackendId,
        call: EngineCall,
    ) -> ConnectionId {
        let connection = ConnectionId(context.random_id());
        let own = self.identity.address();
        let engine = Address::of_backend(backend);
        context.send(own, engine, Message::Engine { connection, call });
        connection
    }

    /// Returns an attempt identifier that was never used before.
    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId {
            node: u64::from(self.identity.number) << 32 | self.identity.incarnation_number,
            sequence: self.last_attempt,
        }
    }

    /// Returns every other gateway.
    pub(super) fn others(&self) -> impl Iterator<Item = Address> + use<> {
        let own = self.identity.number;
        (1..=GATEWAYS)
            .filter(move |gateway| *gateway != own)
            .map(Address::Gateway)
    }

    /// Returns the gateway that owns the batch work of an engine, as far as known locally.
    pub(super) fn owner_of(&self, backend: BackendId) -> Option<NodeId> {
        let zone = &self.directory.backend(backend)?.zone;
        self.gateways.owner_of(backend, zone)
    }

    /// Returns the limits of the services in a configuration.
    pub(super) fn limits_of(configuration: &Configuration) -> BTreeMap<ServiceName, ServiceLimits> {
        let services = configuration.services.iter().map(|(name, service)| {
            let limits = ServiceLimits {
                max_concurrency: service.max_concurrency,
                max_queue: service.max_queue,
                queue_timeout: Duration::from_millis(u64::from(service.queue_timeout_ms)),
            };
            (name.clone(), limits)
        });
        services.collect()
    }

    /// Notifies every waiting caller that the connection broke.
    pub(super) fn break_connections(&self, context: &mut Context, planned_stop: bool) {
        let online = self.online.values();
        let online = online.map(|online| (online.client, online.arrival));
        let jobs = self.groups.open().filter_map(|tag| match tag {
            Tag::Job(call) => Some((call.client, call.arrival)),
            _ => None,
        });
        let waiting: Vec<(Address, u64)> = online.chain(jobs).collect();
        for (client, arrival) in waiting {
            let reply = ClientReply::Broken { planned_stop };
            self.reply(context, client, arrival, reply);
        }
    }
}
