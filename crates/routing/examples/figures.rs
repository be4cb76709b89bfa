//! Measures the cost of routing decisions at the fleet size expected in two years:
//! 1,800 gateways in 17 zones with 10,000 engines.
//!
//! `cargo run --release -p molespan-routing --example figures`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use molespan_engine_api::{CacheEvent, CacheEventKind, CacheEventPage};
use molespan_membership::{
    GatewayRecord, GatewaySet, GatewaySetSettings, Ownership, OwnershipSettings, SubsetBackend,
    SubsetSettings, subset,
};
use molespan_routing::admission::{
    Admission, AdmissionSettings, Decision, ServiceLimits, TenantPolicy,
};
use molespan_routing::pick::{Candidate, Finish, LoadSample, PickRequest, PickSettings, Picker};
use molespan_types::{BackendId, Incarnation, NodeId, ServiceName, TenantId, Timestamp, ZoneName};
use molespan_wire::LoadDigest;

const GATEWAYS: u32 = 1_800;
const ENGINES: u32 = 10_000;
const ZONES: u32 = 17;
const TENANTS: u32 = 1_200;
/// Numbers of engines that one gateway routes to: two sizes as limited by `subset`, and all.
const FLEETS: [u32; 3] = [13, 80, ENGINES];
const PICKS: u32 = 20_000;
/// Numbers of queued requests for which admission is measured; they also set the limit of
/// the queue.
const WAITING: [u32; 3] = [0, 100, 1_000];
const ADMISSIONS: u32 = 50_000;
/// Number of prefix blocks in an album-sized prompt.
const ALBUM_BLOCKS: u64 = 80;
const KIBIBYTE: usize = 1_024;

fn main() {
    // Memory is measured first, before freed memory could be reused.
    prefixes();
    for engines in FLEETS {
        picks(engines);
    }
    for waiting in WAITING {
        admissions(waiting);
    }
    ownership();
    digests();
}

fn zone(number: u32) -> ZoneName {
    ZoneName(format!("zone-{}", number % ZONES))
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE
}

fn per_second(count: u32, took: Duration) -> f64 {
    f64::from(count) / took.as_secs_f64()
}

fn candidates(engines: u32) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        backend: BackendId(number),
        incarnation: Incarnation(1),
        zone: zone(number),
        suspect: false,
    };
    (0..engines).map(candidate).collect()
}

fn sample(number: u32) -> LoadSample {
    LoadSample {
        backend: BackendId(number),
        incarnation: Incarnation(1),
        sequence: 1,
        observed: Timestamp::ZERO,
        online: number % 7,
        online_waiting: 0,
        batch: 8,
        batch_running: 8,
        max_running: 32,
        kv_used: 0.2,
        step: Duration::from_millis(6),
    }
}

fn loaded_picker(engines: u32) -> Picker {
    let mut picker = Picker::new(zone(0), PickSettings::default(), 1);
    picker.set_engines(candidates(engines));
    for number in 0..engines {
        picker.observe_load(sample(number));
    }
    picker
}

/// Returns the prefix hashes of the prompt of one of 100 albums.
fn album(number: u64) -> Vec<u64> {
    (0..ALBUM_BLOCKS)
        .map(|block| ((number % 100) << 32) | block)
        .collect()
}

fn picks(engines: u32) {
    let before = resident();
    let copies = (200_000 / engines) as usize;
    let mut pickers: Vec<Picker> = (0..copies).map(|_| loaded_picker(engines)).collect();
    let bytes = resident().saturating_sub(before) / (copies * engines as usize);
    let mut picker = pickers.remove(0);
    let begin = Instant::now();
    for number in 0..PICKS {
        let now = Timestamp(u64::from(number) * 20);
        let hashes = album(u64::from(number));
        let request = PickRequest {
            prefix_hashes: &hashes,
            exclude: &[],
        };
        let Ok(pick) = picker.pick(now, request) else {
            continue;
        };
        picker.started(now, pick.backend, &hashes);
        picker.finished(now, pick.backend, now, Finish::Other);
    }
    let rate = per_second(PICKS, begin.elapsed());
    println!("picks of albums, {engines} engines: {rate:.0} /s, {bytes} bytes an engine");
    // The pickers are leaked, so that the next fleet does not reuse their memory.
    std::mem::forget(pickers);
}

/// Returns the cache events of one engine: half are evictions, and 1 % are lost.
fn events(engine: u32, count: u64) -> CacheEventPage {
    let engine_hash = |hash: u64| (u64::from(engine) << 32) | hash;
    let event = |number: u64| {
        let (kind, hash) = match number % 2 {
            0 => (CacheEventKind::Stored, number),
            _ => (CacheEventKind::Evicted, number / 2),
        };
        CacheEvent {
            sequence: number + 1,
            kind,
            prefix_hash: engine_hash(hash),
        }
    };
    let kept = (0..count).filter(|number| number % 100 != 99);
    CacheEventPage {
        incarnation: Incarnation(1),
        events: kept.map(event).collect(),
    }
}

