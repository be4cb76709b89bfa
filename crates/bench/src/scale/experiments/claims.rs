//! Claims on requests that may run once.

use minicbor::bytes::ByteVec;
use molespan_state::job::{ClaimRequest, JobCommand, JobMachine, SettleClaim};
use molespan_state::{MemoryPayloadLog, PayloadLog, encode};
use molespan_types::{AttemptId, Digest, GroupId, RunOutcome};

use super::REPEATS;
use super::jobs::measures;
use crate::scale::clock::resident_bytes;
use crate::scale::fleet::tenant_name;
use crate::scale::hollow::{Cluster, Proposal};
use crate::scale::{Recorder, ScaleError};

/// Requests in flight.
const WINDOW: usize = 64;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 1024;

/// Claims and their settlements through three replicas on real disks.
pub(super) fn claims(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let mut cluster = Cluster::start(1)?;
    let mut last = 0;
    run(&mut cluster, &mut last, 512)?;
    for claims in [1_024, 2_048, 4_096] {
        for _ in 0..REPEATS {
            let (_, used) = cluster.measure(|cluster| run(cluster, &mut last, claims))?;
            recorder.note("claims", claims as f64, &measures(&used));
        }
    }
    cluster.stop()?;
    Ok(())
}

fn run(cluster: &mut Cluster, last: &mut u64, count: u64) -> Result<(), ScaleError> {
    let numbers = *last + 1..=*last + count;
    *last += count;
    for stage in [claim, settle] {
        let commands = numbers.clone().map(|number| encode(&stage(number)));
        let group = GroupId(1);
        let requests = commands.map(|command| Proposal { group, command });
        cluster.run(requests.collect(), WINDOW)?;
    }
    Ok(())
}

fn claim(number: u64) -> JobCommand {
    JobCommand::Claim(ClaimRequest {
        tenant: tenant_name(number as u32 % 100),
        key: format!("claim-{number:010}"),
        digest: Digest(number),
        attempt: attempt(number),
    })
}

fn settle(number: u64) -> JobCommand {
    JobCommand::Settle(SettleClaim {
        tenant: tenant_name(number as u32 % 100),
        key: format!("claim-{number:010}"),
        attempt: attempt(number),
        outcome: RunOutcome::Completed,
        answer: ByteVec::from(vec![b'a'; ANSWER_BYTES]),
    })
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { node: 1, sequence }
}

/// Memory and snapshot of a group by its settled claims.
pub(super) fn claim_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const STEP: u64 = 40_000;
    let mut payloads = MemoryPayloadLog::default();
    let mut machine = JobMachine::new();
    for step in 1..=5 {
        for number in (step - 1) * STEP..step * STEP {
            for command in [claim(number), settle(number)] {
                let reply = machine.apply(&command, &mut payloads);
                reply.map_err(ScaleError::unexpected)?;
            }
        }
        let log = payloads.length() as f64;
        let measures = [
            ("resident_bytes", resident_bytes()? as f64 - log),
            ("snapshot_bytes", machine.snapshot().len() as f64),
            ("payload_log_bytes", log),
        ];
        recorder.note("claims", (step * STEP) as f64, &measures);
    }
    Ok(())
}
