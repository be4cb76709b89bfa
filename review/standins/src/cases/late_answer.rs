//! An engine answers an item with 500 and sends that answer once more, late, at the place
//! where the next answer on the connection should come.

use std::thread;
use std::time::Duration;

use super::{MODEL, batch_route, begin, document, safe_route};
use crate::Verdict;
use crate::client::{item_ids, read_any, submit};
use crate::cluster::{Class, Cluster, eventually};
use crate::engine::{Engine, whole};

const ITEMS: usize = 4;
const EVENTS: u64 = 5;
const PAUSE: Duration = Duration::from_millis(100);
const ATTEMPTS: u32 = 2;
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(mut cluster: Cluster, trouble: bool) -> Verdict {
    let routes = [safe_route("tile40"), batch_route("pule252", ATTEMPTS)];
    if let Err(problem) = begin(&mut cluster, 1, &document(1, &routes)) {
        return Verdict::CouldNotRun(problem);
    }
    let record = cluster.record.clone();
    let started = Engine::start(
        "i-1",
        MODEL,
        cluster.engine_address(1),
        Cluster::zone(1),
        12,
        cluster.controls(),
        record.clone(),
        Box::new(move |engine, received, wire| {
            let id = received
                .header("X-Request-Id")
                .unwrap_or_default()
                .to_owned();
            let run = engine.begin(&id);
            engine.record.line(format!(
                "engine: run {run} of {id} on connection {}",
                wire.number
            ));
            if !wire.extra.is_empty() {
                let extra = std::mem::take(&mut wire.extra);
                engine.record.line(format!(
                    "engine: an extra answer, of the request before, on connection {}",
                    wire.number
                ));
                if !wire.send(&extra) {
                    return false;
                }
            }
            if run == 1 {
                let answer = format!(
                    "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: {id}\r\nX-Response-Stamp: i-1.{id}\r\nContent-Length: 6\r\n\r\nfailed"
                );
                engine.note(&id, |work| work.failed += 1);
                engine
                    .record
                    .line(format!("engine: run {run} of {id} answered 500"));
                if trouble {
                    wire.extra = answer.clone().into_bytes();
                }
                return wire.send(answer.as_bytes());
            }
            let done = engine.stream(received, wire, EVENTS, PAUSE);
            engine.note(&id, |work| work.done += u32::from(done));
            engine.record.line(format!(
                "engine: run {run} of {id} {}",
                if done {
                    "answered 200, whole"
                } else {
                    "broken off by its sender"
                }
            ));
            done
        }),
    );
    let engine = match started {
        Ok(engine) => engine,
        Err(error) => return Verdict::CouldNotRun(format!("engine: {error}")),
    };
    thread::sleep(Duration::from_secs(3));
    let fronts = [cluster.front(1)];
    let items = item_ids("item", ITEMS);
    if !submit(&record, &fronts, "/pule252/", JOB, &items) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let listed = eventually(Duration::from_secs(25), || {
        read_any(&fronts, JOB).is_some_and(|results| results.listed.len() == ITEMS)
    });
    thread::sleep(Duration::from_secs(1));
    let Some(results) = read_any(&fronts, JOB) else {
        return Verdict::CouldNotRun("the job cannot be read".to_owned());
    };
    let mut given_up = 0;
    for one in &results.listed {
        let work = engine.work_on(&one.id);
        record.line(format!(
            "client: {} is {}; runs begun {}, answered 500: {}, answered 200 whole: {}",
            one.id, one.state, work.begun, work.failed, work.done
        ));
        match one.state.as_str() {
            "completed" if one.text == whole(&one.id, EVENTS) => {}
            "completed" => return Verdict::Broken(format!("MIXED: {} has another text", one.id)),
            _ if work.failed < ATTEMPTS => given_up += 1,
            _ => {}
        }
    }
    if !cluster.all_run() {
        return Verdict::CouldNotRun("a process ended by itself".to_owned());
    }
    let log = cluster.log(Class::Edge, 1);
    for line in log
        .lines()
        .filter(|line| line.contains("dead-lettered"))
        .take(4)
    {
        record.line(format!("log of edge-1: {line}"));
    }
    match (given_up, listed) {
        (0, true) => Verdict::Held(format!("all {ITEMS} items are completed")),
        (0, false) => Verdict::CouldNotRun("items are still open".to_owned()),
        _ => Verdict::Broken(format!(
            "MIXED: {given_up} of {ITEMS} items are dead_lettered after one answer of 500 to them, of the {ATTEMPTS} attempts that the route allows"
        )),
    }
}
