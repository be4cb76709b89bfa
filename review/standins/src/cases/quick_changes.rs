//! Configurations come in quick succession, at a calm time after a core machine was replaced
//! by a spare one and came back.

use std::thread;
use std::time::Duration;

use super::{APPLICATION, begin, document, safe_route};
use crate::Verdict;
use crate::client::HOST;
use crate::cluster::{Class, Cluster};
use crate::engine::Engine;
use crate::http::call;

/// How long the core machine stands still.
const FROZEN: Duration = Duration::from_secs(4);
const FROZEN_CORE: u8 = 3;
/// Time from the last disruption to the first change: over `contactMs`, 3 s.
const CALM: Duration = Duration::from_secs(6);
/// Time between two changes, and how many there are.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
const CHANGES: u64 = 40;
/// `configApplyMs`, and some more.
const APPLIED: Duration = Duration::from_millis(2_200);
const CALL_WITHIN: Duration = Duration::from_millis(2_500);

pub fn run(mut cluster: Cluster, trouble: bool) -> Verdict {
    let mut routes = vec![safe_route("tile40")];
    if let Err(problem) = begin(&mut cluster, 3, &document(1, &routes)) {
        return Verdict::CouldNotRun(problem);
    }
    let record = cluster.record.clone();
    let engine = Engine::start(
        "i-1",
        APPLICATION,
        cluster.engine_address(1),
        Cluster::zone(1),
        6,
        cluster.controls(),
        record.clone(),
        Box::new(|engine, received, wire| engine.short(received, wire)),
    );
    if let Err(error) = engine {
        return Verdict::CouldNotRun(format!("engine: {error}"));
    }
    if let Err(problem) = cluster.start(Class::Core, 4, false) {
        return Verdict::CouldNotRun(problem);
    }
    record.line("platform: core-4 is added");
    thread::sleep(Duration::from_secs(4));
    if trouble {
        cluster.signal(Class::Core, FROZEN_CORE, "-STOP");
        thread::sleep(FROZEN);
        cluster.signal(Class::Core, FROZEN_CORE, "-CONT");
    }
    thread::sleep(CALM);
    // When each version was acknowledged.
    let mut acknowledged: Vec<(u64, Duration)> = Vec::new();
    let mut refused = [0; 3];
    let mut served = 0;
    let begun = record.now();
    for change in 1..=CHANGES {
        let version = change + 1;
        routes.push(safe_route(&format!("q{version}")));
        let document = document(version, &routes);
        let machines = [1 + (change % 2) as u8, 2 - (change % 2) as u8];
        if cluster
            .declare(&document, &machines, Duration::from_secs(4))
            .is_some()
        {
            acknowledged.push((version, record.now()));
            record.line(format!(
                "operator: version {version} acknowledged, with the new route of /q{version}/"
            ));
        }
        let now = record.now();
        let mut old_enough = acknowledged
            .iter()
            .rev()
            .filter(|(_, at)| now > *at + APPLIED);
        if let Some(&(known, at)) = old_enough.next() {
            for number in 1..=3_u8 {
                let id = format!("probe-{version}-{number}");
                let headers = [
                    ("Host", HOST),
                    ("X-Request-Id", &id),
                    ("X-Deadline-Ms", "2000"),
                ];
                let sent = record.now();
                let answer = call(
                    cluster.front(number),
                    "GET",
                    &format!("/q{known}/1"),
                    &headers,
                    "",
                    CALL_WITHIN,
                );
                let status = answer.map_or(0, |answer| answer.status);
                match status {
                    404 => refused[usize::from(number - 1)] += 1,
                    200 => served += 1,
                    _ => {}
                }
                record.line(format!(
                    "client: GET /q{known}/1 at edge-{number}, {:.1} s after the acknowledgement -> {status}",
                    (sent - at).as_secs_f64()
                ));
            }
        }
        let due = begun + CHANGE_INTERVAL * change as u32;
        thread::sleep(due.saturating_sub(record.now()));
    }
    if !cluster.all_run() {
        return Verdict::CouldNotRun("a process ended by itself".to_owned());
    }
    for number in 1..=3 {
        let log = cluster.log(Class::Edge, number);
        let versions = log
            .lines()
            .filter(|line| line.contains("configuration in force"));
        record.line(format!(
            "log of edge-{number}: {} configurations came into force",
            versions.count()
        ));
    }
    let all: u32 = refused.iter().sum();
    match (all, served) {
        (0, 0) => Verdict::CouldNotRun("no probe was answered".to_owned()),
        (0, served) => Verdict::Held(format!("all of {served} probes were served")),
        _ => Verdict::Broken(format!(
            "CONFIG: {all} requests got 404 on routes that stood in a configuration acknowledged more than 2.2 s before: {} at edge-1, {} at edge-2, {} at edge-3; {served} were served",
            refused[0], refused[1], refused[2]
        )),
    }
}
