//! Where events end in a stream, cut at each of its bytes.

use molespan_http::EventScanner;

/// Returns the positions behind which a stream is between events, and the number of events
/// that have ended there.
fn ends(stream: &str) -> Vec<(usize, u64)> {
    let mut scanner = EventScanner::default();
    let mut ends = Vec::new();
    for (position, byte) in stream.bytes().enumerate() {
        scanner.push(byte);
        if !scanner.is_inside_event() && scanner.events() > 0 {
            ends.push((position + 1, scanner.events()));
        }
    }
    ends
}

#[test]
fn an_event_ends_with_its_empty_line_in_each_line_ending() {
    assert_eq!(ends("id: 1\ndata: a\n\n"), [(15, 1)]);
    // An LF behind the CR of the empty line still belongs to the event.
    assert_eq!(ends("id: 1\r\ndata: a\r\n\r\n"), [(17, 1), (18, 1)]);
    assert_eq!(ends("id: 1\rdata: a\r\r"), [(15, 1)]);
    assert_eq!(ends("data: a\n\r\n"), [(9, 1), (10, 1)]);
}

#[test]
fn a_stream_is_between_events_only_behind_an_empty_line() {
    let stream = "data: a\n\ndata: b\ndata: c\n\n: still here\n\n";
    assert_eq!(ends(stream), [(9, 1), (26, 2), (40, 3)]);
    assert_eq!(ends("\u{feff}data: a\n\n").len(), 1);
    assert_eq!(ends("data: a\n"), []);
    assert_eq!(ends("\n\n"), []);
}
