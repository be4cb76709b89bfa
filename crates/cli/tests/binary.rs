//! Exit codes and output streams of the binary.

mod support;

use expect_test::expect;
use support::{molespan, text};
use tempfile::TempDir;

const EXAMPLE: &str = include_str!("../../../docs/examples/molespand.toml");

#[test]
fn five_faults_give_five_findings_and_exit_code_3() {
    let folder = TempDir::new().expect("a folder");
    let faulty = EXAMPLE
        .replace("id = 2", "id = 3")
        .replace("max_job_items", "max_job_itmes")
        .replace("\"8s\"", "8")
        .replace("\nlease = \"10s\"", "\nlease = \"2s\"")
        .replace("level = \"info\"", "level = \"loud\"");
    std::fs::write(folder.path().join("molespand.toml"), faulty).expect("written");
    let output = molespan(folder.path(), &["settings", "check", "molespand.toml"]);
    assert_eq!(output.status.code(), Some(3));
    expect![[r#"
        molespand.toml:27: peers[1].id: 3 is taken by peers[0].id
        molespand.toml:39: limits.max_job_itmes: is no known key; did you mean max_job_items?
        molespand.toml:43: timing.lease: 2s is less than 3 times timing.heartbeat (1s); a lost heartbeat would cost the lease
        molespand.toml:44: timing.currency_bound: expected a duration with its unit, such as "250ms" or "8s", found integer
        molespand.toml:54: log.level: expected one of "error", "warning", "info", "debug", found "loud"
        5 findings
    "#]].assert_eq(&text(&output.stdout));
    let output = molespan(
        folder.path(),
        &["settings", "check", "molespand.toml", "--json"],
    );
    assert_eq!(output.status.code(), Some(3));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["findings"].as_array().map(Vec::len), Some(5));
}

#[test]
fn a_sound_file_has_no_findings() {
    let folder = TempDir::new().expect("a folder");
    std::fs::write(folder.path().join("molespand.toml"), EXAMPLE).expect("written");
    let output = molespan(folder.path(), &["settings", "check", "molespand.toml"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), "molespand.toml: no findings\n");
}

#[test]
fn exit_codes_tell_faults_apart() {
    let folder = TempDir::new().expect("a folder");
    std::fs::write(folder.path().join("items.jsonl"), "{\"prompt\": 1}\nno\n").expect("written");
    let submit = [
        "jobs",
        "submit",
        "items.jsonl",
        "--service",
        "s",
        "--key",
        "k",
    ];
    let cases: [(&[&str], i32); 7] = [
        (&["--help"], 0),
        (&["settings", "check", "missing.toml"], 3),
        (&["fetch"], 2),
        (&["get", "secrets"], 2),
        (&["watch", "--kind", "gossip"], 2),
        (&submit, 3),
        // No process listens on port 1.
        (&["get", "nodes", "--gateway", "127.0.0.1:1"], 4),
    ];
    for (arguments, code) in cases {
        let output = molespan(folder.path(), arguments);
        let stderr = text(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {stderr}");
    }
}
