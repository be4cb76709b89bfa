//! The engines of a service crash again and again, by a timetable that regards no request,
//! while long items run there.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{MODEL, batch_route, begin, document, safe_route};
use crate::Verdict;
use crate::client::{item_ids, read_any, submit};
use crate::cluster::{Class, Cluster};
use crate::engine::{Engine, whole};

const ENGINES: u8 = 6;
const SLOTS: usize = 4;
const ITEMS: usize = 8;
const EVENTS: u64 = 110;
const PAUSE: Duration = Duration::from_millis(250);
const CRASHES: u32 = 6;
/// Time between the crashes, and how long the engines are down.
const CRASH_INTERVAL: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(1_500);
/// Time in which the case judges: items may be given up 60 s after their job was sent.
const WATCHED: Duration = Duration::from_secs(55);
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(mut cluster: Cluster, trouble: bool) -> Verdict {
    let routes = [safe_route("tile40"), batch_route("pule252", 3)];
    if let Err(problem) = begin(&mut cluster, 3, &document(1, &routes)) {
        return Verdict::CouldNotRun(problem);
    }
    let record = cluster.record.clone();
    let mut engines: Vec<Arc<Engine>> = Vec::new();
    for number in 1..=ENGINES {
        let started = Engine::start(
            &format!("i-{number}"),
            MODEL,
            cluster.engine_address(number),
            Cluster::zone(number),
            SLOTS,
            cluster.controls(),
            record.clone(),
            Box::new(|engine, received, wire| {
                let id = received
                    .header("X-Request-Id")
                    .unwrap_or_default()
                    .to_owned();
                let (run, life) = (engine.begin(&id), engine.id());
                let after = received
                    .header("Last-Event-Id")
                    .unwrap_or("none")
                    .to_owned();
                engine.record.line(format!(
                    "engine {life}: run {run} of {id}, after event {after}"
                ));
                let done = engine.stream(received, wire, EVENTS, PAUSE);
                engine.note(&id, |work| work.done += u32::from(done));
                let ended = if done { "is whole" } else { "ended early" };
                engine
                    .record
                    .line(format!("engine {life}: run {run} of {id} {ended}"));
                done
            }),
        );
        match started {
            Ok(engine) => engines.push(engine),
            Err(error) => return Verdict::CouldNotRun(format!("engine: {error}")),
        }
    }
    thread::sleep(Duration::from_secs(3));
    let fronts = [cluster.front(1), cluster.front(2), cluster.front(3)];
    if !submit(&record, &fronts, "/pule252/", JOB, &item_ids("item", ITEMS)) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let accepted = record.now();
    let mut next_crash = accepted + Duration::from_secs(3);
    let mut crashes = 0;
    let mut listed = 0;
    loop {
        thread::sleep(Duration::from_millis(200));
        if trouble && crashes < CRASHES && record.now() >= next_crash {
            crashes += 1;
            next_crash += CRASH_INTERVAL;
            engines.iter().for_each(|engine| engine.crash());
            record.line(format!("engines: crash {crashes} of every engine"));
            thread::sleep(DOWN);
            for engine in &engines {
                if let Err(error) = engine.restart() {
                    return Verdict::CouldNotRun(format!("engine: {error}"));
                }
            }
            record.line("engines: all are back, with new ids");
        }
        if !cluster.all_run() {
            return Verdict::CouldNotRun("a process ended by itself".to_owned());
        }
        let Some(results) = read_any(&fronts, JOB) else {
            continue;
        };
        if results.listed.len() != listed {
            listed = results.listed.len();
            record.line(format!(
                "client: {listed} of {ITEMS} items listed, {} completed, {} dead_lettered",
                results.count("completed"),
                results.count("dead_lettered")
            ));
        }
        let over = record.now() > accepted + WATCHED;
        if listed < ITEMS && !over {
            continue;
        }
        for one in &results.listed {
            let begun: u32 = engines
                .iter()
                .map(|engine| engine.work_on(&one.id).begun)
                .sum();
            record.line(format!(
                "client: {} is {}; runs begun: {begun}, answers of 500 or 422: 0",
                one.id, one.state
            ));
            if one.state == "completed" && one.text != whole(&one.id, EVENTS) {
                return Verdict::Broken(format!("MIXED: {} has another text", one.id));
            }
        }
        for number in 1..=3 {
            let log = cluster.log(Class::Edge, number);
            for line in log.lines().filter(|line| line.contains("dead-lettered")) {
                record.line(format!("log of edge-{number}: {line}"));
            }
        }
        return match (results.count("dead_lettered"), listed) {
            (0, ITEMS) => Verdict::Held(format!("all {ITEMS} items are completed")),
            (0, _) => Verdict::CouldNotRun("items are still open".to_owned()),
            (given_up, _) => Verdict::Broken(format!(
                "MIXED: {given_up} of {ITEMS} items are dead_lettered {:.1} s after their job came, with no 422, no answer of 500, before retentionS of 60 s; the job is open and its route stands",
                (record.now() - accepted).as_secs_f64()
            )),
        };
    }
}
