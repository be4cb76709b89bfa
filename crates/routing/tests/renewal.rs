//! Whether batch items may be sent to engines without contact to the batch group.

use std::time::Duration;

use molespan_routing::renewal::{LEADER_CONFIRMATION_INTERVAL, Renewal, SendingChange};
use molespan_types::Timestamp;

const WITHIN: Duration = Duration::from_secs(3);
/// Maximum time for a new connection to an engine.
const CONNECTING: Duration = Duration::from_millis(300);

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn reported_at(ms: u64) -> Renewal {
    let mut renewal = Renewal::new(WITHIN);
    renewal.record_answer(at(ms));
    renewal
}

#[test]
fn no_item_is_sent_before_the_first_report() {
    let mut renewal = Renewal::new(WITHIN);
    assert!(!renewal.may_send(at(0)));
    assert_eq!(
        renewal.change(at(9_000)),
        None,
        "no report was received yet"
    );
}

#[test]
fn an_item_that_may_be_sent_reaches_its_engine_within_the_bound() {
    for within_ms in [1_000, 2_000, 3_000, 10_000] {
        let within = Duration::from_millis(within_ms);
        let mut renewal = Renewal::new(within);
        renewal.record_answer(at(500));
        let last = (500..20_000).rev().find(|&ms| renewal.may_send(at(ms)));
        let age = Duration::from_millis(last.expect("items may be sent at first") - 500);
        if within >= Duration::from_secs(2) {
            assert!(
                age + LEADER_CONFIRMATION_INTERVAL + CONNECTING < within,
                "{age:?}"
            );
        }
        assert!(age * 2 + Duration::from_millis(2) >= within, "{age:?}");
    }
}

#[test]
fn held_and_delayed_calls_keep_the_report_valid() {
    let renewal = reported_at(0);
    let silences = renewal.longest_silence() * 2;
    let just_before = Timestamp(silences.as_micros() as u64 - 1);
    assert!(renewal.may_send(just_before));
}

#[test]
fn a_suspension_invalidates_the_report() {
    // A response read after the machine was suspended reflects the state at its request.
    let mut renewal = reported_at(1_000);
    assert!(renewal.may_send(at(1_100)));
    let woken = at(9_100);
    assert!(!renewal.may_send(woken));
    renewal.record_answer(at(1_050));
    assert!(
        !renewal.may_send(woken),
        "the call began before the suspension"
    );
    renewal.record_answer(at(9_100));
    assert!(renewal.may_send(at(9_200)));
}

#[test]
fn a_late_answer_to_an_earlier_call_is_ignored() {
    let mut renewal = reported_at(5_000);
    renewal.record_answer(at(1_000));
    assert!(renewal.may_send(at(6_000)));
}

#[test]
fn each_change_is_returned_once() {
    let mut renewal = reported_at(0);
    assert_eq!(renewal.change(at(100)), None);
    let silence = SendingChange::HeldBack(Duration::from_secs(4));
    assert_eq!(renewal.change(at(4_000)), Some(silence));
    assert_eq!(renewal.change(at(5_000)), None);
    renewal.record_answer(at(5_000));
    assert_eq!(renewal.change(at(5_100)), Some(SendingChange::Resumed));
    assert_eq!(renewal.change(at(5_200)), None);
}
