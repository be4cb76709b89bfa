//! Machine list, ownership and subsets.

use std::hint::black_box;

use molespan_engine_api::MachineList;
use molespan_membership::{
    BackendReport, Directory, DirectoryInput, DirectorySettings, Ownership, OwnershipSettings,
    SubsetBackend, SubsetSettings, subset,
};
use molespan_types::{BackendId, NodeId, Timestamp, ZoneName};

use super::{REPEATS, micros};
use crate::scale::clock::{resident_bytes, time_per_call};
use crate::scale::fleet::{SERVICES, gateway_set, incarnation, machine_list as list_of, zone_of};
use crate::scale::{Recorder, ScaleError};

/// Steps of the number of engines.
const ENGINES: [u32; 4] = [1_000, 2_500, 5_000, 10_000];
/// Gateways at the size that the design is meant for.
const GATEWAYS: u32 = 1_800;
/// Time at which everything happens; nothing here waits.
const NOW: Timestamp = Timestamp::from_millis(1);

/// The platform's machine list at a node: bytes, reading and merging.
pub(super) fn machine_list(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for machines in ENGINES {
        let list = list_of(machines, 1);
        let json = serde_json::to_vec(&list).unwrap_or_default();
        let mut directory = Directory::new(DirectorySettings::default());
        directory.handle(NOW, DirectoryInput::List(list.clone()));
        report_all(&mut directory, machines);
        for _ in 0..REPEATS {
            let parse = time_per_call(|| {
                let parsed: Result<MachineList, _> = serde_json::from_slice(&json);
                let _parsed = black_box(parsed);
            })?;
            let merge = time_per_call(|| {
                black_box(directory.handle(NOW, DirectoryInput::List(list.clone())));
            })?;
            let tick = time_per_call(|| {
                black_box(directory.handle(NOW, DirectoryInput::Tick));
            })?;
            let measures = [
                ("json_bytes", json.len() as f64),
                ("parse_us", micros(parse)),
                ("merge_us", micros(merge)),
                ("tick_us", micros(tick)),
            ];
            recorder.note("machines", f64::from(machines), &measures);
        }
    }
    Ok(())
}

/// Tells the directory that every machine is well.
fn report_all(directory: &mut Directory, machines: u32) {
    for number in 0..machines {
        let report = BackendReport {
            backend: BackendId(number),
            incarnation: incarnation(),
            leaving: false,
            loaded: None,
        };
        directory.handle(NOW, DirectoryInput::Report(report));
    }
}

/// Memory of the directory by the machines in it.
pub(super) fn directory_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const DIRECTORIES: u32 = 4;
    let mut directories = Vec::new();
    for round in 1..=DIRECTORIES {
        let mut directory = Directory::new(DirectorySettings::default());
        let machines = ENGINES[ENGINES.len() - 1];
        directory.handle(NOW, DirectoryInput::List(list_of(machines, 1)));
        report_all(&mut directory, machines);
        directories.push(directory);
        let measures = [("resident_bytes", resident_bytes()? as f64)];
        recorder.note("machines", f64::from(round * machines), &measures);
    }
    Ok(())
}

/// Recomputing who owns which engine, by the number of engines.
pub(super) fn ownership_engines(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for engines in ENGINES {
        for _ in 0..REPEATS {
            let time = refresh_time(GATEWAYS, engines)?;
            recorder.note("engines", f64::from(engines), &[("refresh_us", time)]);
        }
    }
    Ok(())
}

/// The same by the number of gateways.
pub(super) fn ownership_gateways(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for gateways in [450, 900, 1800] {
        for _ in 0..REPEATS {
            let time = refresh_time(gateways, ENGINES[ENGINES.len() - 1])?;
            recorder.note("gateways", f64::from(gateways), &[("refresh_us", time)]);
        }
    }
    Ok(())
}

/// Microseconds of one recomputation.
fn refresh_time(gateways: u32, engines: u32) -> Result<f64, ScaleError> {
    let set = gateway_set(gateways);
    let zones: Vec<ZoneName> = (0..engines).map(zone_of).collect();
    let mut ownership = Ownership::new(NodeId(1), OwnershipSettings::default());
    ownership.heartbeat_answered(NOW);
    let time = time_per_call(|| {
        let backends = zones.iter().enumerate();
        let backends = backends.map(|(number, zone)| (BackendId(number as u32), zone));
        black_box(ownership.refresh(NOW, &set, backends));
    })?;
    Ok(micros(time))
}

/// The engines of one service that a gateway routes to: the time to work them
/// out, how many they are, and how many gateways reach one engine.
pub(super) fn subset_of_engines(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const SAMPLED_GATEWAYS: u32 = 36;
    let set = gateway_set(GATEWAYS);
    let settings = SubsetSettings::default();
    for engines in ENGINES {
        let of_service = engines / SERVICES;
        let backends: Vec<SubsetBackend> = (0..of_service).map(backend).collect();
        let mut chosen = 0;
        for node in (0..GATEWAYS).step_by((GATEWAYS / SAMPLED_GATEWAYS) as usize) {
            chosen += subset(NodeId(node), &zone_of(node), &set, &backends, &settings).len();
        }
        let mean = chosen as f64 / f64::from(SAMPLED_GATEWAYS);
        for _ in 0..REPEATS {
            let time = time_per_call(|| {
                black_box(subset(NodeId(1), &zone_of(1), &set, &backends, &settings));
            })?;
            let measures = [
                ("compute_us", micros(time)),
                ("engines_per_gateway", mean),
                (
                    "gateways_per_engine",
                    mean * f64::from(GATEWAYS) / f64::from(of_service),
                ),
            ];
            recorder.note("engines_of_service", f64::from(of_service), &measures);
        }
    }
    Ok(())
}

fn backend(number: u32) -> SubsetBackend {
    SubsetBackend {
        id: BackendId(number),
        zone: zone_of(number),
    }
}
