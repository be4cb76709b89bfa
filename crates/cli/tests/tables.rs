//! Conversion of JSON listings to tables.

use expect_test::{Expect, expect};
use molespan_cli::table_of;
use serde_json::{Value, json};

fn check(kind: &str, listing: &Value, expected: &Expect) {
    expected.assert_eq(&table_of(kind, listing).to_string());
}

#[test]
fn objects_by_name_become_rows() {
    let listing = json!({
        "captions": {
            "kind": "completion", "model": "caption", "adapters": ["amharic", "oromo"],
            "replicas": 6, "batch": true, "max_queue": 64,
        },
        "albums": {
            "kind": "application", "model": null, "adapters": [], "replicas": 0,
            "batch": false, "max_queue": 8,
        },
    });
    check(
        "services",
        &listing,
        &expect![[r#"
        NAME      KIND         MODEL    ADAPTERS        REPLICAS  BATCH  MAX_QUEUE
        albums    application  -        -               0         no     8
        captions  completion   caption  amharic, oromo  6         yes    64"#]],
    );
}

#[test]
fn a_list_of_objects_becomes_rows_with_unknown_fields_last() {
    let listing = json!([
        {"id": 2, "address": "127.0.0.1:9", "kind": "engine", "zone": "hall-1", "load": {"running": 3}},
        {"id": 10, "address": "127.0.0.1:8", "kind": "application", "zone": "ሰሜን", "note": "two\nlines"},
    ]);
    check(
        "backends",
        &listing,
        &expect![[r#"
        ID  KIND         ZONE    ADDRESS      LOAD.RUNNING  NOTE
        2   engine       hall-1  127.0.0.1:9  3             -
        10  application  ሰሜን     127.0.0.1:8  -             two lines"#]],
    );
}

#[test]
fn nested_objects_become_columns() {
    let listing = json!([{
        "id": 1, "incarnation": 3, "name": "hall-1-a", "zone": "hall-1",
        "internal_address": "127.0.0.1:7790", "http_address": "127.0.0.1:7780",
        "roles": ["gateway", "replica"], "draining": false, "version_in_force": null,
        "load": {"running": 2, "waiting": 0},
    }]);
    check(
        "nodes",
        &listing,
        &expect![[r#"
            ID  NAME      ZONE    ROLES             DRAINING  VERSION_IN_FORCE  HTTP_ADDRESS    INTERNAL_ADDRESS  INCARNATION  LOAD.RUNNING  LOAD.WAITING
            1   hall-1-a  hall-1  gateway, replica  no        -                 127.0.0.1:7780  127.0.0.1:7790    3            2             0"#]],
    );
}

#[test]
fn a_listing_may_stand_under_its_kind() {
    let listing = json!({"jobs": [{"id": "job-1", "state": "running", "items": 3}]});
    check(
        "jobs",
        &listing,
        &expect![[r#"
        ID     STATE    ITEMS
        job-1  running  3"#]],
    );
}

#[test]
fn an_empty_listing_shows_the_titles() {
    check(
        "nodes",
        &json!([]),
        &expect![[r#"
            ID  NAME  ZONE  ROLES  DRAINING  VERSION_IN_FORCE  HTTP_ADDRESS  INTERNAL_ADDRESS  INCARNATION"#]],
    );
    check("models", &json!({}), &expect!["NAME  VERSION"]);
}
