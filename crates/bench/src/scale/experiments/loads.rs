//! Load reports of engines, digests between gateways, and notices of online
//! arrivals.

use std::hint::black_box;

use molespan_emulator::engine::{EngineCore, EngineModel, EngineSettings};
use molespan_engine_api::LoadReport;
use molespan_routing::batch::{BatchInput, BatchOwner, BatchSettings, Foreign, OwnedEngine};
use molespan_routing::pick::{Candidate, LoadSample, PickSettings, Picker};
use molespan_types::{BackendId, NodeId, Timestamp};
use molespan_wire::{
    DEFAULT_MAX_FRAME_BYTES, Envelope, FrameDecoder, LoadDigest, OnlineArrival, Request,
};

use super::nodes::frame;
use super::{REPEATS, micros};
use crate::scale::clock::time_per_call;
use crate::scale::fleet::{incarnation, service_name, zone_of};
use crate::scale::{Recorder, ScaleError};

/// Tenths of a millisecond, the unit of a digest's step.
const STEP_UNIT_MICROS: u64 = 100;

/// A message with load digests, by the number of digests in it.
pub(super) fn digest(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for digests in [1_u32, 2, 4, 8, 16, 32] {
        let bytes = frame(&message(digests, 1_000_000));
        let mut picker = picker_of(digests);
        let mut sequence = 1_000_000;
        for _ in 0..REPEATS {
            let write = time_per_call(|| {
                black_box(frame(&message(digests, 1_000_000)));
            })?;
            let read = time_per_call(|| {
                sequence += 1;
                receive(&mut picker, &bytes, sequence);
            })?;
            let measures = [
                ("bytes", bytes.len() as f64),
                ("encode_us", micros(write)),
                ("decode_and_observe_us", micros(read)),
            ];
            recorder.note("digests", f64::from(digests), &measures);
        }
    }
    Ok(())
}

fn message(digests: u32, sequence: u64) -> Envelope {
    let digest = |number| LoadDigest {
        backend: BackendId(number * 1000),
        incarnation: incarnation(),
        sequence,
        online: 30,
        batch: 40,
        kv_used: 200,
        step: 300,
        leaving: false,
    };
    Envelope::OneWay(Request::Loads {
        from: NodeId(1000),
        digests: (0..digests).map(digest).collect(),
    })
}

fn picker_of(engines: u32) -> Picker {
    let mut picker = Picker::new(zone_of(1), PickSettings::default(), 1);
    let candidate = |number| Candidate {
        backend: BackendId(number * 1000),
        incarnation: incarnation(),
        zone: zone_of(number),
        suspect: false,
    };
    picker.set_engines((0..engines).map(candidate).collect());
    picker
}

/// Reads a frame and hands its digests to engine choice.
fn receive(picker: &mut Picker, bytes: &[u8], sequence: u64) {
    let mut decoder = FrameDecoder::new(DEFAULT_MAX_FRAME_BYTES);
    decoder.push(bytes);
    if let Ok(Some(Envelope::OneWay(Request::Loads { digests, .. }))) = decoder.next_message() {
        for digest in digests {
            picker.observe_load(sample(&digest, sequence));
        }
    }
}

fn sample(digest: &LoadDigest, sequence: u64) -> LoadSample {
    LoadSample {
        backend: digest.backend,
        incarnation: digest.incarnation,
        sequence,
        observed: Timestamp::from_millis(sequence),
        online: u32::from(digest.online),
        online_waiting: 0,
        batch: u32::from(digest.batch),
        batch_running: u32::from(digest.batch),
        max_running: 0,
        kv_used: f64::from(digest.kv_used) / f64::from(u8::MAX),
        step: std::time::Duration::from_micros(u64::from(digest.step) * STEP_UNIT_MICROS),
    }
}

/// The load reports of hollow engines at their owner.
pub(super) fn report(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for engines in [5_u32, 10, 20, 40] {
        let reports = hollow_reports(engines);
        let bytes: usize = reports.iter().map(Vec::len).sum();
        let mut picker = picker_of(engines);
        for _ in 0..REPEATS {
            let time = time_per_call(|| {
                for json in &reports {
                    let parsed: Result<LoadReport, _> = serde_json::from_slice(json);
                    if let Ok(report) = parsed {
                        let at = Timestamp::from_millis(1);
                        picker.observe_load(LoadSample::from_report(&report, at));
                    }
                }
            })?;
            let measures = [
                ("json_bytes", bytes as f64),
                ("parse_and_observe_us", micros(time)),
            ];
            recorder.note("engines", f64::from(engines), &measures);
        }
    }
    Ok(())
}

/// The reports of that many hollow engines, as JSON.
fn hollow_reports(engines: u32) -> Vec<Vec<u8>> {
    let report = |number| {
        let settings = EngineSettings {
            backend: BackendId(number * 1000),
            incarnation: incarnation(),
            model: EngineModel::archive(),
            models: vec!["model-01".to_owned()],
        };
        let mut engine = EngineCore::new(settings, u64::from(number), Timestamp::ZERO);
        let report = engine.load_report(Timestamp::from_millis(500));
        serde_json::to_vec(&report).unwrap_or_default()
    };
    (0..engines).map(report).collect()
}

/// Notices of online arrivals at the owner of the engine.
pub(super) fn notice(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let notice = frame(&Envelope::OneWay(Request::OnlineArrival(OnlineArrival {
        from: NodeId(1000),
        backend: BackendId(9000),
        in_flight: 3,
        prompt_tokens: 900,
    })));
    let mut owner = BatchOwner::new(BatchSettings::default(), 50);
    let engine = OwnedEngine {
        backend: BackendId(9000),
        incarnation: incarnation(),
        service: service_name(1),
    };
    owner.handle(Timestamp::from_millis(1), BatchInput::Acquired(engine));
    let mut now = 1;
    for notices in [50_u32, 100, 200] {
        for _ in 0..REPEATS {
            let time = time_per_call(|| {
                for _ in 0..notices {
                    now += 1;
                    take_notice(&mut owner, Timestamp::from_millis(now), &notice);
                }
            })?;
            let bytes = notice.len() as f64 * f64::from(notices);
            let measures = [("bytes", bytes), ("decode_and_handle_us", micros(time))];
            recorder.note("notices", f64::from(notices), &measures);
        }
    }
    Ok(())
}

fn take_notice(owner: &mut BatchOwner, now: Timestamp, bytes: &[u8]) {
    let mut decoder = FrameDecoder::new(DEFAULT_MAX_FRAME_BYTES);
    decoder.push(bytes);
    if let Ok(Some(Envelope::OneWay(Request::OnlineArrival(arrival)))) = decoder.next_message() {
        let foreign = Foreign {
            from: arrival.from,
            backend: arrival.backend,
            in_flight: arrival.in_flight,
            prompt_tokens: arrival.prompt_tokens,
        };
        black_box(owner.handle(now, BatchInput::Foreign(foreign)));
    }
}