fn prefixes() {
    const EVENTS: u64 = 20_000;
    const READERS: u32 = 80;
    let pages: Vec<CacheEventPage> = (0..READERS).map(|engine| events(engine, EVENTS)).collect();
    let mut picker = loaded_picker(READERS);
    let before = resident();
    let begin = Instant::now();
    for (engine, page) in pages.iter().enumerate() {
        picker.observe_cache(BackendId(engine as u32), page);
    }
    let rate = per_second(READERS * EVENTS as u32, begin.elapsed());
    let used = resident().saturating_sub(before);
    let known = picker.indexed_prefixes();
    println!(
        "cache events: {rate:.0} /s; {known} prefixes in {} KiB, {} bytes each, {} KiB an engine",
        used / KIBIBYTE,
        used / known.max(1),
        used / KIBIBYTE / READERS as usize,
    );
}

fn admissions(waiting: u32) {
    let mut admission = Admission::new(AdmissionSettings {
        default_policy: TenantPolicy {
            requests_per_second: 1_000_000,
            burst: 1_000_000,
            max_concurrency: 1_000_000,
            weight: 1,
        },
        ..AdmissionSettings::default()
    });
    let service = ServiceName::from("captions");
    let limits = ServiceLimits {
        max_concurrency: 64,
        max_queue: 2 * waiting + 100,
        queue_timeout: Duration::from_secs(3_600),
    };
    let services = BTreeMap::from([(service.clone(), limits)]);
    admission.configure(Timestamp::ZERO, services, BTreeMap::new());
    let tenants: Vec<TenantId> = (0..TENANTS)
        .map(|number| TenantId(format!("tenant-{number}")))
        .collect();
    let mut running = std::collections::VecDeque::new();
    let mut offered = 0;
    let mut offer = |admission: &mut Admission, now: Timestamp| {
        offered += 1;
        let tenant = &tenants[offered % tenants.len()];
        admission.offer(now, tenant, &service)
    };
    while admission.waiting() < waiting as usize || running.len() < 64 {
        if let Decision::Admitted(ticket) = offer(&mut admission, Timestamp::ZERO) {
            running.push_back(ticket);
        }
    }
    let begin = Instant::now();
    for number in 0..ADMISSIONS {
        let now = Timestamp(u64::from(number));
        if let Some(ticket) = running.pop_front() {
            for output in admission.release(now, ticket, true) {
                if let molespan_routing::admission::AdmissionOutput::Admitted(ticket) = output {
                    running.push_back(ticket);
                }
            }
        }
        if let Decision::Admitted(ticket) = offer(&mut admission, now) {
            running.push_back(ticket);
        }
    }
    let rate = per_second(ADMISSIONS, begin.elapsed());
    println!("admissions and releases, {waiting} waiting: {rate:.0} /s");
}

fn record(node: u32) -> GatewayRecord {
    GatewayRecord {
        node: NodeId(node),
        incarnation: Incarnation(1),
        zone: zone(node),
        draining: false,
    }
}

fn ownership() {
    let mut gateways = GatewaySet::new(GatewaySetSettings::default());
    let begin = Instant::now();
    gateways.update(Timestamp::ZERO, (0..GATEWAYS).map(record).collect());
    println!("set of {GATEWAYS} gateways: {:?}", begin.elapsed());

    let zones: Vec<ZoneName> = (0..ENGINES).map(zone).collect();
    let backends = || (0..ENGINES).map(BackendId).zip(&zones);
    let mut own = Ownership::new(NodeId(5), OwnershipSettings::default());
    own.heartbeat_answered(Timestamp::ZERO);
    let begin = Instant::now();
    own.refresh(Timestamp::ZERO, &gateways, backends());
    println!("owners of {ENGINES} engines: {:?}", begin.elapsed());

    let begin = Instant::now();
    let drained = GatewayRecord {
        draining: true,
        ..record(22)
    };
    gateways.update(Timestamp(1), vec![drained]);
    own.heartbeat_answered(Timestamp(1));
    black_box(own.refresh(Timestamp(1), &gateways, backends()));
    println!("owners after a gateway leaves: {:?}", begin.elapsed());

    let all: Vec<SubsetBackend> = (0..ENGINES)
        .map(|number| SubsetBackend {
            id: BackendId(number),
            zone: zone(number),
        })
        .collect();
    let begin = Instant::now();
    let settings = SubsetSettings::default();
    let mine = subset(NodeId(5), &zone(5), &gateways, &all, &settings);
    println!("subset of {} engines: {:?}", mine.len(), begin.elapsed());
}

fn digests() {
    let digest = LoadDigest {
        backend: BackendId(ENGINES - 1),
        incarnation: Incarnation(1_700_000_000),
        sequence: 1_000_000,
        online: 20,
        batch: 24,
        kv_used: 140,
        step: 120,
        leaving: false,
    };
    let bytes = minicbor::to_vec(&digest).map_or(0, |bytes| bytes.len());
    println!("load digest: {bytes} bytes");
}
