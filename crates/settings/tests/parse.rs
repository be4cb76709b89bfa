//! Tests of parsing and writing settings files.

use std::path::Path;
use std::time::Duration;

use expect_test::{Expect, expect};
use molespan_settings::{
    LimitSettings, Role, Settings, TimingSettings, format_duration, parse_duration,
};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../docs/examples/molespand.toml");

/// Minimal settings of a single node that is gateway and replica.
const MINIMAL: &str = r#"
cluster.replicas = 1
platform.list_address = "127.0.0.1:7700"
[node]
id = 1
zone = "hall-1"
roles = ["gateway", "replica"]
http_address = "127.0.0.1:7780"
internal_address = "127.0.0.1:7790"
data_folder = "data"
"#;

fn check_findings(text: &str, expected: &Expect) {
    let findings = Settings::parse(text).expect_err("the text has faults");
    expected.assert_eq(&findings.to_string());
}

#[test]
fn the_example_is_valid() {
    let settings = Settings::parse(EXAMPLE).expect("the example is valid");
    assert!(settings.has_role(Role::Gateway));
    assert_eq!(settings.replicas().len(), 3);
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.limits, LimitSettings::default());
}

#[test]
fn written_settings_parse_to_the_same() {
    let policy = r#"
        [policy]
        tail_protection = 10
        preemption = "engine-priority-only"
        engine_choice = "round-robin"
    "#;
    let unusual = format!("{MINIMAL}{policy}");
    for text in [EXAMPLE, MINIMAL, &unusual] {
        let settings = Settings::parse(text).expect("valid settings");
        assert_eq!(Settings::parse(&settings.to_toml()), Ok(settings));
    }
}

#[test]
fn the_own_entry_among_the_peers_is_removed() {
    let own = "[[peers]]\nid = 1\nzone = \"hall-1\"\nroles = [\"gateway\", \"replica\"]\n\
               internal_address = \"127.0.0.1:7790\"\n";
    let settings = Settings::parse(&format!("{MINIMAL}{own}")).expect("valid settings");
    assert!(settings.peers.is_empty());
}

