//! Checks for contradictions between values that are valid individually.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use molespan_types::NodeId;

use crate::duration::format_duration;
use crate::model::{Peer, Role, Settings};
use crate::section::Report;

/// Minimum length of a lease in heartbeats, so that a lost heartbeat does not end it.
const MIN_HEARTBEATS_PER_LEASE: u32 = 3;
/// Minimum currency bound in configuration watches, so that a lost watch does not make
/// a node unready.
const MIN_WATCHES_PER_CURRENCY_BOUND: u32 = 2;
/// Minimum election timeout in ticks. With fewer, a delayed tick cannot be
/// distinguished from a lost leader.
const MIN_TICKS_PER_ELECTION_TIMEOUT: u32 = 4;
/// Minimum claim timeout in response timeouts and in stall timeouts, so that a claim
/// outlasts its request.
const MIN_TIMEOUTS_PER_CLAIM: u32 = 2;

/// Reports contradictions, removes this node's own entry from the peers and sorts
/// them.
pub(crate) fn check(report: &Report<'_>, mut settings: Settings) -> Settings {
    check_timing(report, &settings);
    check_limits(report, &settings);
    check_platform(report, &settings);
    check_own_addresses(report, &settings);
    check_peers(report, &settings);
    check_replicas(report, &settings);
    let own = settings.node.id;
    settings.peers.retain(|peer| peer.id != own);
    settings.peers.sort_by_key(|peer| peer.id);
    settings
}

/// Requires one duration to be at least `times` as long as another one.
struct MinRatio<'a> {
    long_key: &'a str,
    long: Duration,
    times: u32,
    short_key: &'a str,
    short: Duration,
    reason: &'a str,
}

fn check_ratio(report: &Report<'_>, ratio: &MinRatio<'_>) {
    if !report.is_valid(ratio.long_key) || !report.is_valid(ratio.short_key) {
        return;
    }
    if ratio.long >= ratio.short * ratio.times {
        return;
    }
    let message = format!(
        "{} is less than {} times {} ({}); {}",
        format_duration(ratio.long),
        ratio.times,
        ratio.short_key,
        format_duration(ratio.short),
        ratio.reason,
    );
    report.add_at(ratio.long_key, message);
}

fn check_timing(report: &Report<'_>, settings: &Settings) {
    let timing = &settings.timing;
    let ratios = [
        MinRatio {
            long_key: "timing.lease",
            long: timing.lease,
            times: MIN_HEARTBEATS_PER_LEASE,
            short_key: "timing.heartbeat",
            short: timing.heartbeat,
            reason: "a lost heartbeat would cost the lease",
        },
        MinRatio {
            long_key: "timing.owner_lease",
            long: timing.owner_lease,
            times: MIN_HEARTBEATS_PER_LEASE,
            short_key: "timing.heartbeat",
            short: timing.heartbeat,
            reason: "a lost heartbeat would cost the engine",
        },
        MinRatio {
            long_key: "timing.currency_bound",
            long: timing.currency_bound,
            times: MIN_WATCHES_PER_CURRENCY_BOUND,
            short_key: "timing.config_watch",
            short: timing.config_watch,
            reason: "a lost watch would turn the node unready",
        },
        MinRatio {
            long_key: "timing.election_timeout",
            long: timing.election_timeout,
            times: MIN_TICKS_PER_ELECTION_TIMEOUT,
            short_key: "timing.tick",
            short: timing.tick,
            reason: "a late tick would start an election",
        },
        MinRatio {
            long_key: "timing.currency_bound",
            long: timing.currency_bound,
            times: 2,
            short_key: "timing.election_timeout",
            short: timing.election_timeout,
            reason: "an election would turn the node unready",
        },
        MinRatio {
            long_key: "timing.response_timeout",
            long: timing.response_timeout,
            times: 1,
            short_key: "timing.connect_timeout",
            short: timing.connect_timeout,
            reason: "an answer begins behind its connection",
        },
        MinRatio {
            long_key: "timing.claim_timeout",
            long: timing.claim_timeout,
            times: MIN_TIMEOUTS_PER_CLAIM,
            short_key: "timing.response_timeout",
            short: timing.response_timeout,
            reason: "a request that still runs would lose its claim",
        },
        MinRatio {
            long_key: "timing.claim_timeout",
            long: timing.claim_timeout,
            times: MIN_TIMEOUTS_PER_CLAIM,
            short_key: "timing.stall_timeout",
            short: timing.stall_timeout,
            reason: "a request that still runs would lose its claim",
        },
    ];
    for ratio in &ratios {
        check_ratio(report, ratio);
    }
}

