//! Parses the text of a file into settings.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use molespan_types::{NodeId, ZoneName};
use toml::de::DeTable;

use crate::check;
use crate::finding::Findings;
use crate::model::{
    ClusterSettings, DrainSettings, LimitSettings, LogSettings, NodeSettings, Peer,
    PlatformSettings, PolicySettings, Role, Settings, TimingSettings,
};
use crate::place::is_header;
use crate::section::{Report, Section};

/// Placeholder for an address that could not be read.
const FALLBACK_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Maximum number of job groups.
const MAX_JOB_GROUPS: u32 = 1024;
/// Maximum number of replicas of a group.
const MAX_REPLICAS: u32 = 7;
/// Maximum of all limits in bytes.
const MAX_BYTES: u64 = 16 * 1024 * 1024 * 1024;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Parses and checks the text of a file.
pub(crate) fn parse(text: &str) -> Result<Settings, Findings> {
    parse_with(text, read_all, check::check)
}

/// Parses a file with `read`, and then checks the settings with `check`.
pub(crate) fn parse_with<S>(
    text: &str,
    read: impl FnOnce(Section<'_, '_, '_>) -> S,
    check: impl FnOnce(&Report<'_>, S) -> S,
) -> Result<S, Findings> {
    let report = Report::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut broken_header = false;
    for error in &errors {
        let line = error.span().map(|span| report.line_at(span.start));
        let message = error.message().replace('\n', ", ");
        report.add_syntax(line, format!("syntax error: {message}"));
        broken_header |= line.is_none_or(|line| is_header(text, line));
    }
    if broken_header {
        // Keys below an invalid table header were parsed into another table, so
        // findings about them would be misleading.
        return Err(Findings::new(report.into_findings()));
    }
    let settings = read(Section::root(&report, table.get_ref()));
    let settings = check(&report, settings);
    let findings = report.into_findings();
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(Findings::new(findings))
    }
}

fn read_all(mut root: Section<'_, '_, '_>) -> Settings {
    let settings = Settings {
        node: read_node(root.section("node")),
        cluster: read_cluster(root.section("cluster")),
        peers: root.sections("peers").into_iter().map(read_peer).collect(),
        platform: read_platform(root.section("platform")),
        limits: read_limits(root.section("limits")),
        timing: read_timing(root.section("timing")),
        log: read_log(root.section("log")),
        policy: read_policy(root.section("policy")),
    };
    root.finish();
    settings
}

fn read_node(mut section: Section<'_, '_, '_>) -> NodeSettings {
    let id = section.required("id", NodeId::default());
    let node = NodeSettings {
        id,
        name: section.with_default("name", format!("node-{id}")),
        zone: section.required("zone", ZoneName::default()),
        roles: section.required("roles", Vec::new()),
        http_address: section.required("http_address", FALLBACK_ADDRESS),
        internal_address: section.required("internal_address", FALLBACK_ADDRESS),
        data_folder: section.required("data_folder", PathBuf::new()),
    };
    section.finish();
    node
}

fn read_cluster(mut section: Section<'_, '_, '_>) -> ClusterSettings {
    let default = ClusterSettings::default();
    let cluster = ClusterSettings {
        job_groups: section.in_range("job_groups", default.job_groups, 1..=MAX_JOB_GROUPS),
        replicas: section.in_range("replicas", default.replicas, 1..=MAX_REPLICAS),
    };
    section.finish();
    cluster
}

fn read_peer(mut section: Section<'_, '_, '_>) -> Peer {
    let id = section.required("id", NodeId::default());
    let peer = Peer {
        id,
        name: section.with_default("name", format!("node-{id}")),
        zone: section.required("zone", ZoneName::default()),
        internal_address: section.required("internal_address", FALLBACK_ADDRESS),
        roles: section.with_default("roles", vec![Role::Replica]),
    };
    section.finish();
    peer
}

fn read_platform(mut section: Section<'_, '_, '_>) -> PlatformSettings {
    let default = PlatformSettings::default();
    let polls = millis(50)..=seconds(3);
    let platform = PlatformSettings {
        list_address: section.optional("list_address"),
        list_poll: section.in_range("list_poll", default.list_poll, polls),
        weight_store_address: section.optional("weight_store_address"),
    };
    section.finish();
    platform
}

fn read_limits(mut section: Section<'_, '_, '_>) -> LimitSettings {
    const KIBIBYTE: u64 = 1024;
    const MILLION: u32 = 1_000_000;
    let default = LimitSettings::default();
    let bytes = KIBIBYTE..=MAX_BYTES;
    let rates = 1..=MILLION;
    let limits = LimitSettings {
        max_connections: section.in_range("max_connections", default.max_connections, 1..=MILLION),
        max_body_bytes: section.in_range("max_body_bytes", default.max_body_bytes, bytes.clone()),
        max_job_bytes: section.in_range("max_job_bytes", default.max_job_bytes, bytes.clone()),
        max_job_items: section.in_range("max_job_items", default.max_job_items, 1..=110_000),
        max_buffered_bytes: section.in_range(
            "max_buffered_bytes",
            default.max_buffered_bytes,
            bytes.clone(),
        ),
        event_buffer: section.in_range("event_buffer", default.event_buffer, 16..=MILLION),
        tenant_requests_per_second: section.in_range(
            "tenant_requests_per_second",
            default.tenant_requests_per_second,
            rates.clone(),
        ),
        tenant_burst: section.in_range("tenant_burst", default.tenant_burst, rates.clone()),
        tenant_concurrency: section.in_range(
            "tenant_concurrency",
            default.tenant_concurrency,
            rates,
        ),
        log_segment_bytes: section.in_range("log_segment_bytes", default.log_segment_bytes, bytes),
    };
    section.finish();
    limits
}

fn read_timing(mut section: Section<'_, '_, '_>) -> TimingSettings {
    let default = TimingSettings::default();
    let timing = TimingSettings {
        lease: section.in_range("lease", default.lease, seconds(1)..=seconds(300)),
        owner_lease: section.in_range(
            "owner_lease",
            default.owner_lease,
            seconds(1)..=seconds(300),
        ),
        currency_bound: section.in_range(
            "currency_bound",
            default.currency_bound,
            seconds(1)..=seconds(9),
        ),
        config_watch: section.in_range(
            "config_watch",
            default.config_watch,
            millis(100)..=seconds(8),
        ),
        heartbeat: section.in_range("heartbeat", default.heartbeat, millis(50)..=seconds(30)),
        tick: section.in_range("tick", default.tick, millis(5)..=seconds(1)),
        election_timeout: section.in_range(
            "election_timeout",
            default.election_timeout,
            millis(50)..=seconds(30),
        ),
        load_poll: section.in_range("load_poll", default.load_poll, millis(5)..=seconds(5)),
        connect_timeout: section.in_range(
            "connect_timeout",
            default.connect_timeout,
            millis(10)..=seconds(30),
        ),
        response_timeout: section.in_range(
            "response_timeout",
            default.response_timeout,
            millis(100)..=seconds(3600),
        ),
        stall_timeout: section.in_range(
            "stall_timeout",
            default.stall_timeout,
            millis(100)..=seconds(3600),
        ),
        batch_stall_timeout: section.in_range(
            "batch_stall_timeout",
            default.batch_stall_timeout,
            seconds(1)..=seconds(3600),
        ),
        claim_timeout: section.in_range(
            "claim_timeout",
            default.claim_timeout,
            seconds(1)..=seconds(24 * 3600),
        ),
        drain: read_drain(section.section("drain")),
    };
    section.finish();
    timing
}

fn read_drain(mut section: Section<'_, '_, '_>) -> DrainSettings {
    let default = DrainSettings::default();
    let waits = Duration::ZERO..=seconds(3600);
    let drain = DrainSettings {
        unready_wait: section.in_range("unready_wait", default.unready_wait, waits.clone()),
        finish_within: section.in_range("finish_within", default.finish_within, waits.clone()),
        hand_over_within: section.in_range("hand_over_within", default.hand_over_within, waits),
    };
    section.finish();
    drain
}

pub(crate) fn read_log(mut section: Section<'_, '_, '_>) -> LogSettings {
    let default = LogSettings::default();
    let log = LogSettings {
        level: section.with_default("level", default.level),
        format: section.with_default("format", default.format),
    };
    section.finish();
    log
}

fn read_policy(mut section: Section<'_, '_, '_>) -> PolicySettings {
    let default = PolicySettings::default();
    let policy = PolicySettings {
        tail_protection: section.optional_in_range("tail_protection", 0..=100),
        preemption: section.with_default("preemption", default.preemption),
        engine_choice: section.with_default("engine_choice", default.engine_choice),
    };
    section.finish();
    policy
}
