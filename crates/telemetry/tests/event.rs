//! Tests of the event buffer and its subscribers.

use async_io::block_on;
use expect_test::expect;
use molespan_telemetry::{EventBuffer, EventFilter, EventGap, EventKind, Watched, inputs};
use molespan_types::NodeId;

/// Records an event about `subject`.
fn record(buffer: &EventBuffer, kind: EventKind, subject: &str) {
    buffer.record(1_000, kind, subject, "because", Vec::new());
}

/// Returns short descriptions of the items that a subscriber can read now.
fn received(subscription: &mut molespan_telemetry::EventSubscription) -> Vec<String> {
    std::iter::from_fn(|| subscription.try_next())
        .map(|watched| match watched {
            Watched::Event(event) => format!("{} {}", event.sequence, event.subject),
            Watched::Gap(gap) => format!("gap {}..={}", gap.first, gap.last),
        })
        .collect()
}

#[test]
fn a_subscriber_receives_events_in_order_from_its_start() {
    let buffer = EventBuffer::new(NodeId(1), 10);
    record(&buffer, EventKind::Route, "before");
    let mut subscription = buffer.subscribe(EventFilter::default(), 0);
    record(&buffer, EventKind::Route, "one");
    record(&buffer, EventKind::Lease, "two");
    assert_eq!(received(&mut subscription), ["1 one", "2 two"]);
}

#[test]
fn history_is_bounded_by_the_ring() {
    let buffer = EventBuffer::new(NodeId(1), 3);
    for subject in ["a", "b", "c", "d", "e"] {
        record(&buffer, EventKind::Route, subject);
    }
    let mut two = buffer.subscribe(EventFilter::default(), 2);
    assert_eq!(received(&mut two), ["3 d", "4 e"]);
    let mut many = buffer.subscribe(EventFilter::default(), 100);
    assert_eq!(received(&mut many), ["2 c", "3 d", "4 e"]);
}

#[test]
fn a_slow_subscriber_receives_a_gap_and_the_rest() {
    let buffer = EventBuffer::new(NodeId(1), 2);
    let mut subscription = buffer.subscribe(EventFilter::default(), 0);
    for subject in ["a", "b", "c", "d", "e"] {
        record(&buffer, EventKind::Route, subject);
    }
    assert_eq!(received(&mut subscription), ["gap 0..=2", "3 d", "4 e"]);
    assert_eq!(EventGap { first: 0, last: 2 }.lost(), 3);
    assert_eq!(buffer.recorded(), 5);
}

#[test]
fn filters_select_by_kind_and_subject() {
    let buffer = EventBuffer::new(NodeId(1), 10);
    let kinds = vec![EventKind::Lease, EventKind::Preempt];
    let filter = EventFilter {
        kinds,
        subject: Some("engine 3".to_owned()),
    };
    let mut subscription = buffer.subscribe(filter, 0);
    record(&buffer, EventKind::Lease, "engine 3");
    record(&buffer, EventKind::Route, "engine 3");
    record(&buffer, EventKind::Preempt, "engine 4");
    record(&buffer, EventKind::Preempt, "engine 3");
    assert_eq!(received(&mut subscription), ["0 engine 3", "3 engine 3"]);
}

#[test]
fn a_waiting_subscriber_is_woken() {
    let buffer = EventBuffer::new(NodeId(1), 10);
    let mut subscription = buffer.subscribe(EventFilter::default(), 0);
    let recorder = std::thread::spawn(move || record(&buffer, EventKind::Drain, "node 1"));
    let watched = block_on(subscription.next());
    recorder.join().unwrap();
    assert!(matches!(watched, Watched::Event(event) if event.subject == "node 1"));
}

#[test]
fn events_and_gaps_have_a_stable_json_form() {
    let buffer = EventBuffer::new(NodeId(2), 1);
    let mut subscription = buffer.subscribe(EventFilter::default(), 0);
    record(&buffer, EventKind::Route, "lost");
    let inputs = inputs([
        ("queue", 3u32.into()),
        ("kv_used", 0.5.into()),
        ("zone", "bole".into()),
        ("own_zone", true.into()),
    ]);
    buffer.record(
        1_000,
        EventKind::Route,
        "request 7-1f",
        "least load",
        inputs,
    );
    let lines: Vec<String> = std::iter::from_fn(|| subscription.try_next())
        .map(|watched| serde_json::to_string(&watched).unwrap())
        .collect();
    expect![[r#"
        {"gap":{"first":0,"last":0}}
        {"event":{"sequence":1,"at_unix_ms":1000,"node":2,"kind":"route","subject":"request 7-1f","reason":"least load","inputs":[{"name":"queue","value":3},{"name":"kv_used","value":0.5},{"name":"zone","value":"bole"},{"name":"own_zone","value":true}]}}"#]]
    .assert_eq(&lines.join("\n"));
    for line in &lines {
        let read: Watched = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), *line);
    }
}

#[test]
fn every_kind_parses_from_its_name() {
    for kind in EventKind::ALL {
        assert_eq!(kind.to_string().parse(), Ok(*kind));
    }
    assert!("nonsense".parse::<EventKind>().is_err());
}
