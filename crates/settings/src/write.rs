//! Formats settings as the text of a file.

use std::fmt::Display;

use toml_edit::{Array, ArrayOfTables, DocumentMut, Item, Table, value};

use crate::duration::format_duration;
use crate::model::{
    DrainSettings, LimitSettings, NodeSettings, Peer, PlatformSettings, Role, Settings,
    TimingSettings,
};

/// Returns the text of a file that parses to `settings`.
pub(crate) fn to_toml(settings: &Settings) -> String {
    let mut document = DocumentMut::new();
    let root = document.as_table_mut();
    root.insert("node", Item::Table(node(&settings.node)));
    let mut cluster = Table::new();
    put_number(&mut cluster, "job_groups", settings.cluster.job_groups);
    put_number(&mut cluster, "replicas", settings.cluster.replicas);
    root.insert("cluster", Item::Table(cluster));
    let peers: ArrayOfTables = settings.peers.iter().map(peer).collect();
    root.insert("peers", Item::ArrayOfTables(peers));
    root.insert("platform", Item::Table(platform(&settings.platform)));
    root.insert("limits", Item::Table(limits(&settings.limits)));
    root.insert("timing", Item::Table(timing(&settings.timing)));
    let mut log = Table::new();
    put_text(&mut log, "level", settings.log.level);
    put_text(&mut log, "format", settings.log.format);
    root.insert("log", Item::Table(log));
    let mut policy = Table::new();
    if let Some(tail_protection) = settings.policy.tail_protection {
        put_number(&mut policy, "tail_protection", tail_protection);
    }
    put_text(&mut policy, "preemption", settings.policy.preemption);
    put_text(&mut policy, "engine_choice", settings.policy.engine_choice);
    root.insert("policy", Item::Table(policy));
    document.to_string()
}

fn put_text(table: &mut Table, key: &str, text: impl Display) {
    table.insert(key, value(text.to_string()));
}

fn put_number(table: &mut Table, key: &str, number: impl Into<u64>) {
    let number = i64::try_from(number.into()).unwrap_or(i64::MAX);
    table.insert(key, value(number));
}

fn put_duration(table: &mut Table, key: &str, duration: std::time::Duration) {
    put_text(table, key, format_duration(duration));
}

fn put_roles(table: &mut Table, roles: &[Role]) {
    let roles: Array = roles.iter().map(Role::to_string).collect();
    table.insert("roles", value(roles));
}

fn node(node: &NodeSettings) -> Table {
    let mut table = Table::new();
    put_number(&mut table, "id", node.id.0);
    put_text(&mut table, "name", &node.name);
    put_text(&mut table, "zone", &node.zone);
    put_roles(&mut table, &node.roles);
    put_text(&mut table, "http_address", node.http_address);
    put_text(&mut table, "internal_address", node.internal_address);
    put_text(&mut table, "data_folder", node.data_folder.display());
    table
}

fn peer(peer: &Peer) -> Table {
    let mut table = Table::new();
    put_number(&mut table, "id", peer.id.0);
    put_text(&mut table, "name", &peer.name);
    put_text(&mut table, "zone", &peer.zone);
    put_text(&mut table, "internal_address", peer.internal_address);
    put_roles(&mut table, &peer.roles);
    table
}

fn platform(platform: &PlatformSettings) -> Table {
    let mut table = Table::new();
    if let Some(address) = platform.list_address {
        put_text(&mut table, "list_address", address);
    }
    put_duration(&mut table, "list_poll", platform.list_poll);
    if let Some(address) = platform.weight_store_address {
        put_text(&mut table, "weight_store_address", address);
    }
    table
}

fn limits(limits: &LimitSettings) -> Table {
    let mut table = Table::new();
    put_number(&mut table, "max_connections", limits.max_connections);
    put_number(&mut table, "max_body_bytes", limits.max_body_bytes);
    put_number(&mut table, "max_job_bytes", limits.max_job_bytes);
    put_number(&mut table, "max_job_items", limits.max_job_items);
    put_number(&mut table, "max_buffered_bytes", limits.max_buffered_bytes);
    put_number(&mut table, "event_buffer", limits.event_buffer);
    let rate = limits.tenant_requests_per_second;
    put_number(&mut table, "tenant_requests_per_second", rate);
    put_number(&mut table, "tenant_burst", limits.tenant_burst);
    put_number(&mut table, "tenant_concurrency", limits.tenant_concurrency);
    put_number(&mut table, "log_segment_bytes", limits.log_segment_bytes);
    table
}

fn timing(timing: &TimingSettings) -> Table {
    let mut table = Table::new();
    put_duration(&mut table, "lease", timing.lease);
    put_duration(&mut table, "owner_lease", timing.owner_lease);
    put_duration(&mut table, "currency_bound", timing.currency_bound);
    put_duration(&mut table, "config_watch", timing.config_watch);
    put_duration(&mut table, "heartbeat", timing.heartbeat);
    put_duration(&mut table, "tick", timing.tick);
    put_duration(&mut table, "election_timeout", timing.election_timeout);
    put_duration(&mut table, "load_poll", timing.load_poll);
    put_duration(&mut table, "connect_timeout", timing.connect_timeout);
    put_duration(&mut table, "response_timeout", timing.response_timeout);
    put_duration(&mut table, "stall_timeout", timing.stall_timeout);
    let batch_stall_timeout = timing.batch_stall_timeout;
    put_duration(&mut table, "batch_stall_timeout", batch_stall_timeout);
    put_duration(&mut table, "claim_timeout", timing.claim_timeout);
    table.insert("drain", Item::Table(drain(&timing.drain)));
    table
}

fn drain(drain: &DrainSettings) -> Table {
    let mut table = Table::new();
    put_duration(&mut table, "unready_wait", drain.unready_wait);
    put_duration(&mut table, "finish_within", drain.finish_within);
    put_duration(&mut table, "hand_over_within", drain.hand_over_within);
    table
}