fn check_limits(report: &Report<'_>, settings: &Settings) {
    const BUFFERED: &str = "limits.max_buffered_bytes";
    let limits = &settings.limits;
    let bodies = [
        ("limits.max_body_bytes", limits.max_body_bytes),
        ("limits.max_job_bytes", limits.max_job_bytes),
    ];
    for (key, bytes) in bodies {
        let valid = report.is_valid(key) && report.is_valid(BUFFERED);
        if valid && bytes > limits.max_buffered_bytes {
            let message = format!(
                "{bytes} is more than {BUFFERED} ({}); such a body would never fit",
                limits.max_buffered_bytes
            );
            report.add_at(key, message);
        }
    }
}

fn check_platform(report: &Report<'_>, settings: &Settings) {
    const LIST: &str = "platform.list_address";
    let missing = settings.platform.list_address.is_none();
    if settings.has_role(Role::Gateway) && missing && report.is_valid(LIST) {
        let message = "is missing; a gateway finds its back ends there".to_owned();
        report.add_at(LIST, message);
    }
}

fn check_own_addresses(report: &Report<'_>, settings: &Settings) {
    const HTTP: &str = "node.http_address";
    const INTERNAL: &str = "node.internal_address";
    if !report.is_valid(HTTP) || !report.is_valid(INTERNAL) {
        return;
    }
    let node = &settings.node;
    if node.internal_address == node.http_address && node.http_address.port() != 0 {
        let message = format!("{} is taken by {HTTP}", node.internal_address);
        report.add_at(INTERNAL, message);
    }
    if settings.has_role(Role::Replica) && node.internal_address.port() == 0 {
        let message = "a replica needs a fixed port; port 0 is a new one after each start";
        report.add_at(INTERNAL, message.to_owned());
    }
}

fn check_peers(report: &Report<'_>, settings: &Settings) {
    let own = settings.as_peer();
    let mut ids: BTreeMap<NodeId, String> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    if report.is_valid("node.internal_address") {
        addresses.insert(own.internal_address, "node.internal_address".to_owned());
    }
    for (position, peer) in settings.peers.iter().enumerate() {
        let id_key = format!("peers[{position}].id");
        let address_key = format!("peers[{position}].internal_address");
        if report.is_valid(&id_key) {
            check_id(report, &mut ids, peer, id_key);
        }
        if peer.id == own.id {
            check_own_entry(report, &own, peer, position);
        } else if report.is_valid(&address_key) {
            check_address(report, &mut addresses, peer, address_key);
        }
    }
}

fn check_id(report: &Report<'_>, ids: &mut BTreeMap<NodeId, String>, peer: &Peer, key: String) {
    match ids.get(&peer.id) {
        Some(other) => report.add_at(&key, format!("{} is taken by {other}", peer.id)),
        None => {
            ids.insert(peer.id, key);
        }
    }
}

fn check_address(
    report: &Report<'_>,
    addresses: &mut BTreeMap<SocketAddr, String>,
    peer: &Peer,
    key: String,
) {
    let address = peer.internal_address;
    if address.port() == 0 {
        report.add_at(&key, "port 0 cannot be connected to".to_owned());
        return;
    }
    match addresses.get(&address) {
        Some(other) => report.add_at(&key, format!("{address} is taken by {other}")),
        None => {
            addresses.insert(address, key);
        }
    }
}

/// Checks that a peer with this node's number matches `[node]`.
fn check_own_entry(report: &Report<'_>, own: &Peer, peer: &Peer, position: usize) {
    let fields = [
        ("zone", own.zone == peer.zone),
        (
            "internal_address",
            own.internal_address == peer.internal_address,
        ),
        ("roles", own.roles == peer.roles),
    ];
    for (field, agrees) in fields {
        let key = format!("peers[{position}].{field}");
        let node_key = format!("node.{field}");
        if !agrees && report.is_valid(&key) && report.is_valid(&node_key) {
            report.add_at(&key, format!("is this node, yet differs from {node_key}"));
        }
    }
}

fn check_replicas(report: &Report<'_>, settings: &Settings) {
    const REPLICAS: &str = "cluster.replicas";
    let expected = settings.cluster.replicas;
    if !report.is_valid(REPLICAS) || !report.is_valid("node.roles") || !report.is_valid("peers") {
        return;
    }
    if expected.is_multiple_of(2) {
        let message = format!("{expected} is even; take 1, 3, 5 or 7, so that a majority stays");
        report.add_at(REPLICAS, message);
        return;
    }
    let mut numbers: Vec<NodeId> = settings.replicas().iter().map(|peer| peer.id).collect();
    numbers.dedup();
    if numbers.len() == expected as usize {
        return;
    }
    let listed: Vec<String> = numbers.iter().map(NodeId::to_string).collect();
    let listed = if listed.is_empty() {
        "none".to_owned()
    } else {
        format!("by number: {}", listed.join(", "))
    };
    let message = format!(
        "the file names {} of {expected} replicas ({listed}); list each other one under [[peers]]",
        numbers.len(),
    );
    report.add_at("peers", message);
}
