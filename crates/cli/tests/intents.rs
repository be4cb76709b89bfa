//! Parsing of intent files and edits.

use expect_test::{Expect, expect};
use molespan_cli::{Edit, apply_edits, parse_intent};
use molespan_state::control::Configuration;

fn configuration() -> Configuration {
    serde_json::from_str(
        r#"{
            "version": 4,
            "services": {"captions": {
                "kind": "completion", "model": "caption", "adapters": [], "max_concurrency": 8,
                "max_queue": 16, "queue_timeout_ms": 500, "batch": true, "replicas": 6
            }},
            "models": {"caption": {"version": 1}},
            "adapters": {}, "tenants": {}, "policy": {"tail_protection": 50}
        }"#,
    )
    .expect("a configuration")
}

fn check_edits(edits: &[Edit], expected: &Expect) {
    let result = match apply_edits(&configuration(), edits) {
        Ok(changes) => serde_json::to_string_pretty(&changes).expect("JSON"),
        Err(error) => format!("error: {error}"),
    };
    expected.assert_eq(&result);
}

fn set(text: &str) -> Edit {
    Edit::Set(text.to_owned())
}

#[test]
fn edits_of_one_subject_become_one_change() {
    check_edits(
        &[
            set("service.captions.replicas=8"),
            set("service.captions.batch=false"),
            set("model.caption.version=2"),
            Edit::Delete("adapter.old".to_owned()),
        ],
        &expect![[r#"
            [
              {
                "change": "delete_adapter",
                "name": "old"
              },
              {
                "change": "put_model",
                "name": "caption",
                "model": {
                  "version": 2
                }
              },
              {
                "change": "put_service",
                "name": "captions",
                "service": {
                  "kind": "completion",
                  "model": "caption",
                  "adapters": [],
                  "max_concurrency": 8,
                  "max_queue": 16,
                  "queue_timeout_ms": 500,
                  "batch": false,
                  "replicas": 8
                }
              }
            ]"#]],
    );
}

#[test]
fn a_new_subject_starts_from_defaults() {
    check_edits(
        &[
            set("service.albums.kind=application"),
            set("policy.tail_protection=80"),
        ],
        &expect![[r#"
            [
              {
                "change": "put_policy",
                "policy": {
                  "tail_protection": 80
                }
              },
              {
                "change": "put_service",
                "name": "albums",
                "service": {
                  "kind": "application",
                  "model": null,
                  "adapters": [],
                  "max_concurrency": 256,
                  "max_queue": 1024,
                  "queue_timeout_ms": 2000,
                  "batch": false,
                  "replicas": 0
                }
              }
            ]"#]],
    );
}

#[test]
fn every_faulty_edit_is_named() {
    check_edits(
        &[
            set("service.captions.replicsa=8"),
            set("service.captions.replicas"),
            set("services.captions.replicas=8"),
            set("model.caption.version=two"),
            Edit::Delete("policy".to_owned()),
        ],
        &expect![[r#"
            error: service.captions.replicsa=8: there is no field replicsa; fields are adapters, batch, kind, max_concurrency, max_queue, model, queue_timeout_ms, replicas
            service.captions.replicas: expected KIND.NAME.FIELD=VALUE
            services.captions.replicas=8: "services.captions" is neither policy nor one of service, model, adapter, tenant with a name
            policy: a policy cannot be deleted
            model caption: invalid type: string "two", expected u32"#]],
    );
}

#[test]
fn files_with_unknown_fields_are_refused() {
    let text = r#"{
        "number": 7, "opreator": "ana", "base_version": null,
        "changes": [
            {"change": "put_model", "name": "caption", "model": {"version": 2, "size": 1}},
            {"change": "put_policy", "policy": {"tail_protection": 80}, "when": "now"}
        ]
    }"#;
    let error = parse_intent(text).expect_err("unknown fields");
    expect![[r#"
        changes[0].model.size: is no known field
        changes[1].when: is no known field
        opreator: is no known field"#]]
    .assert_eq(&error.to_string());
}

#[test]
fn files_that_are_no_intent_are_refused() {
    for (text, expected) in [
        (
            "{",
            expect!["EOF while parsing an object at line 1 column 1"],
        ),
        (
            r#"{"changes": [{"change": "put_everything"}]}"#,
            expect![
                "unknown variant `put_everything`, expected one of `put_service`, `delete_service`, `put_model`, `delete_model`, `put_adapter`, `delete_adapter`, `put_tenant`, `put_policy` at line 1 column 40"
            ],
        ),
        (
            r#"{"number": 7}"#,
            expect!["missing field `changes` at line 1 column 13"],
        ),
    ] {
        let error = parse_intent(text).expect_err("no intent");
        expected.assert_eq(&error.to_string());
    }
}
