//! Options of a gateway.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use molespan_routing::admission::{AdmissionSettings, TenantPolicy};
use molespan_routing::pick::{PickPolicy, PickSettings};
use molespan_settings::{EngineChoice, LimitSettings, Preemption, Role, Settings};
use molespan_state::control::NodeRole;
use molespan_types::{Incarnation, NodeId, ZoneName};

use crate::boot_clock::BootClock;

/// Time limits of a graceful stop.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainLimits {
    /// Time from reporting unready until new connections are refused.
    pub unready_wait: Duration,
    /// Time limit after that for requests in flight to finish.
    pub finish_within: Duration,
    /// Time limit after that for leases to be handed over.
    pub hand_over_within: Duration,
}

impl Default for DrainLimits {
    fn default() -> Self {
        Self {
            unready_wait: Duration::from_secs(2),
            finish_within: Duration::from_secs(60),
            hand_over_within: Duration::from_secs(10),
        }
    }
}

/// How batch work yields to online work. All variants but the first are baselines
/// for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PreemptionPolicy {
    /// Batch streams are paused as soon as online work arrives.
    #[default]
    OnArrival,
    /// Nothing is paused; requests to engines carry their batch priority.
    EnginePriorityOnly,
    /// Nothing is paused, and batch work is sent with online priority.
    None,
}

/// Policies of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayPolicy {
    /// How batch work yields to online work.
    pub preemption: PreemptionPolicy,
    /// Overrides the configuration's tail protection: 0 fills engines with batch
    /// work, 100 gives the online tail latency priority over everything else.
    pub tail_protection: Option<u8>,
}

/// Timeouts of calls to back ends and the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendTimeouts {
    /// Connection timeout.
    pub connect: Duration,
    /// Timeout until the head of an online answer.
    pub response: Duration,
    /// Maximum silence within an online answer.
    pub stall: Duration,
    /// Maximum silence within a batch answer, whose stream may be paused.
    pub batch_stall: Duration,
    /// Timeout of a status request, a probe or a report.
    pub control: Duration,
}

impl Default for BackendTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            response: Duration::from_secs(1),
            stall: Duration::from_secs(10),
            batch_stall: Duration::from_secs(300),
            control: Duration::from_secs(1),
        }
    }
}

/// Limits on incoming requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of HTTP connections.
    pub max_connections: usize,
    /// Maximum length of a request body in bytes, except for jobs.
    pub max_body_bytes: usize,
    /// Maximum length of a job's body in bytes.
    pub max_job_bytes: usize,
    /// Maximum number of items in a job.
    pub max_job_items: usize,
    /// Maximum total size in bytes of request bodies in memory.
    pub max_buffered_bytes: usize,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        intake_limits(&LimitSettings::default())
    }
}

/// Options of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// This node.
    pub node: NodeId,
    /// Its incarnation; it rises with every start.
    pub incarnation: Incarnation,
    /// Human-readable name.
    pub name: String,
    /// Roles of the whole process, as registered.
    pub roles: Vec<NodeRole>,
    /// Its zone.
    pub zone: ZoneName,
    /// Address for callers and operators.
    pub http_address: SocketAddr,
    /// Address for other nodes.
    pub internal_address: SocketAddr,
    /// Folder for data that survives a restart.
    pub data_folder: PathBuf,
    /// Address of the platform list.
    pub platform_address: SocketAddr,
    /// Address of the weight store, if there is one.
    pub weight_store: Option<SocketAddr>,
    /// Number of job groups.
    pub job_groups: u32,
    /// Maximum time without a quorum's confirmation of the configuration.
    pub currency_bound: Duration,
    /// Maximum time that a configuration watch is held open.
    pub config_watch: Duration,
    /// Duration of a lease on items.
    pub item_lease: Duration,
    /// Duration of a lease on a back end's batch work.
    pub owner_lease: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Polling interval of the platform list.
    pub list_poll: Duration,
    /// Polling interval of an owned engine's load report.
    pub load_poll: Duration,
    /// Time limits of a graceful stop.
    pub drain: DrainLimits,
    /// Settings of the engine selection.
    pub pick: PickSettings,
    /// Settings of the admission.
    pub admission: AdmissionSettings,
    /// Policies.
    pub policy: GatewayPolicy,
    /// Timeouts of calls to back ends and the platform.
    pub timeouts: BackendTimeouts,
    /// Limits on incoming requests.
    pub intake: IntakeLimits,
    /// Clock of all decisions.
    pub clock: BootClock,
}