#[test]
fn five_faults_give_five_findings() {
    let text = EXAMPLE
        .replace("id = 2", "id = 3")
        .replace("max_job_items", "max_job_itmes")
        .replace("\"8s\"", "8")
        .replace("lease = \"10s\"", "lease = \"2s\"")
        .replace("engine_choice = \"affinity\"", "tail_protection = 101");
    check_findings(
        &text,
        &expect![[r#"
            line 27: peers[1].id: 3 is taken by peers[0].id
            line 39: limits.max_job_itmes: is no known key; did you mean max_job_items?
            line 43: timing.lease: 2s is less than 3 times timing.heartbeat (1s); a lost heartbeat would cost the lease
            line 44: timing.currency_bound: expected a duration with its unit, such as "250ms" or "8s", found integer
            line 58: policy.tail_protection: 101 is outside of 0 to 100"#]],
    );
}

#[test]
fn a_syntax_error_does_not_hide_the_rest() {
    let text = EXAMPLE
        .replace("zone = \"hall-1\"", "zone = hall-1\"")
        .replace("level = \"info\"", "level = \"loud\"")
        .replace("lease = \"10s\"", "lease =");
    check_findings(
        &text,
        &expect![[r#"
            line 8: node.zone: syntax error: missing opening quote, expected `"`
            line 43: timing.lease: syntax error: string values must be quoted, expected literal string
            line 54: log.level: expected one of "error", "warning", "info", "debug", found "loud""#]],
    );
}

#[test]
fn a_broken_header_is_the_only_finding() {
    check_findings(
        &EXAMPLE.replace("[timing]", "[timing"),
        &expect!["line 42: syntax error: unclosed table, expected `]`"],
    );
}

#[test]
fn an_empty_file_misses_every_required_key() {
    check_findings(
        "",
        &expect![[r#"
        file: node.data_folder: is missing; it needs a path
        file: node.http_address: is missing; it needs an IP address and port, such as "127.0.0.1:7780"
        file: node.id: is missing; it needs a whole number from 1
        file: node.internal_address: is missing; it needs an IP address and port, such as "127.0.0.1:7780"
        file: node.roles: is missing; it needs a list of "gateway", "replica" or both
        file: node.zone: is missing; it needs a text that is not empty"#]],
    );
}

#[test]
fn a_file_that_is_missing_is_a_finding() {
    let findings = Settings::load(Path::new("no/such/file.toml")).expect_err("missing");
    assert_eq!(findings.len(), 1);
}

/// Each case replaces a part of the minimal file and gives one finding.
#[test]
fn each_fault_gives_one_finding() {
    let cases = [
        ("id = 1", "id = 0"),
        ("id = 1", "id = \"one\""),
        ("zone = \"hall-1\"", "zone = \" \""),
        ("zone = \"hall-1\"", ""),
        ("zone = \"hall-1\"", "zoen = \"hall-1\""),
        ("zone = \"hall-1\"", "zone = \"hall-1"),
        ("cluster.replicas = 1", "cluster.repliccas = 1"),
        ("[\"gateway\", \"replica\"]", "[\"gateway\", \"leader\"]"),
        ("[\"gateway\", \"replica\"]", "[\"replica\", \"replica\"]"),
        ("[\"gateway\", \"replica\"]", "[]"),
        ("[\"gateway\", \"replica\"]", "[\"gateway\"]"),
        ("127.0.0.1:7790", "127.0.0.1:7780"),
        ("127.0.0.1:7790", "127.0.0.1:0"),
        ("127.0.0.1:7790", "localhost:7790"),
        ("cluster.replicas = 1", "cluster.replicas = 3"),
        ("cluster.replicas = 1", "cluster.replicas = 2"),
        ("cluster.replicas = 1", "cluster = 1"),
        ("platform.list_address = \"127.0.0.1:7700\"", ""),
        (
            "data_folder = \"data\"",
            "data_folder = \"data\"\npeers = 3",
        ),
        ("data_folder = \"data\"", "data_folder = \"data\"\nid = 2"),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.lease = \"2s\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.tick = \"1\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.tick = \"ms\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.tick = \"500ms\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.config_watch = \"5s\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.claim_timeout = \"9s\"\ntiming.response_timeout = \"5s\"\ntiming.stall_timeout = \"4s\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\ntiming.stall_timeout = \"6min\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\nlimits.max_body_bytes = 999999999",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\nlog.format = \"xml\"",
        ),
        (
            "cluster.replicas = 1",
            "cluster.replicas = 1\npolicy.tail_protection = -1",
        ),
    ];
    let mut lines = Vec::new();
    for (old, new) in cases {
        let text = MINIMAL.replacen(old, new, 1);
        let findings = Settings::parse(&text).expect_err(new);
        assert_eq!(findings.len(), 1, "{new}: {findings}");
        lines.push(findings.to_string());
    }
    expect![[r#"
        line 5: node.id: expected a whole number from 1, found 0
        line 5: node.id: expected a whole number, found string
        line 6: node.zone: expected a text that is not empty
        line 4: node.zone: is missing; it needs a text that is not empty
        line 6: node.zoen: is no known key; did you mean zone?
        line 6: node.zone: syntax error: invalid basic string, expected `"`
        line 2: cluster.repliccas: is no known key; did you mean replicas?
        line 7: node.roles: "leader" is no role
        line 7: node.roles: replica is listed twice
        line 7: node.roles: expected a list of "gateway", "replica" or both, found none
        file: peers: the file names 0 of 1 replicas (none); list each other one under [[peers]]
        line 9: node.internal_address: 127.0.0.1:7780 is taken by node.http_address
        line 9: node.internal_address: a replica needs a fixed port; port 0 is a new one after each start
        line 9: node.internal_address: expected an IP address and port, such as "127.0.0.1:7780", found "localhost:7790"
        file: peers: the file names 1 of 3 replicas (by number: 1); list each other one under [[peers]]
        line 2: cluster.replicas: 2 is even; take 1, 3, 5 or 7, so that a majority stays
        line 2: cluster: expected a table, [cluster], found integer
        file: platform.list_address: is missing; a gateway finds its back ends there
        line 11: node.peers: is no known key; known here are data_folder, http_address, id, internal_address, name, roles, zone
        line 11: node.id: syntax error: duplicate key
        line 3: timing.lease: 2s is less than 3 times timing.heartbeat (1s); a lost heartbeat would cost the lease
        line 3: timing.tick: "1" is no duration: a duration ends with one of the units us, ms, s, min, h
        line 3: timing.tick: "ms" is no duration: a duration starts with a whole number, such as "250ms"
        line 3: timing.election_timeout: 500ms is less than 4 times timing.tick (500ms); a late tick would start an election
        line 3: timing.currency_bound: 8s is less than 2 times timing.config_watch (5s); a lost watch would turn the node unready
        line 3: timing.claim_timeout: 9s is less than 2 times timing.response_timeout (5s); a request that still runs would lose its claim
        line 3: timing.claim_timeout: 10min is less than 2 times timing.stall_timeout (6min); a request that still runs would lose its claim
        line 3: limits.max_body_bytes: 999999999 is more than limits.max_buffered_bytes (536870912); such a body would never fit
        line 3: log.format: expected one of "terminal", "json", found "xml"
        line 3: policy.tail_protection: -1 is below 0 or too large"#]].assert_eq(&lines.join("\n"));
}

proptest! {
    #[test]
    fn durations_round_trip(micros in 0..u64::MAX / 4) {
        let duration = Duration::from_micros(micros);
        prop_assert_eq!(parse_duration(&format_duration(duration)), Ok(duration));
    }

    #[test]
    fn no_text_panics(text in "\\PC{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn no_cut_or_changed_example_panics(at in 0..EXAMPLE.len(), length in 0..40_usize) {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let end = (at + length).min(bytes.len());
        bytes.drain(at..end);
        let _ = Settings::parse(&String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn the_page_names_every_key_with_its_default() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let settings = Settings::parse(MINIMAL).expect("valid settings");
    let mut table = String::new();
    for line in settings.to_toml().lines() {
        if let Some(name) = line.strip_prefix('[') {
            table = name.trim_matches(['[', ']']).to_owned();
        } else if let Some((key, value)) = line.split_once(" = ") {
            let row = format!("| `{table}.{key}` |");
            let row = page.lines().find(|line| line.starts_with(&row));
            let row = row.unwrap_or_else(|| panic!("{table}.{key} is not in the page"));
            let required = table == "node" || table == "cluster" || row.contains("| none |");
            let default = value.trim_matches('"');
            assert!(required || row.contains(default), "{value}: {row}");
        }
    }
}
