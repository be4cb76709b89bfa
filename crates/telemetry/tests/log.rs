//! Tests of log lines and of the metrics text.

use std::io;
use std::sync::{Arc, Mutex};

use expect_test::expect;
use molespan_telemetry::{Log, LogFormat, LogLevel, Metrics, part_logger};
use slog::{debug, info, o, warn};

/// A writer that keeps the bytes in memory.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs some lines and returns them.
fn lines(format: LogFormat) -> Vec<String> {
    let output = Output::default();
    let log = Log::to_writer(output.clone(), format, LogLevel::Info);
    let gateway = part_logger(&log.logger, "gateway");
    info!(gateway, "Listening."; "address" => "127.0.0.1:1");
    debug!(gateway, "Not logged.");
    let child = gateway.new(o!("node" => 3));
    warn!(child, "Refusing new work."; "reason" => "draining");
    drop((gateway, child));
    let Log { logger, guard } = log;
    drop(logger);
    drop(guard);
    let bytes = output.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn terminal_lines_begin_with_their_part() {
    // The time consists of three words: month, day and time of day.
    let without_time: Vec<String> = lines(LogFormat::Terminal)
        .iter()
        .map(|line| line.splitn(4, ' ').nth(3).unwrap().to_owned())
        .collect();
    expect![[r#"
        INFO  gateway: Listening., address=127.0.0.1:1
        WARN  gateway: Refusing new work., reason=draining, node=3"#]]
    .assert_eq(&without_time.join("\n"));
}

#[test]
fn json_lines_carry_their_part() {
    let lines = lines(LogFormat::Json);
    assert_eq!(lines.len(), 2);
    for line in lines {
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        assert_eq!(value["part"], "gateway");
        assert!(value["msg"].is_string() && value["ts"].is_string());
    }
}

#[test]
fn metrics_are_encoded_as_text() {
    let metrics = Metrics::default();
    metrics.counter("requests", "Requests").inc_by(3);
    metrics.gauge("queue", "Queue length").set(2);
    metrics
        .histogram("wait_seconds", "Wait", &[0.1, 1.0])
        .observe(0.5);
    expect![[r#"
        # HELP molespan_requests Requests.
        # TYPE molespan_requests counter
        molespan_requests_total 3
        # HELP molespan_queue Queue length.
        # TYPE molespan_queue gauge
        molespan_queue 2
        # HELP molespan_wait_seconds Wait.
        # TYPE molespan_wait_seconds histogram
        molespan_wait_seconds_sum 0.5
        molespan_wait_seconds_count 1
        molespan_wait_seconds_bucket{le="0.1"} 0
        molespan_wait_seconds_bucket{le="1.0"} 1
        molespan_wait_seconds_bucket{le="+Inf"} 1
        # EOF
    "#]]
    .assert_eq(&metrics.encode());
}