impl GatewayOptions {
    /// Creates options with defaults for everything except the identity, zone, folder and
    /// platform address.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        zone: ZoneName,
        data_folder: PathBuf,
        platform_address: SocketAddr,
    ) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node,
            incarnation,
            name: format!("gateway-{node}"),
            roles: vec![NodeRole::Gateway],
            zone,
            http_address: any_port,
            internal_address: any_port,
            data_folder,
            platform_address,
            weight_store: None,
            job_groups: 1,
            currency_bound: Duration::from_secs(8),
            config_watch: Duration::from_secs(1),
            item_lease: Duration::from_secs(10),
            owner_lease: Duration::from_secs(3),
            heartbeat: Duration::from_millis(500),
            list_poll: Duration::from_millis(500),
            load_poll: Duration::from_millis(50),
            drain: DrainLimits::default(),
            pick: PickSettings::default(),
            admission: AdmissionSettings::default(),
            policy: GatewayPolicy::default(),
            timeouts: BackendTimeouts::default(),
            intake: IntakeLimits::default(),
            clock: BootClock::start(),
        }
    }
}

impl GatewayOptions {
    /// Creates the options described by `settings`; `None` without a platform list, which
    /// settings with the gateway role always contain.
    #[must_use]
    pub fn from_settings(settings: &Settings, incarnation: Incarnation) -> Option<Self> {
        let node = &settings.node;
        let (timing, limits) = (&settings.timing, &settings.limits);
        let platform_address = settings.platform.list_address?;
        let folder = node.data_folder.clone();
        let zone = node.zone.clone();
        Some(Self {
            name: node.name.clone(),
            roles: node.roles.iter().map(node_role).collect(),
            http_address: node.http_address,
            internal_address: node.internal_address,
            weight_store: settings.platform.weight_store_address,
            job_groups: settings.cluster.job_groups,
            currency_bound: timing.currency_bound,
            config_watch: timing.config_watch,
            item_lease: timing.lease,
            owner_lease: timing.owner_lease,
            heartbeat: timing.heartbeat,
            list_poll: settings.platform.list_poll,
            load_poll: timing.load_poll,
            drain: DrainLimits {
                unready_wait: timing.drain.unready_wait,
                finish_within: timing.drain.finish_within,
                hand_over_within: timing.drain.hand_over_within,
            },
            pick: PickSettings {
                policy: pick_policy(settings.policy.engine_choice),
                ..PickSettings::default()
            },
            admission: admission_settings(limits),
            policy: GatewayPolicy {
                preemption: preemption_policy(settings.policy.preemption),
                tail_protection: settings.policy.tail_protection,
            },
            timeouts: BackendTimeouts {
                connect: timing.connect_timeout,
                response: timing.response_timeout,
                stall: timing.stall_timeout,
                batch_stall: timing.batch_stall_timeout,
                ..BackendTimeouts::default()
            },
            intake: intake_limits(limits),
            ..Self::new(node.id, incarnation, zone, folder, platform_address)
        })
    }
}

fn node_role(role: &Role) -> NodeRole {
    match role {
        Role::Gateway => NodeRole::Gateway,
        Role::Replica => NodeRole::Replica,
    }
}

fn pick_policy(choice: EngineChoice) -> PickPolicy {
    match choice {
        EngineChoice::Affinity => PickPolicy::Affinity,
        EngineChoice::BetterOfTwo => PickPolicy::BetterOfTwo,
        EngineChoice::RoundRobin => PickPolicy::RoundRobin,
        EngineChoice::LeastReported => PickPolicy::LeastReported,
    }
}

fn preemption_policy(preemption: Preemption) -> PreemptionPolicy {
    match preemption {
        Preemption::OnArrival => PreemptionPolicy::OnArrival,
        Preemption::EnginePriorityOnly => PreemptionPolicy::EnginePriorityOnly,
        Preemption::None => PreemptionPolicy::None,
    }
}

fn admission_settings(limits: &LimitSettings) -> AdmissionSettings {
    AdmissionSettings {
        default_policy: TenantPolicy {
            requests_per_second: limits.tenant_requests_per_second,
            burst: limits.tenant_burst,
            max_concurrency: limits.tenant_concurrency,
            ..TenantPolicy::default()
        },
        ..AdmissionSettings::default()
    }
}

fn intake_limits(limits: &LimitSettings) -> IntakeLimits {
    IntakeLimits {
        max_connections: limits.max_connections as usize,
        max_body_bytes: limits.max_body_bytes as usize,
        max_job_bytes: limits.max_job_bytes as usize,
        max_job_items: limits.max_job_items as usize,
        max_buffered_bytes: limits.max_buffered_bytes as usize,
    }
}
