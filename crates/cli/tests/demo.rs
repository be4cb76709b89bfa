//! The demo, run with JSON output.

mod support;

use serde_json::Value;
use support::{molespan, text};
use tempfile::TempDir;

#[test]
fn the_demo_ends_with_one_json_object() {
    let folder = TempDir::new().expect("a folder");
    let output = molespan(folder.path(), &["demo", "--json"]);
    let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "{stdout}\n{stderr}");
    let last = stdout.lines().last().expect("a line");
    let report: Value = serde_json::from_str(last).expect("JSON");
    let number = |field: &str| {
        report[field]
            .as_u64()
            .unwrap_or_else(|| panic!("no {field}"))
    };
    assert_eq!(number("online_completed"), number("online_requests"));
    assert!(number("online_streamed") > 0);
    assert_eq!(number("batch_items"), 200);
    assert_eq!(number("batch_completed"), 200);
    assert_eq!(number("batch_duplicates"), 0);
    assert_eq!(number("results_readable"), 200);
    assert_eq!(number("online_wrong") + number("cut_off_by_stop"), 0);
    assert!(stderr.contains("An operator states an intent"), "{stderr}");
}
