//! A batch route is added while one core machine stands still, so that some edge machines
//! have the new configuration later than others.

use std::thread;
use std::time::Duration;

use super::{APPLICATION, MODEL, batch_route, begin, document, safe_route};
use crate::Verdict;
use crate::client::{HOST, item_ids, read_any, submit};
use crate::cluster::{Class, Cluster, eventually};
use crate::engine::{Engine, whole};
use crate::http::call;

const ITEMS: usize = 12;
const EVENTS: u64 = 5;
const PAUSE: Duration = Duration::from_millis(100);
const CALL_WITHIN: Duration = Duration::from_millis(2_500);
/// How long the core machine stands still: as `node_freeze` on the core in the site file.
const FROZEN: Duration = Duration::from_secs(4);
/// The zone of this core machine.
const FROZEN_CORE: u8 = 3;
const JOB: &str = "a90b41c27d3e58f6";

pub fn run(mut cluster: Cluster, trouble: bool) -> Verdict {
    let (known, added) = ("pule252", "mefo711");
    let mut routes = vec![safe_route("tile40"), batch_route(known, 3)];
    if let Err(problem) = begin(&mut cluster, 3, &document(1, &routes)) {
        return Verdict::CouldNotRun(problem);
    }
    let record = cluster.record.clone();
    let mut engines = Vec::new();
    for (number, service, slots) in [(1, MODEL, 12), (2, MODEL, 12), (3, APPLICATION, 6)] {
        let started = Engine::start(
            &format!("i-{number}"),
            service,
            cluster.engine_address(number),
            Cluster::zone(number),
            slots,
            cluster.controls(),
            record.clone(),
            Box::new(|engine, received, wire| {
                let id = received
                    .header("X-Request-Id")
                    .unwrap_or_default()
                    .to_owned();
                engine.begin(&id);
                let done = match received.target.starts_with("/tile")
                    || received.target.starts_with("/new")
                {
                    true => engine.short(received, wire),
                    false => {
                        engine
                            .record
                            .line(format!("engine {}: runs {id}", engine.id()));
                        engine.stream(received, wire, EVENTS, PAUSE)
                    }
                };
                engine.note(&id, |work| work.done += u32::from(done));
                done
            }),
        );
        match started {
            Ok(engine) => engines.push(engine),
            Err(error) => return Verdict::CouldNotRun(format!("engine: {error}")),
        }
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = [cluster.front(1), cluster.front(2), cluster.front(3)];
    // Work on the known route shows that every part works.
    let before = item_ids("known", ITEMS);
    if !submit(
        &record,
        &fronts,
        &format!("/{known}/"),
        "51f0c4d2b7a96e38",
        &before,
    ) {
        return Verdict::CouldNotRun("the first job was not accepted".to_owned());
    }
    let done = eventually(Duration::from_secs(15), || {
        read_any(&fronts, "51f0c4d2b7a96e38")
            .is_some_and(|results| results.count("completed") == ITEMS)
    });
    if !done {
        return Verdict::CouldNotRun("the first job was not completed".to_owned());
    }
    record.line("client: all items of the job on the known route are completed");
    if trouble {
        cluster.signal(Class::Core, FROZEN_CORE, "-STOP");
        thread::sleep(Duration::from_millis(1_500));
    }
    let frozen_at = record.now();
    routes.extend([batch_route(added, 3), safe_route("new22")]);
    let second = document(2, &routes);
    if cluster
        .declare(&second, &[1, 2], Duration::from_secs(4))
        .is_none()
    {
        return Verdict::CouldNotRun("version 2 was not acknowledged".to_owned());
    }
    record.line(format!(
        "operator: version 2 acknowledged, with the new route of /{added}/"
    ));
    // The client uses the new batch route once the new route beside it is served.
    let served = eventually(Duration::from_secs(3), || {
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", "probe-1"),
            ("X-Deadline-Ms", "2000"),
        ];
        let answer = call(fronts[0], "GET", "/new22/1", &headers, "", CALL_WITHIN);
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !served {
        return Verdict::CouldNotRun("the new routes are not served".to_owned());
    }
    record.line(format!(
        "client: edge-1 serves the new routes, at {}",
        fronts[0]
    ));
    thread::sleep(Duration::from_millis(100));
    let items = item_ids("added", ITEMS);
    if !submit(&record, &fronts[..1], &format!("/{added}/"), JOB, &items) {
        return Verdict::CouldNotRun("the job on the new route was not accepted".to_owned());
    }
    if trouble {
        let rest = (frozen_at + FROZEN).saturating_sub(record.now());
        thread::sleep(rest);
        cluster.signal(Class::Core, FROZEN_CORE, "-CONT");
    }
    let listed = eventually(Duration::from_secs(25), || {
        read_any(&fronts, JOB).is_some_and(|results| results.listed.len() == ITEMS)
    });
    let Some(results) = read_any(&fronts, JOB) else {
        return Verdict::CouldNotRun("the job cannot be read".to_owned());
    };
    let mut given_up = 0;
    for one in &results.listed {
        let works = engines.iter().map(|engine| engine.work_on(&one.id));
        let (begun, failed) = works.fold((0, 0), |(begun, failed), work| {
            (begun + work.begun, failed + work.failed)
        });
        record.line(format!(
            "client: {} is {}; runs begun at engines: {begun}, answers of 500 or 422: {failed}",
            one.id, one.state
        ));
        match one.state.as_str() {
            "completed" if one.text == whole(&one.id, EVENTS) => {}
            "completed" => return Verdict::Broken(format!("MIXED: {} has another text", one.id)),
            _ => given_up += 1,
        }
    }
    if !cluster.all_run() {
        return Verdict::CouldNotRun("a process ended by itself".to_owned());
    }
    for number in 1..=3 {
        let log = cluster.log(Class::Edge, number);
        for line in log
            .lines()
            .filter(|line| line.contains("dead-lettered"))
            .take(3)
        {
            record.line(format!("log of edge-{number}: {line}"));
        }
    }
    match (given_up, listed) {
        (0, true) => Verdict::Held(format!("all {ITEMS} items are completed")),
        (0, false) => Verdict::CouldNotRun("items are still open".to_owned()),
        _ => Verdict::Broken(format!(
            "MIXED: {given_up} of {ITEMS} items are dead_lettered, with no 422, no answer of 500, {:.1} s after the job came, on a route that stands in the newest configuration, and the job is not ended",
            (record.now() - frozen_at).as_secs_f64()
        )),
    }
}
