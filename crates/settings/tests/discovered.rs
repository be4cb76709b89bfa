//! Tests of the settings of a node that discovers its cluster.

use std::net::Ipv4Addr;
use std::time::Duration;

use molespan_settings::discovered::{DiscoveredSettings, Purpose};

fn text(purpose: &str, more: &str) -> String {
    format!(
        r#"
[node]
name = "a"
purpose = "{purpose}"
zone = "z"
address = "127.0.0.1"
internal_port = 7660
store_port = 7661
{more}
[cluster]
seeds = ["127.0.0.2:80"]
"#
    )
}

const GATEWAY: &str = "caller_address = \"127.0.0.1:1\"\nreadiness_address = \"127.0.0.1:2\"";
const CONTROL: &str = "control_address = \"127.0.0.1:3\"\ndata_folder = \"/d\"";

#[test]
fn defaults_fill_what_is_left_out() {
    let settings = DiscoveredSettings::parse(&text("gateway", GATEWAY)).expect("valid settings");
    assert_eq!(settings.node.purpose, Purpose::Gateway);
    assert_eq!(settings.node.address, Ipv4Addr::LOCALHOST);
    assert!(!settings.cluster.first_start);
    assert_eq!(settings.tolerance.machines, 1);
    assert_eq!(settings.stop.within, Duration::from_secs(8));
    assert_eq!(settings.batch.withdrawn_within, Duration::from_secs(3));
}

#[test]
fn each_purpose_needs_its_addresses() {
    // Purpose, given keys, and required keys that are missing.
    let cases: [(&str, &str, &[&str]); 6] = [
        ("gateway", GATEWAY, &[]),
        ("control", CONTROL, &[]),
        ("store", "data_folder = \"/d\"", &[]),
        (
            "gateway",
            "",
            &["node.caller_address", "node.readiness_address"],
        ),
        ("control", "", &["node.control_address", "node.data_folder"]),
        ("store", "", &["node.data_folder"]),
    ];
    for (purpose, given, missing) in cases {
        let keys: Vec<String> = match DiscoveredSettings::parse(&text(purpose, given)) {
            Ok(_) => Vec::new(),
            Err(findings) => findings.iter().map(|finding| finding.key.clone()).collect(),
        };
        assert_eq!(keys, missing, "{purpose}");
    }
}

#[test]
fn every_fault_is_reported_together_with_its_line() {
    let text = "[node]\npurpose = \"none\"\naddress = \"here\"\nfoo = 1\n[cluster]\nseeds = []\n[stop]\nwithin = \"1s\"\nunready_wait = \"2s\"\n";
    let findings = DiscoveredSettings::parse(text).expect_err("faults");
    let keys: Vec<&str> = findings
        .iter()
        .map(|finding| finding.key.as_str())
        .collect();
    let wanted = [
        "node.name",
        "node.purpose",
        "node.zone",
        "node.address",
        "node.internal_port",
        "node.store_port",
        "node.foo",
        "cluster.seeds",
        "stop.unready_wait",
    ];
    for key in wanted {
        assert!(keys.contains(&key), "{key} is not among {keys:?}");
    }
    assert_eq!(keys.len(), wanted.len(), "{keys:?}");
    let foo = findings.iter().find(|finding| finding.key == "node.foo");
    assert_eq!(foo.and_then(|finding| finding.line), Some(4));
}

#[test]
fn every_key_is_described() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let keys = [
        "node.name",
        "node.purpose",
        "node.zone",
        "node.address",
        "node.internal_port",
        "node.store_port",
        "node.caller_address",
        "node.readiness_address",
        "node.control_address",
        "node.data_folder",
        "node.memory_mb",
        "cluster.seeds",
        "cluster.first_start",
        "tolerance.machines",
        "timing.engine_heartbeat",
        "timing.keep_jobs",
        "stop.within",
        "stop.unready_wait",
    ];
    for key in keys {
        assert!(page.contains(&format!("`{key}`")), "{key}");
    }
}
