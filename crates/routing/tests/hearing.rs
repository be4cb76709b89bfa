//! Detection of a gateway that is cut off from other nodes.

use std::time::Duration;

use molespan_routing::isolation::IsolationDetector;
use molespan_types::Timestamp;

const TARGET: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_call_is_abandoned_after_silence_of_all_nodes() {
    let mut isolation = IsolationDetector::default();
    isolation.record_message(at(10_000));
    assert!(!isolation.should_abandon(at(10_100), TARGET, at(10_799)));
    assert!(isolation.should_abandon(at(10_100), TARGET, at(10_800)));
    isolation.record_message(at(10_800));
    assert!(!isolation.should_abandon(at(10_100), TARGET, at(10_900)));
}

#[test]
fn an_unanswered_call_continues_while_messages_arrive() {
    let mut isolation = IsolationDetector::default();
    for time in (0..5_000).step_by(500) {
        isolation.record_message(at(time));
        assert!(!isolation.should_abandon(at(0), TARGET, at(time + 499)));
    }
}

#[test]
fn silence_before_a_call_does_not_count() {
    let mut isolation = IsolationDetector::default();
    isolation.record_message(at(0));
    assert!(!isolation.should_abandon(at(60_000), TARGET, at(60_600)));
    assert!(isolation.should_abandon(at(60_000), TARGET, at(60_700)));
}

#[test]
fn a_call_continues_when_a_retry_could_not_meet_the_target() {
    let mut isolation = IsolationDetector::default();
    isolation.record_message(at(0));
    let target = Duration::from_millis(400);
    assert!(!isolation.should_abandon(at(0), target, at(1_400)));
}
