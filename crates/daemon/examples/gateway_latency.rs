//! Measures the latency that a gateway adds to a completion, and the requests per second
//! of one core.
//!
//! Engines, one replica and the gateway run in this process on loopback, on
//! separate executors. Direct and routed requests alternate in one run, so
//! that both are measured under the same conditions.
//!
//! ```text
//! cargo run --release -p molespan-daemon --example gateway_latency
//! ```

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use molespan_emulator::engine::EngineModel;
use molespan_emulator::fleet::FleetSettings;
use support::{World, small_fleet};

/// Requests of each kind in the latency measurement.
const REQUESTS: usize = 3_000;
/// Warm-up requests that are not measured.
const WARM_UP: usize = 300;
/// Connections of the throughput measurement.
const CONNECTIONS: usize = 32;
/// Duration of the throughput measurement.
const DURATION: Duration = Duration::from_secs(5);
/// Tokens of an answer.
const TOKENS: u32 = 4;

fn main() {
    let settings = FleetSettings {
        engines: 4,
        applications: 1,
        engine: instant_engine(),
        application_micros: 0,
        ..small_fleet()
    };
    let world = World::start(&settings);
    let gateway = world.tuned_gateway(11, |options| {
        options.admission.default_policy.requests_per_second = u32::MAX;
        options.admission.default_policy.burst = u32::MAX;
        options.admission.default_policy.max_concurrency = u32::MAX;
    });
    let engine = world.fleet.members[0].address;
    for stream in [false, true] {
        latency(engine, gateway.address, stream);
    }
    throughput(gateway.address);
}

/// An engine whose steps cost almost nothing, so that the measurement covers only
/// the round trip.
fn instant_engine() -> EngineModel {
    EngineModel {
        step_base_micros: 20,
        step_per_sequence_micros: 0,
        prefill_per_thousand_micros: 0,
        max_running: 4_096,
        ..EngineModel::archive()
    }
}

/// A keep-alive connection that reads complete answers.
struct Connection {
    stream: BufReader<TcpStream>,
    host: SocketAddr,
}

impl Connection {
    fn open(host: SocketAddr) -> Self {
        let stream = TcpStream::connect(host).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream: BufReader::new(stream),
            host,
        }
    }

    /// Sends one completion; returns the time to the first byte of the body and
    /// to its end.
    fn complete(&mut self, number: u64, stream: bool) -> (Duration, Duration) {
        let body = format!(
            r#"{{"model":"caption","prompt":"photo {number}","max_tokens":{TOKENS},"stream":{stream}}}"#
        );
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: {}\r\nx-request-id: direct-{number}\r\ncontent-length: {}\r\n\r\n{body}",
            self.host,
            body.len()
        );
        let started = Instant::now();
        self.stream.get_mut().write_all(request.as_bytes()).unwrap();
        let length = self.read_head();
        self.stream.fill_buf().unwrap();
        let first = started.elapsed();
        match length {
            Some(length) => {
                let mut body = vec![0; length];
                self.stream.read_exact(&mut body).unwrap();
            }
            None => self.read_chunks(),
        }
        (first, started.elapsed())
    }

    fn read_head(&mut self) -> Option<usize> {
        let mut length = None;
        let mut line = String::new();
        let mut status = true;
        loop {
            line.clear();
            self.stream.read_line(&mut line).unwrap();
            assert!(!line.is_empty(), "connection closed");
            if std::mem::take(&mut status) {
                assert!(line.contains(" 200 "), "{line}");
            }
            if line == "\r\n" {
                return length;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = Some(value.trim().parse().unwrap());
            }
        }
    }

    fn read_chunks(&mut self) {
        let mut line = String::new();
        loop {
            line.clear();
            self.stream.read_line(&mut line).unwrap();
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let mut chunk = vec![0; size + 2];
            self.stream.read_exact(&mut chunk).unwrap();
            if size == 0 {
                return;
            }
        }
    }
}

/// Measures direct and routed requests alternately.
fn latency(engine: SocketAddr, gateway: SocketAddr, stream: bool) {
    let mut direct = Connection::open(engine);
    let mut routed = Connection::open(gateway);
    let mut times = [Vec::new(), Vec::new(), Vec::new(), Vec::new()];
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    for round in 0..WARM_UP + REQUESTS {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let (direct_first, direct_whole) = direct.complete(number, stream);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let (routed_first, routed_whole) = routed.complete(number, stream);
        if round >= WARM_UP {
            let sample = [direct_first, routed_first, direct_whole, routed_whole];
            for (times, sample) in times.iter_mut().zip(sample) {
                times.push(sample);
            }
        }
    }
    for times in &mut times {
        times.sort_unstable();
    }
    let kind = if stream { "streamed" } else { "plain" };
    for (what, at) in [("first byte", 0), ("whole answer", 2)] {
        let (direct, routed) = (&times[at], &times[at + 1]);
        for (name, share) in [("p50", 0.50), ("p99", 0.99)] {
            let (direct, routed) = (percentile(direct, share), percentile(routed, share));
            println!(
                "{kind} {what} {name}: direct {:.0} us, routed {:.0} us, added {:.0} us",
                micros(direct),
                micros(routed),
                micros(routed) - micros(direct)
            );
        }
    }
}

fn percentile(sorted: &[Duration], share: f64) -> Duration {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Measures throughput over many connections. CPU time counts only the threads that run
/// the gateway.
fn throughput(gateway: SocketAddr) {
    let done = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let barrier = Arc::new(Barrier::new(CONNECTIONS + 1));
    let workers: Vec<_> = (0..CONNECTIONS as u64)
        .map(|worker| {
            let (done, count, barrier) = (done.clone(), count.clone(), barrier.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::open(gateway);
                barrier.wait();
                let mut number = (worker + 1) << 32;
                while !done.load(Ordering::Relaxed) {
                    connection.complete(number, false);
                    number += 1;
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    barrier.wait();
    let (started, cpu) = (Instant::now(), gateway_cpu());
    std::thread::sleep(DURATION);
    let (took, used) = (started.elapsed(), gateway_cpu() - cpu);
    let served = count.load(Ordering::Relaxed);
    done.store(true, Ordering::Relaxed);
    for worker in workers {
        worker.join().unwrap();
    }
    println!(
        "throughput: {:.0} requests/s with {CONNECTIONS} connections; gateway threads used {:.2} cores, {:.0} requests/s a core",
        served as f64 / took.as_secs_f64(),
        used / took.as_secs_f64(),
        served as f64 / used
    );
}

/// Returns the CPU seconds used by the threads that run the gateway.
fn gateway_cpu() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").unwrap().flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let (Some(open), Some(close)) = (stat.find('('), stat.rfind(')')) else {
            continue;
        };
        if !stat[open + 1..close].starts_with("gateway") {
            continue;
        }
        let fields: Vec<&str> = stat[close + 2..].split(' ').collect();
        let time = |at: usize| fields.get(at).and_then(|field| field.parse().ok());
        ticks += time(11).unwrap_or(0_u64) + time(12).unwrap_or(0);
    }
    ticks as f64 / TICKS_PER_SECOND
}
