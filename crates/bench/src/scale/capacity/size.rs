//! The size that the design is meant for, and the settings it runs with.

/// Seconds of a day.
pub(super) const DAY_SECONDS: f64 = 86_400.0;

/// Size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Gateways.
    pub gateways: f64,
    /// Engines behind them.
    pub engines: f64,
    /// Services, one for each model.
    pub services: f64,
    /// Tenants.
    pub tenants: f64,
    /// Zones.
    pub zones: f64,
    /// Online requests a second at the peak.
    pub online_per_second: f64,
    /// Batch items a day.
    pub items_per_day: f64,
    /// Batch jobs a day.
    pub jobs_per_day: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Machines restarted or replaced a day.
    pub restarts_per_day: f64,
    /// Machines that fail a day.
    pub failures_per_day: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
    /// What control may take of a gateway.
    pub budget: Budget,
}

/// What control may take of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Memory in megabytes.
    pub megabytes: f64,
    /// Bytes a second in thousands, in and out together.
    pub kilobytes_per_second: f64,
}

/// The size expected in two years.
pub const LETTER: Size = Size {
    gateways: 1_800.0,
    engines: 10_000.0,
    services: 4.0,
    tenants: 1_200.0,
    zones: 17.0,
    online_per_second: 47_000.0,
    items_per_day: 630e6,
    jobs_per_day: 35_000.0,
    changes_per_day: 12_000.0,
    restarts_per_day: 1_700.0,
    failures_per_day: 120.0,
    control_machines: 35.0,
    budget: Budget {
        core_percent: 4.9,
        megabytes: 128.0,
        kilobytes_per_second: 19.0,
    },
};

/// How gateways are run: what the code does, or what it would do after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct GatewayPlan {
    /// Seconds between two watches of the configuration without a change.
    pub(super) watch_interval: f64,
    /// Seconds between two heartbeats.
    pub(super) heartbeat_interval: f64,
    /// Live gateways in the answer to a heartbeat.
    pub(super) live_nodes_answered: f64,
    /// Whether only changes of the live gateways are sent.
    pub(super) live_node_deltas: bool,
    /// Gateways that own engines.
    pub(super) owners: f64,
    /// Seconds between two readings of the machine list.
    pub(super) list_interval: f64,
    /// Whether only changed machines are sent.
    pub(super) list_deltas: bool,
    /// Seconds between two load reports of an owned engine.
    pub(super) load_interval: f64,
    /// Seconds between two digests of an engine.
    pub(super) digest_interval: f64,
    /// Gateways that get an engine's digest; `None`: all that route to it.
    pub(super) listeners: Option<f64>,
    /// Engines of one service in a gateway's subset.
    pub(super) subset_size: f64,
    /// Engines that are polled without being owned.
    pub(super) foreign_engines: f64,
    /// Seconds between two such polls.
    pub(super) foreign_interval: f64,
}

/// Zones, times the most gateways of one zone in an answer to a heartbeat.
const LIVE_NODES_AS_BUILT: f64 = 17.0 * 16.0;

/// What the code does with its default settings.
pub(super) const AS_BUILT: GatewayPlan = GatewayPlan {
    watch_interval: 1.0,
    heartbeat_interval: 1.0,
    live_nodes_answered: LIVE_NODES_AS_BUILT,
    live_node_deltas: false,
    owners: LIVE_NODES_AS_BUILT,
    list_interval: 0.5,
    list_deltas: false,
    load_interval: 0.1,
    digest_interval: 0.1,
    listeners: Some(16.0),
    subset_size: 64.0,
    foreign_engines: 64.0 * 4.0,
    foreign_interval: 1.0,
};

/// What it would do after the changes that the page names.
pub(super) const PLANNED: GatewayPlan = GatewayPlan {
    live_nodes_answered: 1_800.0,
    live_node_deltas: true,
    owners: 1_800.0,
    list_deltas: true,
    load_interval: 0.5,
    digest_interval: 1.0,
    listeners: None,
    subset_size: 24.0,
    foreign_engines: 0.0,
    ..AS_BUILT
};

/// Bytes around the body of a polled report: request line and headers both
/// ways, as the HTTP library writes them.
pub(super) const HTTP_OVERHEAD_BYTES: f64 = 250.0;
/// Bytes of a frame that asks for the configuration, and of an answer without one.
pub(super) const WATCH_BYTES: f64 = 60.0;
/// Bytes of a megabyte.
pub(super) const MEGABYTE: f64 = 1e6;
