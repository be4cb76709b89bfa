//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, HOST, Item, Role, document, eventually, job_body};
use crate::engine::{Engine, Kind};
use crate::http::call;
use crate::{Outcome, note};

/// `finishS` of a small deployment.
const FINISH: Duration = Duration::from_secs(18);
/// `recoverS` of a small deployment.
const RECOVER: Duration = Duration::from_secs(12);

fn kind(cluster: &Cluster, id: &str, service: &str, number: u8) -> Kind {
    Kind {
        id: id.to_owned(),
        service: service.to_owned(),
        address: cluster.engine_address(number),
        slots: 12,
        software: "v1",
        born: None,
        weights: 1,
        events: 20,
        pause: Duration::from_millis(25),
    }
}

fn items(job: &str, count: usize) -> Vec<Item> {
    (0..count)
        .map(|place| {
            Item::new(
                &format!("{job}{place:03}"),
                &format!("/jobs/3/{job}{place:03}"),
            )
        })
        .collect()
}

/// Starts a cluster with a configuration in force.
fn start() -> Result<Cluster, Outcome> {
    let Some(cluster) = Cluster::start("8") else {
        return Err(Outcome::Unable("no cluster".to_owned()));
    };
    if !cluster.configure(&document(1, "")) || !cluster.wait_ready() {
        return Err(Outcome::Unable(
            "the cluster does not become ready".to_owned(),
        ));
    }
    Ok(cluster)
}

/// Runs a small job, so that it is known that all is well before the disruption.
fn is_well(cluster: &Cluster) -> bool {
    let listed = |results: BTreeMap<String, (String, String)>| results.len() == 4;
    cluster.submit("aa", &job_body(&items("aa", 4)))
        && eventually(Duration::from_secs(15), || {
            cluster.results_anywhere("aa").is_some_and(listed)
        })
}

/// Whether a gateway serves a safe request.
fn ask(cluster: &Cluster, number: u8, id: &str) -> Option<u16> {
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
    ];
    let answer = call(
        cluster.gateway(number),
        "POST",
        "/ask/x",
        &headers,
        b"",
        Duration::from_millis(1_700),
    );
    let status = answer.map(|answer| answer.status);
    note!("client request {id} at gateway {number}: {status:?}");
    status
}

