//! A configuration drops the only batch route while one of its jobs is open.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::{APPLICATION, MODEL, batch_route, begin, document, safe_route, stream_route};
use crate::Verdict;
use crate::client::{item_ids, read_any, submit};
use crate::cluster::{Class, Cluster};
use crate::engine::{Engine, whole};

const ITEMS: usize = 40;
const EVENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(100);
/// Time that batch jobs get after traffic has ended (`finishS`, 18 s), and some more.
const FINISH: Duration = Duration::from_secs(22);
/// Time without any run of an item before the rule is judged: "the last 5 s".
const QUIET: Duration = Duration::from_secs(5);
/// The most time that the case watches the job.
const WATCHED: Duration = Duration::from_secs(45);

pub fn run(mut cluster: Cluster, trouble: bool) -> Verdict {
    let (batch, online) = ("pule252", [safe_route("tile40"), stream_route("lohu930")]);
    let mut routes = online.to_vec();
    routes.push(batch_route(batch, 3));
    if let Err(problem) = begin(&mut cluster, 3, &document(1, &routes)) {
        return Verdict::CouldNotRun(problem);
    }
    let record = cluster.record.clone();
    let mut engines = Vec::new();
    for (number, service, slots) in [(1, MODEL, 4), (2, MODEL, 4), (3, APPLICATION, 6)] {
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
                engine
                    .record
                    .line(format!("engine {}: runs {id}", engine.id()));
                let done = engine.stream(received, wire, EVENTS, PAUSE);
                engine.note(&id, |work| work.done += u32::from(done));
                engine.record.line(format!(
                    "engine {}: {id} {}",
                    engine.id(),
                    if done {
                        "answered 200, whole"
                    } else {
                        "broken off by its sender"
                    }
                ));
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
    let items = item_ids("lot", ITEMS);
    if !submit(
        &record,
        &fronts,
        &format!("/{batch}/"),
        "7c41e09b52d6a3f8",
        &items,
    ) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let accepted = record.now();
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        let second = document(2, &online);
        if cluster
            .declare(&second, &[1, 2, 3], Duration::from_secs(4))
            .is_none()
        {
            return Verdict::CouldNotRun("version 2 was not acknowledged".to_owned());
        }
        record.line(format!(
            "operator: version 2 acknowledged, without the route of /{batch}/"
        ));
    }
    let changed = record.now();
    let mut listed = 0;
    let mut last_run = record.now();
    loop {
        thread::sleep(Duration::from_millis(250));
        let now = record.now();
        if engines
            .iter()
            .any(|engine| engine.active.load(Ordering::SeqCst) > 0)
        {
            last_run = now;
        }
        if !cluster.all_run() {
            return Verdict::CouldNotRun("a process ended by itself".to_owned());
        }
        let results = read_any(&fronts, "7c41e09b52d6a3f8");
        if let Some(results) = &results {
            if results.listed.len() != listed {
                listed = results.listed.len();
                record.line(format!(
                    "client: {listed} of {} items listed, {} completed, {} dead_lettered",
                    results.total,
                    results.count("completed"),
                    results.count("dead_lettered")
                ));
            }
            if results.listed.len() == ITEMS {
                return judge_listed(&results.listed, trouble);
            }
        }
        if now > changed + FINISH && now > last_run + QUIET && now > accepted + FINISH {
            let unlisted = ITEMS - listed;
            for line in cluster.log(Class::Edge, 1).lines().rev().take(5) {
                record.line(format!("log of edge-1: {line}"));
            }
            return Verdict::Broken(format!(
                "LOST: {unlisted} of {ITEMS} items of an open job are neither completed nor dead_lettered {:.1} s after version 2, and no engine has run an item for {:.1} s",
                (now - changed).as_secs_f64(),
                (now - last_run).as_secs_f64()
            ));
        }
        if now > changed + WATCHED {
            return Verdict::CouldNotRun("the job neither ended nor rested".to_owned());
        }
    }
}

fn judge_listed(listed: &[crate::client::Listed], trouble: bool) -> Verdict {
    for one in listed {
        if one.state == "completed" && one.text != whole(&one.id, EVENTS) {
            return Verdict::CouldNotRun(format!("{} is completed with another text", one.id));
        }
        if one.state != "completed" && !trouble {
            return Verdict::CouldNotRun(format!("{} was given up without a disruption", one.id));
        }
    }
    Verdict::Held(format!("all {ITEMS} items are listed"))
}
