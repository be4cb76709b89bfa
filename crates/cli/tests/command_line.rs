//! Parsing of the command line.

use std::ffi::OsString;

use expect_test::{Expect, expect};
use molespan_cli::{Molespan, gateway_addresses};

fn parse(line: &str) -> xflags::Result<Molespan> {
    Molespan::from_vec(line.split_whitespace().map(OsString::from).collect())
}

fn check(line: &str, expected: &Expect) {
    let result = match parse(line) {
        Ok(flags) => format!("{flags:?}"),
        Err(error) => format!("error: {error}"),
    };
    expected.assert_eq(&result);
}

#[test]
fn plans_take_a_file_or_edits() {
    check(
        "plan intent.json --number 7 --operator ana",
        &expect![[
            r#"Molespan { gateway: None, json: false, subcommand: Plan(Plan { file: Some("intent.json"), set: [], delete: [], number: Some(7), operator: Some("ana"), save: None }) }"#
        ]],
    );
    check(
        "--json plan --set policy.tail_protection=80 --set model.caption.version=2 \
         --delete service.old",
        &expect![[
            r#"Molespan { gateway: None, json: true, subcommand: Plan(Plan { file: None, set: ["policy.tail_protection=80", "model.caption.version=2"], delete: ["service.old"], number: None, operator: None, save: None }) }"#
        ]],
    );
}

#[test]
fn global_switches_stand_anywhere() {
    check(
        "get nodes --json -g 127.0.0.1:1,127.0.0.1:2",
        &expect![[
            r#"Molespan { gateway: Some("127.0.0.1:1,127.0.0.1:2"), json: true, subcommand: Get(Get { kind: "nodes" }) }"#
        ]],
    );
}

#[test]
fn jobs_have_their_own_commands() {
    check(
        "jobs submit items.jsonl --service captions --key k --deadline 30min --wait",
        &expect![[
            r#"Molespan { gateway: None, json: false, subcommand: Jobs(Jobs { tenant: None, subcommand: Submit(Submit { file: "items.jsonl", service: "captions", key: "k", deadline: Some("30min"), not_repeatable: false, wait: true }) }) }"#
        ]],
    );
    check(
        "jobs --tenant hall results job-1 --from 9 -o out.jsonl",
        &expect![[
            r#"Molespan { gateway: None, json: false, subcommand: Jobs(Jobs { tenant: Some("hall"), subcommand: Results(Results { id: "job-1", from: Some(9), output: Some("out.jsonl") }) }) }"#
        ]],
    );
}

#[test]
fn faults_are_named() {
    for (line, expected) in [
        ("", expect!["error: subcommand is required"]),
        ("jobs", expect!["error: subcommand is required"]),
        (
            "jobs submit items.jsonl --key k",
            expect!["error: flag is required: `--service`"],
        ),
        (
            "plan --number seven",
            expect!["error: can't parse `--number`, invalid digit found in string"],
        ),
        ("get", expect!["error: flag is required: `kind`"]),
        (
            "fetch nodes",
            expect![[r#"error: unexpected argument: "fetch""#]],
        ),
        (
            "watch --sort kind",
            expect!["error: unexpected flag: `--sort`"],
        ),
    ] {
        check(line, &expected);
    }
}

#[test]
fn gateways_come_from_the_flag_then_the_environment_then_the_default() {
    let cases = [
        (Some("127.0.0.1:1, 127.0.0.2:2"), Some("127.0.0.1:3")),
        (None, Some("127.0.0.1:3")),
        (None, None),
        (Some("localhost:1,127.0.0.1:2,127.0.0.1"), None),
    ];
    let results = cases.map(|(flag, variable)| match gateway_addresses(flag, variable) {
        Ok(addresses) => format!("{addresses:?}"),
        Err(error) => format!("error: {error}"),
    });
    expect![[r#"
        [127.0.0.1:1, 127.0.0.2:2]
        [127.0.0.1:3]
        [127.0.0.1:7780]
        error: gateway "localhost:1" is no IP:PORT
        gateway "127.0.0.1" is no IP:PORT"#]]
    .assert_eq(&results.join("\n"));
}