/// Judges the first LOST rule on items: `finishS` is over, and items are listed as neither
/// though the engines are idle.
fn judge_items(
    cluster: &Cluster,
    engines: &[&Engine],
    job: &str,
    wanted: &BTreeSet<String>,
) -> Outcome {
    let mut calm_since = Instant::now();
    let ends = Instant::now() + Duration::from_secs(5);
    while Instant::now() < ends {
        if engines.iter().any(|engine| engine.active() > 0) {
            calm_since = Instant::now();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let Some(results) = cluster.results_anywhere(job) else {
        note!("job {job} cannot be read at the end");
        return Outcome::Broken;
    };
    let open: Vec<&String> = wanted
        .iter()
        .filter(|item| !results.contains_key(*item))
        .collect();
    let idle = calm_since.elapsed() >= Duration::from_secs(5);
    note!(
        "at the end: {} of {} items listed, engines idle for the last 5 s: {idle}, not listed: {open:?}",
        wanted.len() - open.len(),
        wanted.len()
    );
    match open.is_empty() || !idle {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// A heartbeat that a cut held up arrives after its engine has crashed and the next one has
/// registered at the address. The control node that it reaches was killed in between.
pub fn late_heartbeat(trouble: bool) -> Outcome {
    let mut cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let others: Vec<Engine> = (2..=5)
        .map(|number| {
            Engine::start(
                kind(&cluster, &format!("i-app{number}"), "app", number),
                cluster.controls(),
            )
        })
        .collect();
    let first = Engine::start(kind(&cluster, "i-a", "llm", 1), cluster.controls());
    if !is_well(&cluster) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    // The link between the engine and control is cut for 5 s; a heartbeat is under way in it.
    let link = SocketAddr::from((Ipv4Addr::new(127, cluster.network, 8, 1), 17_900));
    let listener = TcpListener::bind(link).expect("a free address");
    let cut_at = Instant::now();
    let heartbeat = first.heartbeat();
    note!(
        "cut begins; heartbeat in it: {}",
        String::from_utf8_lossy(&heartbeat).replace("\r\n", " | ")
    );
    let length = heartbeat.len();
    let mut into_link = TcpStream::connect(link).expect("the link");
    into_link.write_all(&heartbeat).expect("the link takes it");
    let healed = Arc::new(AtomicBool::new(false));
    let control = cluster.control(1);
    let heals = healed.clone();
    let delivery = thread::spawn(move || {
        let (mut held, _) = listener.accept().expect("the link");
        let mut bytes = vec![0; length];
        held.read_exact(&mut bytes).expect("the heartbeat");
        thread::sleep(Duration::from_secs(5).saturating_sub(cut_at.elapsed()));
        heals.store(true, Ordering::SeqCst);
        if !trouble {
            return;
        }
        note!(
            "cut heals after {:?}; the heartbeat of i-a reaches control 1",
            cut_at.elapsed()
        );
        let answer = TcpStream::connect(control).and_then(|mut stream| {
            stream.write_all(&bytes)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            let mut answer = [0; 64];
            let count = stream.read(&mut answer)?;
            Ok(String::from_utf8_lossy(&answer[..count])
                .lines()
                .next()
                .unwrap_or_default()
                .to_owned())
        });
        note!("its answer: {answer:?}");
    });
    thread::sleep(Duration::from_millis(200));
    first.crash();
    thread::sleep(Duration::from_millis(500));
    let second = Engine::start(kind(&cluster, "i-b", "llm", 1), cluster.controls());
    if !eventually(Duration::from_secs(2), || second.beats_taken() > 0) {
        return Outcome::Unable("i-b is not registered".to_owned());
    }
    note!("i-b is registered {:?} after the cut", cut_at.elapsed());
    if trouble {
        cluster.kill(Role::Control, 1);
        thread::sleep(Duration::from_millis(300));
        cluster.start_node(Role::Control, 1, false);
    }
    let before = second.beats_taken();
    if !eventually(Duration::from_secs(3), || second.beats_taken() > before)
        || healed.load(Ordering::SeqCst)
    {
        let _ended = delivery.join();
        return Outcome::Unable("i-b was not registered again before the cut healed".to_owned());
    }
    note!(
        "i-b is registered again {:?} after the cut",
        cut_at.elapsed()
    );
    let _ended = delivery.join();
    // Later than `contactMs` after the last event, so that every machine is in touch.
    thread::sleep(Duration::from_secs(4));
    let job = items("bb", 10);
    let wanted = job.iter().map(|item| item.id.clone()).collect();
    if !cluster.submit("bb", &job_body(&job)) {
        return Outcome::Unable("the job is not taken".to_owned());
    }
    let submitted = Instant::now();
    let mut asked = 0u32;
    while submitted.elapsed() < Duration::from_secs(20) {
        asked += 1;
        ask(&cluster, 1 + (asked % 2) as u8, &format!("q{asked}"));
        thread::sleep(Duration::from_millis(500));
    }
    // The traffic has ended; batch jobs get `finishS` more.
    let beats = second.beats_taken();
    thread::sleep(FINISH);
    note!(
        "heartbeats of i-b acknowledged meanwhile: {}",
        second.beats_taken() - beats
    );
    let outcome = judge_items(&cluster, &[&second], "bb", &wanted);
    drop(others);
    outcome
}

/// Batch items that name weights which no engine has.
pub fn expected_version(trouble: bool) -> Outcome {
    let cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let engines: Vec<Engine> = (1..=3)
        .map(|number| {
            let kind = Kind {
                events: 40,
                ..kind(&cluster, &format!("i-{number}"), "llm", number)
            };
            Engine::start(kind, cluster.controls())
        })
        .collect();
    if !is_well(&cluster) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    let mut job = items("cc", 200);
    // 5 of 100 items can never be done: they ask for weights that are not there.
    let odd: BTreeSet<usize> = (0..200).filter(|place| place % 20 == 3).collect();
    for place in odd.iter().filter(|_| trouble) {
        job[*place].headers = r#","X-Expect-Version":"2""#.to_owned();
    }
    let proper = job
        .iter()
        .enumerate()
        .filter(|(place, _)| !odd.contains(place));
    let wanted = proper.map(|(_, item)| item.id.clone()).collect();
    if !cluster.submit("cc", &job_body(&job)) {
        return Outcome::Unable("the job is not taken".to_owned());
    }
    // The traffic has ended; batch jobs get `finishS` more, of which the last 5 s are watched.
    thread::sleep(FINISH - Duration::from_secs(4));
    let engines: Vec<&Engine> = engines.iter().collect();
    let outcome = judge_items(&cluster, &engines, "cc", &wanted);
    for number in 1..=2 {
        ask(&cluster, number, &format!("q{number}"));
    }
    outcome
}

/// A configuration adds a route whose prefix begins the paths of waiting items.
pub fn longer_prefix(trouble: bool) -> Outcome {
    let cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let kind = Kind {
        slots: 4,
        events: 40,
        pause: Duration::from_millis(50),
        ..kind(&cluster, "i-1", "llm", 1)
    };
    let engine = Engine::start(kind, cluster.controls());
    if !is_well(&cluster) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    let job = items("dd", 24);
    if !cluster.submit("dd", &job_body(&job)) {
        return Outcome::Unable("the job is not taken".to_owned());
    }
    let submitted = Instant::now();
    thread::sleep(Duration::from_secs(2));
    let prefix = if trouble { "/jobs/3/" } else { "/walk/" };
    let added = format!(
        r#",{{"name":"walk","host":"{HOST}","pathPrefix":"{prefix}","routeKind":"streaming","timeoutMs":5000,"targetLatencyMs":500,"priority":0,"service":"llm","maxAttempts":1,"resumable":false,"gapTargetMs":500}}"#
    );
    if !cluster.configure(&document(2, &added)) {
        return Outcome::Unable("the configuration is not acknowledged".to_owned());
    }
    let all = |results: &BTreeMap<String, (String, String)>| results.len() == job.len();
    eventually(Duration::from_secs(40), || {
        cluster
            .results_anywhere("dd")
            .is_some_and(|results| all(&results))
    });
    let Some(results) = cluster.results_anywhere("dd") else {
        return Outcome::Unable("the job cannot be read".to_owned());
    };
    let ran: BTreeSet<String> = engine.runs().into_iter().map(|run| run.id).collect();
    for (item, (state, text)) in &results {
        note!(
            "item {item}: {state}, {} bytes, came to the engine: {}",
            text.len(),
            ran.contains(item)
        );
    }
    let given_up = results
        .values()
        .filter(|(state, _)| state == "dead_lettered")
        .count();
    note!(
        "{} items listed, {given_up} of them dead_lettered, {:?} after the job was sent; the engine answered no 422 and no 500",
        results.len(),
        submitted.elapsed()
    );
    match given_up {
        0 if all(&results) => Outcome::Held,
        0 => Outcome::Unable("items are left".to_owned()),
        _ => Outcome::Broken,
    }
}

/// An item whose header holds the end of a head and another request.
pub fn item_header(trouble: bool) -> Outcome {
    let cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let engine = Engine::start(kind(&cluster, "i-1", "llm", 1), cluster.controls());
    if !is_well(&cluster) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    let mut job = items("ee", 3);
    if trouble {
        job[1].headers = r#","X-Session":"s1\r\nX-Request-Id: ee001\r\nContent-Length: 0\r\n\r\nPOST /ask/hidden HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Rest: 1""#.to_owned();
    } else {
        job[1].headers = r#","X-Session":"s1""#.to_owned();
    }
    let taken = cluster.submit("ee", &job_body(&job));
    note!("job taken: {taken}");
    eventually(Duration::from_secs(10), || {
        engine.runs().iter().any(|run| run.id == "hidden")
            || cluster
                .results_anywhere("ee")
                .is_some_and(|results| results.len() == 3)
    });
    let sent: BTreeSet<String> = items("aa", 4)
        .into_iter()
        .chain(job)
        .map(|item| item.id)
        .collect();
    let unasked: Vec<_> = engine
        .runs()
        .into_iter()
        .filter(|run| !sent.contains(&run.id))
        .collect();
    for run in &unasked {
        note!(
            "the engine ran {} {}, which no client sent",
            run.id,
            run.path
        );
    }
    match unasked.is_empty() {
        true if taken || trouble => Outcome::Held,
        true => Outcome::Unable("the job is not taken".to_owned()),
        false => Outcome::Broken,
    }
}

/// Segments of the log of a store, by number.
fn segments(folder: &PathBuf) -> BTreeMap<u64, PathBuf> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let named = entries.filter_map(|entry| {
        let path = entry.path();
        let number = path
            .file_name()?
            .to_str()?
            .strip_suffix(".segment")?
            .parse()
            .ok()?;
        Some((number, path))
    });
    named.collect()
}

/// All counted machines lose power a while after the stores removed old segments of their logs.
pub fn removed_segments(trouble: bool) -> Outcome {
    let mut cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let engines: Vec<Engine> = (1..=3)
        .map(|number| {
            let kind = Kind {
                events: 8,
                ..kind(&cluster, &format!("i-{number}"), "llm", number)
            };
            Engine::start(kind, cluster.controls())
        })
        .collect();
    if !is_well(&cluster) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    let logs: Vec<PathBuf> = (1..=3)
        .map(|number| cluster.disk(Role::Store, number).join("store/log"))
        .collect();
    // The stand-in of the disk keeps what the names of the folder led to before.
    let before: Vec<PathBuf> = (1..=3)
        .map(|number| cluster.folder.join(format!("before-{number}")))
        .collect();
    for folder in &before {
        fs::create_dir_all(folder).expect("a folder");
    }
    let watches = Arc::new(AtomicBool::new(true));
    // The segments of each store that were removed, each with the newest one at that time.
    let removals: Arc<Mutex<Vec<BTreeMap<u64, u64>>>> =
        Arc::new(Mutex::new(vec![BTreeMap::new(); 3]));
    let watching = {
        let (logs, before, watches) = (logs.clone(), before.clone(), watches.clone());
        let removals = removals.clone();
        thread::spawn(move || {
            while watches.load(Ordering::SeqCst) {
                for (store, (log, before)) in logs.iter().zip(&before).enumerate() {
                    let now = segments(log);
                    let newest = now.keys().next_back().copied().unwrap_or_default();
                    for path in now.values() {
                        let kept = before.join(path.file_name().expect("a name"));
                        if !kept.exists() {
                            let _removed_meanwhile = fs::hard_link(path, kept);
                        }
                    }
                    let gone = segments(before)
                        .into_keys()
                        .filter(|one| !now.contains_key(one));
                    for segment in gone {
                        removals.lock().unwrap()[store]
                            .entry(segment)
                            .or_insert(newest);
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let mut jobs = Vec::new();
    let snapshots = |cluster: &Cluster| {
        (1..=3)
            .filter(|number| {
                cluster
                    .log_text(Role::Store, *number)
                    .contains("snapshot at")
            })
            .count()
    };
    while snapshots(&cluster) == 0 && jobs.len() < 90 {
        let job = format!("f{:02}", jobs.len());
        let mut items = items(&job, 20);
        for (place, item) in items.iter_mut().enumerate() {
            item.body = (0..24_000usize)
                .map(|at| (at * 31 + place * 7 + jobs.len()) as u8)
                .collect();
        }
        if !cluster.submit(&job, &job_body(&items)) {
            return Outcome::Unable(format!("job {job} is not taken"));
        }
        jobs.push(job);
    }
    let all = eventually(Duration::from_secs(10), || snapshots(&cluster) == 3);
    // A new segment is begun with a sync of the folder, which makes earlier removals last.
    let unsynced = |store: usize| -> Vec<u64> {
        let newest = segments(&logs[store]).into_keys().next_back();
        let removals = removals.lock().unwrap();
        let removed = removals[store].iter();
        let removed = removed.filter(|(_, newest_then)| Some(**newest_then) == newest);
        removed.map(|(segment, _)| *segment).collect()
    };
    let gone = eventually(Duration::from_secs(5), || {
        (0..3).all(|store| unsynced(store).len() >= 3)
    });
    if !all || !gone {
        return Outcome::Unable(format!(
            "snapshots on all stores: {all}, removed segments: {gone}"
        ));
    }
    thread::sleep(Duration::from_millis(300));
    for number in 1..=3u8 {
        cluster.kill(Role::Store, number);
        cluster.kill(Role::Control, number);
    }
    watches.store(false, Ordering::SeqCst);
    let _ended = watching.join();
    for (store, (log, before)) in logs.iter().zip(&before).enumerate() {
        let removed = unsynced(store);
        note!(
            "store {}: segments {:?}, removed since the newest one was begun: {removed:?}",
            store + 1,
            segments(log).into_keys().collect::<Vec<_>>()
        );
        // Each name may be kept or lost on its own: the removal of the newest is kept, the
        // removals of the others are lost.
        let Some((_newest, others)) = removed
            .split_last()
            .filter(|(_, others)| !others.is_empty())
        else {
            return Outcome::Unable("the folder was synced meanwhile".to_owned());
        };
        for number in others.iter().filter(|_| trouble) {
            let name = format!("{number:020}.segment");
            fs::rename(before.join(&name), log.join(&name)).expect("the name is back");
        }
        note!(
            "after the loss of power: {:?}",
            segments(log).into_keys().collect::<Vec<_>>()
        );
    }
    thread::sleep(Duration::from_millis(700));
    for number in 1..=3u8 {
        cluster.start_node(Role::Store, number, false);
        cluster.start_node(Role::Control, number, false);
    }
    // The platform starts a process that ends again after a short delay.
    let back = Instant::now();
    let mut ends = 0;
    let mut readable = BTreeSet::new();
    while back.elapsed() < RECOVER + Duration::from_secs(13) && readable.len() < jobs.len() {
        for number in 1..=3u8 {
            if let Some(status) = cluster.ended(Role::Store, number) {
                ends += 1;
                let log = cluster.log_text(Role::Store, number);
                note!(
                    "store {number} ended by itself, {status}: {}",
                    log.lines().last().unwrap_or_default()
                );
                cluster.start_node(Role::Store, number, false);
            }
        }
        for job in &jobs {
            if !readable.contains(job) && cluster.results_anywhere(job).is_some() {
                readable.insert(job.clone());
            } else if !readable.contains(job) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for number in 1..=2 {
        note!(
            "read of job f00 at gateway {number}: {:?}",
            cluster.results(number, "f00").map(|results| results.len())
        );
    }
    note!(
        "{:?} after the machines were back: {} of {} jobs that were answered 202 can be read; stores ended by themselves {ends} times",
        back.elapsed(),
        readable.len(),
        jobs.len()
    );
    drop(engines);
    match readable.len() == jobs.len() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// A deployment whose `graceS` is a fraction.
pub fn fraction(trouble: bool) -> Outcome {
    let grace_s = if trouble { "7.5" } else { "8" };
    note!("bounds of the deployment: graceS {grace_s}");
    let Some(mut cluster) = Cluster::start(grace_s) else {
        return Outcome::Unable("no cluster".to_owned());
    };
    // The platform starts a process that ends again after a short delay.
    let began = Instant::now();
    let mut ends: BTreeMap<(Role, u8), u32> = BTreeMap::new();
    while began.elapsed() < Duration::from_secs(10) {
        for (role, most) in [(Role::Control, 3), (Role::Store, 3), (Role::Gateway, 2)] {
            for number in 1..=most {
                if let Some(status) = cluster.ended(role, number) {
                    *ends.entry((role, number)).or_default() += 1;
                    let log = cluster.log_text(role, number);
                    let line = log.lines().last().unwrap_or_default();
                    note!("{role:?} {number} ended by itself, {status}: {line}");
                    cluster.start_node(role, number, true);
                }
            }
        }
        if ends.is_empty() && began.elapsed() > Duration::from_secs(3) {
            break;
        }
        thread::sleep(Duration::from_millis(700));
    }
    let ended_often = ends.values().filter(|count| **count >= 3).count();
    note!("{ended_often} of 8 processes ended by themselves three times or more");
    if ended_often >= 2 {
        let status = ask(&cluster, 1, "q1");
        note!("a client gets {status:?}");
        return Outcome::Broken;
    }
    let engine = Engine::start(kind(&cluster, "i-1", "llm", 1), cluster.controls());
    let served = cluster.configure(&document(1, ""))
        && cluster.wait_ready()
        && eventually(Duration::from_secs(10), || {
            ask(&cluster, 1, "q1") == Some(200)
        });
    drop(engine);
    match served {
        true => Outcome::Held,
        false => Outcome::Unable("the cluster does not serve".to_owned()),
    }
}

/// The only engine of one batch service is lost for good; jobs of another service wait.
pub fn other_service(trouble: bool) -> Outcome {
    let cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let more = format!(
        r#",{{"name":"other","host":"{HOST}","pathPrefix":"/other/","routeKind":"batch","timeoutMs":25000,"targetLatencyMs":400,"completionTargetMs":20000,"retentionS":60,"priority":2,"service":"app","maxAttempts":3,"sticky":true,"resumable":true,"gapTargetMs":500}}"#
    );
    if !cluster.configure(&document(2, &more)) {
        return Outcome::Unable("the configuration is not acknowledged".to_owned());
    }
    let engines: Vec<Engine> = (1..=3)
        .map(|number| {
            Engine::start(
                kind(&cluster, &format!("i-{number}"), "llm", number),
                cluster.controls(),
            )
        })
        .collect();
    let lost = Engine::start(kind(&cluster, "i-app", "app", 4), cluster.controls());
    if !is_well(&cluster) || !eventually(Duration::from_secs(5), || lost.beats_taken() > 0) {
        return Outcome::Unable("the first job does not run".to_owned());
    }
    let path = |prefix: &str, job: &str, place: usize| {
        Item::new(
            &format!("{job}{place:03}"),
            &format!("/{prefix}/3/{job}{place:03}"),
        )
    };
    let other: Vec<Item> = (0..100).map(|place| path("other", "gg", place)).collect();
    let job: Vec<Item> = (0..20).map(|place| path("jobs", "hh", place)).collect();
    let wanted = job.iter().map(|item| item.id.clone()).collect();
    if trouble {
        lost.crash();
    }
    if !cluster.submit_at("other", "gg", &job_body(&other)) {
        return Outcome::Unable("the job gg is not taken".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    if !cluster.submit("hh", &job_body(&job)) {
        return Outcome::Unable("the job hh is not taken".to_owned());
    }
    // The traffic has ended; batch jobs get `finishS` more, of which the last 5 s are watched.
    thread::sleep(FINISH - Duration::from_secs(4));
    let engines: Vec<&Engine> = engines.iter().collect();
    let outcome = judge_items(&cluster, &engines, "hh", &wanted);
    for number in 1..=2 {
        ask(&cluster, number, &format!("q{number}"));
    }
    outcome
}

/// The first configuration has the version 0.
pub fn first_version(trouble: bool) -> Outcome {
    let Some(cluster) = Cluster::start("8") else {
        return Outcome::Unable("no cluster".to_owned());
    };
    let engine = Engine::start(kind(&cluster, "i-1", "llm", 1), cluster.controls());
    let version = if trouble { 0 } else { 1 };
    if !cluster.configure(&document(version, "")) {
        return Outcome::Unable("the configuration is not acknowledged".to_owned());
    }
    let served = eventually(Duration::from_secs(15), || {
        ask(&cluster, 1, "q1") == Some(200)
    });
    drop(engine);
    match served {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// Streams while an engine is back under its id with other software, whose heartbeat is late.
pub fn former_version(trouble: bool) -> Outcome {
    let cluster = match start() {
        Ok(cluster) => cluster,
        Err(unable) => return unable,
    };
    let more = format!(
        r#",{{"name":"walk","host":"{HOST}","pathPrefix":"/other/","routeKind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"priority":0,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":500}}"#
    );
    if !cluster.configure(&document(2, &more)) {
        return Outcome::Unable("the configuration is not acknowledged".to_owned());
    }
    let born = || {
        let since = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .expect("a clock");
        Some(since.as_millis() as u64)
    };
    let paced = |number: u8, software: &'static str| Kind {
        software,
        born: born(),
        events: 60,
        pause: Duration::from_millis(50),
        ..kind(&cluster, &format!("i-{number}"), "llm", number)
    };
    let stays = Engine::start(paced(2, "v1"), cluster.controls());
    let first = Engine::start(paced(1, "v1"), cluster.controls());
    if !is_well(&cluster) || !eventually(Duration::from_secs(5), || !first.runs().is_empty()) {
        return Outcome::Unable("the first job does not run at both engines".to_owned());
    }
    first.crash();
    thread::sleep(Duration::from_millis(300));
    // With the disruption, its heartbeats are still under way when it ends again.
    let controls = if trouble {
        Vec::new()
    } else {
        cluster.controls()
    };
    let second = Engine::start(paced(1, "v2"), controls);
    thread::sleep(Duration::from_millis(700));
    let callers: Vec<_> = (0..16)
        .map(|number| {
            let gateway = cluster.gateway(1 + number % 2);
            thread::spawn(move || {
                let id = format!("s{number:02}");
                let headers = [
                    ("Host", HOST),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "8000"),
                ];
                let text =
                    crate::http::stream(gateway, "/other/w", &headers, Duration::from_secs(9));
                (id, text)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    second.crash();
    let mut mixed = 0;
    for caller in callers {
        let (id, text) = caller.join().expect("a caller");
        let counts = ["v1", "v2"].map(|software| text.matches(&format!(" {software}\n")).count());
        note!(
            "stream {id}: {} events of v1, {} of v2",
            counts[0],
            counts[1]
        );
        mixed += usize::from(counts.iter().all(|count| *count > 0));
    }
    note!("{mixed} streams hold events of two software versions");
    drop(stays);
    match mixed {
        0..=2 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
