//! Parses the text of a file into settings.

use std::net::Ipv4Addr;
use std::time::Duration;

use molespan_types::ZoneName;

use super::model::{
    BatchSettings, ClusterSeeds, DiscoveredNode, DiscoveredSettings, Purpose, StopSettings,
    TenantSettings, TimingSettings, ToleranceSettings,
};
use crate::finding::Findings;
use crate::read::{parse_with, read_log};
use crate::section::{Report, Section};

/// Maximum number of lost machines that a group of voters can be configured to
/// tolerate.
const MAX_LOST_MACHINES: u32 = 3;

pub(super) fn parse(text: &str) -> Result<DiscoveredSettings, Findings> {
    parse_with(text, read_all, check)
}

fn read_all(mut root: Section<'_, '_, '_>) -> DiscoveredSettings {
    let settings = DiscoveredSettings {
        node: read_node(root.section("node")),
        cluster: read_cluster(root.section("cluster")),
        tolerance: read_tolerance(root.section("tolerance")),
        timing: read_timing(root.section("timing")),
        stop: read_stop(root.section("stop")),
        tenants: read_tenants(root.section("tenants")),
        batch: read_batch(root.section("batch")),
        log: read_log(root.section("log")),
    };
    root.finish();
    settings
}

fn read_node(mut section: Section<'_, '_, '_>) -> DiscoveredNode {
    let node = DiscoveredNode {
        name: section.required("name", String::new()),
        purpose: section.required("purpose", Purpose::Gateway),
        zone: section.required("zone", ZoneName::default()),
        address: section.required("address", Ipv4Addr::UNSPECIFIED),
        internal_port: section.required("internal_port", 0),
        store_port: section.required("store_port", 0),
        caller_address: section.optional("caller_address"),
        readiness_address: section.optional("readiness_address"),
        control_address: section.optional("control_address"),
        memory_mb: section.optional("memory_mb"),
        data_folder: section.optional("data_folder"),
    };
    section.finish();
    node
}

fn read_cluster(mut section: Section<'_, '_, '_>) -> ClusterSeeds {
    let cluster = ClusterSeeds {
        seeds: section.required("seeds", Vec::new()),
        first_start: section.with_default("first_start", false),
    };
    section.finish();
    cluster
}

fn read_tolerance(mut section: Section<'_, '_, '_>) -> ToleranceSettings {
    let tolerance = ToleranceSettings {
        machines: section.in_range("machines", 1, 0..=MAX_LOST_MACHINES),
    };
    section.finish();
    tolerance
}

fn read_timing(mut section: Section<'_, '_, '_>) -> TimingSettings {
    const MILLISECOND: Duration = Duration::from_millis(1);
    const DAY: Duration = Duration::from_secs(24 * 60 * 60);
    let default = TimingSettings::default();
    let timing = TimingSettings {
        engine_heartbeat: section.in_range(
            "engine_heartbeat",
            default.engine_heartbeat,
            MILLISECOND..=DAY,
        ),
        keep_jobs: section.in_range("keep_jobs", default.keep_jobs, MILLISECOND..=DAY),
    };
    section.finish();
    timing
}

fn read_stop(mut section: Section<'_, '_, '_>) -> StopSettings {
    const MAX_DURATION: Duration = Duration::from_secs(60 * 60);
    let default = StopSettings::default();
    let stop = StopSettings {
        within: section.in_range("within", default.within, Duration::ZERO..=MAX_DURATION),
        unready_wait: section.in_range(
            "unready_wait",
            default.unready_wait,
            Duration::ZERO..=MAX_DURATION,
        ),
    };
    section.finish();
    stop
}

/// Minimum of `revoked_within`: without changes, a watch of the control nodes returns
/// only every 2 s.
const MIN_REVOKED_WITHIN: Duration = Duration::from_secs(3);

fn read_tenants(mut section: Section<'_, '_, '_>) -> TenantSettings {
    const MAX_DURATION: Duration = Duration::from_secs(60 * 60);
    let default = TenantSettings::default();
    let tenants = TenantSettings {
        fail_closed: section.with_default("fail_closed", default.fail_closed),
        revoked_within: section.in_range(
            "revoked_within",
            default.revoked_within,
            MIN_REVOKED_WITHIN..=MAX_DURATION,
        ),
    };
    section.finish();
    tenants
}

/// Minimum of `withdrawn_within`: a gateway and the batch group need one call in each
/// direction, and an election takes about as long.
const MIN_WITHDRAWN_WITHIN: Duration = Duration::from_secs(1);

fn read_batch(mut section: Section<'_, '_, '_>) -> BatchSettings {
    const MAX_DURATION: Duration = Duration::from_secs(60 * 60);
    let default = BatchSettings::default();
    let batch = BatchSettings {
        withdrawn_within: section.in_range(
            "withdrawn_within",
            default.withdrawn_within,
            MIN_WITHDRAWN_WITHIN..=MAX_DURATION,
        ),
    };
    section.finish();
    batch
}

fn check(report: &Report<'_>, settings: DiscoveredSettings) -> DiscoveredSettings {
    let node = &settings.node;
    let needs = |missing: bool, key: &str, purposes: &[Purpose]| {
        if missing && purposes.contains(&node.purpose) {
            report.add_at(key, format!("a {} needs it", node.purpose));
        }
    };
    if report.is_valid("node.purpose") {
        let gateway = [Purpose::Gateway];
        needs(
            node.caller_address.is_none(),
            "node.caller_address",
            &gateway,
        );
        needs(
            node.readiness_address.is_none(),
            "node.readiness_address",
            &gateway,
        );
        needs(
            node.control_address.is_none(),
            "node.control_address",
            &[Purpose::Control],
        );
        let persistent = [Purpose::Control, Purpose::Store];
        needs(node.data_folder.is_none(), "node.data_folder", &persistent);
    }
    if report.is_valid("cluster.seeds") && settings.cluster.seeds.is_empty() {
        report.add_at("cluster.seeds", "names no control node".to_owned());
    }
    if settings.cluster.seeds.iter().any(|seed| !seed.is_ipv4()) {
        report.add_at(
            "cluster.seeds",
            "nodes are named by IPv4 addresses".to_owned(),
        );
    }
    if report.is_valid("node.store_port") && node.store_port == node.internal_port {
        let message = "is that of gateways and control nodes too";
        report.add_at("node.store_port", message.to_owned());
    }
    if settings.stop.unready_wait > settings.stop.within {
        report.add_at("stop.unready_wait", "is longer than stop.within".to_owned());
    }
    settings
}
