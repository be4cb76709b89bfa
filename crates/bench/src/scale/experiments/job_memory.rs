//! The memory that jobs take in a group, without replicas.

use minicbor::bytes::ByteVec;
use molespan_state::job::{ItemOutcome, ItemResult, JobCommand, JobMachine, LeaseRequest};
use molespan_state::{MemoryPayloadLog, PayloadError, PayloadLocation, PayloadLog};
use molespan_types::{BackendId, ItemIndex, LeaseId, NodeId};

use super::jobs::{APPENDED_AT_ONCE, append, begin};
use crate::scale::clock::resident_bytes;
use crate::scale::fleet::{incarnation, service_name};
use crate::scale::{Recorder, ScaleError};

/// A payload log that keeps nothing but its length.
#[derive(Default)]
struct LengthOnlyLog {
    length: u64,
}

impl PayloadLog for LengthOnlyLog {
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError> {
        let offset = self.length;
        self.length += payload.len() as u64;
        let length = payload.len() as u32;
        Ok(PayloadLocation { offset, length })
    }

    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError> {
        Ok(vec![0; location.length as usize])
    }

    fn length(&self) -> u64 {
        self.length
    }
}

/// Memory and snapshot of a group by the items of its running jobs.
pub(super) fn running_items(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const JOB_ITEMS: u32 = 20_000;
    const JOBS_A_STEP: u32 = 40;
    let mut payloads = LengthOnlyLog::default();
    let mut machine = JobMachine::new();
    for step in 1..=4 {
        for number in (step - 1) * JOBS_A_STEP..step * JOBS_A_STEP {
            submit_here(&mut machine, &mut payloads, number, JOB_ITEMS)?;
        }
        let resident = resident_bytes()? as f64;
        let snapshot = machine.snapshot().len() as f64;
        let measures = [("resident_bytes", resident), ("snapshot_bytes", snapshot)];
        recorder.note(
            "items",
            f64::from(step * JOBS_A_STEP * JOB_ITEMS),
            &measures,
        );
    }
    Ok(())
}

/// Submits a job to a machine without replicas.
fn submit_here(
    machine: &mut JobMachine,
    payloads: &mut dyn PayloadLog,
    number: u32,
    items: u32,
) -> Result<(), ScaleError> {
    let begin = begin(number, items);
    let job = begin.job;
    let mut commands: Vec<JobCommand> = vec![begin.into()];
    for first in (0..items).step_by(APPENDED_AT_ONCE as usize) {
        commands.push(append(job, first, items).into());
    }
    commands.push(JobCommand::Accept { job });
    for command in commands {
        let reply = machine.apply(&command, payloads);
        reply.map_err(ScaleError::unexpected)?;
    }
    Ok(())
}

/// Memory and snapshot of a group by its finished jobs of one item each.
pub(super) fn finished_jobs(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const STEP: u32 = 50_000;
    let mut payloads = MemoryPayloadLog::default();
    let mut machine = JobMachine::new();
    for step in 1..=4 {
        for number in (step - 1) * STEP..step * STEP {
            submit_here(&mut machine, &mut payloads, number, 1)?;
            finish_here(&mut machine, &mut payloads, u64::from(number) + 1)?;
        }
        let log = payloads.length() as f64;
        // The payload log lies on disk in a replica; here it is in memory.
        let resident = resident_bytes()? as f64 - log;
        let snapshot = machine.snapshot().len() as f64;
        let measures = [
            ("resident_bytes", resident),
            ("snapshot_bytes", snapshot),
            ("payload_log_bytes", log),
        ];
        recorder.note("jobs", f64::from(step * STEP), &measures);
    }
    Ok(())
}

/// Runs the one item that waits.
fn finish_here(
    machine: &mut JobMachine,
    payloads: &mut dyn PayloadLog,
    number: u64,
) -> Result<(), ScaleError> {
    let request = LeaseRequest {
        owner: NodeId(100),
        owner_incarnation: incarnation().0,
        sequence: number,
        service: service_name(1),
        backend: BackendId(1),
        max_items: 1,
    };
    let lease = JobCommand::Lease(request);
    machine
        .apply(&lease, payloads)
        .map_err(ScaleError::unexpected)?;
    let result = ItemResult {
        item: ItemIndex(0),
        outcome: ItemOutcome::Completed,
        payload: ByteVec::from(vec![b'a'; 16]),
    };
    let record = JobCommand::Record {
        lease: LeaseId(number),
        results: vec![result],
    };
    machine
        .apply(&record, payloads)
        .map_err(ScaleError::unexpected)?;
    Ok(())
}
