//! Admission and engine choice at a gateway.

use std::hint::black_box;
use std::time::Duration;

use molespan_routing::admission::{
    Admission, AdmissionSettings, Decision, ServiceLimits, TenantPolicy,
};
use molespan_routing::pick::{
    Candidate, Finish, LoadSample, PickRequest, PickSettings, Picker, PrefixSettings,
};
use molespan_types::{BackendId, TenantId, Timestamp};

use super::{REPEATS, micros};
use crate::scale::clock::{resident_bytes, time_per_call};
use crate::scale::fleet::{incarnation, service_name, tenant_name, zone_of};
use crate::scale::{Recorder, ScaleError};

/// Blocks of a prompt whose hashes are looked up.
const PROMPT_BLOCKS: u64 = 16;
/// Microseconds between two requests of the measured loop.
const REQUEST_INTERVAL_MICROS: u64 = 1_000;

/// One online request through engine choice, by the engines in the subset.
pub(super) fn pick(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for engines in [16_u32, 32, 64, 128, 256] {
        let mut picker = loaded_picker(engines);
        let mut request = 0;
        for _ in 0..REPEATS {
            let time = time_per_call(|| {
                request += 1;
                one_request(&mut picker, request);
            })?;
            recorder.note("engines", f64::from(engines), &[("pick_us", micros(time))]);
        }
    }
    Ok(())
}

/// A picker whose engines have all reported.
fn loaded_picker(engines: u32) -> Picker {
    let mut picker = Picker::new(zone_of(1), PickSettings::default(), 1);
    let candidate = |number: u32| Candidate {
        backend: BackendId(number),
        incarnation: incarnation(),
        // Four in five stand in the gateway's own zone, as in a subset.
        zone: if number.is_multiple_of(5) {
            zone_of(2)
        } else {
            zone_of(1)
        },
        suspect: false,
    };
    picker.set_engines((0..engines).map(candidate).collect());
    for number in 0..engines {
        picker.observe_load(LoadSample {
            backend: BackendId(number),
            incarnation: incarnation(),
            sequence: 1,
            observed: Timestamp::from_millis(1),
            online: number % 4,
            online_waiting: 0,
            batch: 0,
            batch_running: 0,
            max_running: 32,
            kv_used: 0.5,
            step: Duration::from_millis(10),
        });
    }
    picker
}

/// Chooses an engine for a request, starts and ends it there.
fn one_request(picker: &mut Picker, request: u64) {
    let now = Timestamp(1_000 + request * REQUEST_INTERVAL_MICROS);
    let prompt = request % 64;
    let hashes: Vec<u64> = (0..PROMPT_BLOCKS)
        .map(|block| prompt << 8 | block)
        .collect();
    let wanted = PickRequest {
        prefix_hashes: &hashes,
        exclude: &[],
    };
    if let Ok(pick) = picker.pick(now, wanted) {
        picker.started(now, pick.backend, &hashes);
        let first_byte = Duration::from_millis(20);
        picker.finished(now, pick.backend, now, Finish::Answered { first_byte });
        black_box(pick);
    }
}

/// Memory of engine choice by the engines known.
pub(super) fn picker_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let mut pickers = Vec::new();
    const ENGINES: u32 = 1_000;
    const ROUNDS: u32 = 20;
    for round in 1..=4 {
        for _ in 0..ROUNDS {
            pickers.push(loaded_picker(ENGINES));
        }
        let engines = f64::from(round * ROUNDS * ENGINES);
        recorder.note(
            "engines",
            engines,
            &[("resident_bytes", resident_bytes()? as f64)],
        );
    }
    Ok(())
}

/// Memory of the prefix index by the prefixes in it.
pub(super) fn prefix_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const STEP: u64 = 60_000;
    let settings = PickSettings {
        prefix: PrefixSettings {
            most_prefixes: usize::MAX / 4,
            ..PrefixSettings::default()
        },
        ..PickSettings::default()
    };
    let mut picker = Picker::new(zone_of(1), settings, 1);
    let candidate = Candidate {
        backend: BackendId(1),
        incarnation: incarnation(),
        zone: zone_of(1),
        suspect: false,
    };
    picker.set_engines(vec![candidate]);
    for round in 1..=5 {
        for hash in (round - 1) * STEP..round * STEP {
            let now = Timestamp(hash);
            let spread = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            picker.started(now, BackendId(1), &[spread]);
            picker.finished(now, BackendId(1), now, Finish::Other);
        }
        let prefixes = picker.indexed_prefixes() as f64;
        recorder.note(
            "prefixes",
            prefixes,
            &[("resident_bytes", resident_bytes()? as f64)],
        );
    }
    Ok(())
}

/// One request through admission, by the tenants that are active.
pub(super) fn admission(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for tenants in [150, 300, 600, 1200] {
        let mut admission = admission_of(tenants);
        let names: Vec<TenantId> = (0..tenants).map(tenant_name).collect();
        let service = service_name(1);
        let mut request = 0;
        for _ in 0..REPEATS {
            let time = time_per_call(|| {
                request += 1;
                let now = Timestamp(request * REQUEST_INTERVAL_MICROS);
                let tenant = &names[request as usize % names.len()];
                let decision = admission.offer(now, tenant, &service);
                if let Decision::Admitted(ticket) = decision {
                    black_box(admission.release(now, ticket, true));
                }
            })?;
            let tick = time_per_call(|| {
                request += 1;
                let now = Timestamp(request * REQUEST_INTERVAL_MICROS);
                black_box(admission.tick(now));
            })?;
            let measures = [("request_us", micros(time)), ("tick_us", micros(tick))];
            recorder.note("tenants", f64::from(tenants), &measures);
        }
    }
    Ok(())
}

fn admission_of(tenants: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    let limits = ServiceLimits {
        max_concurrency: 512,
        max_queue: 1024,
        queue_timeout: Duration::from_secs(2),
    };
    let policy = |number| (tenant_name(number), TenantPolicy::default());
    admission.configure(
        Timestamp::from_millis(1),
        [(service_name(1), limits)].into(),
        (0..tenants).map(policy).collect(),
    );
    admission
}

/// Memory of admission by the tenants that it knows and tracks.
pub(super) fn admission_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const TENANTS: u32 = 1_200;
    const ROUNDS: u32 = 20;
    let mut kept = Vec::new();
    for round in 1..=4 {
        for _ in 0..ROUNDS {
            let mut admission = admission_of(TENANTS);
            for number in 0..TENANTS {
                let now = Timestamp::from_millis(2);
                admission.offer(now, &tenant_name(number), &service_name(1));
            }
            kept.push(admission);
        }
        let tenants = f64::from(round * ROUNDS * TENANTS);
        recorder.note(
            "tenants",
            tenants,
            &[("resident_bytes", resident_bytes()? as f64)],
        );
    }
    Ok(())
}
