//! Memory usage of 100,000 items, running and finished.

use std::error::Error;
use std::time::Instant;

use minicbor::bytes::ByteVec;
use molespan_state::job::{
    AppendItems, BeginJob, ItemOutcome, ItemResult, JobCommand, JobMachine, JobReply, LeaseRequest,
};
use molespan_storage::{FilePayloadLog, RealDisk, SnapshotStore};
use molespan_types::{BackendId, Digest, GroupId, ItemIndex, JobId, NodeId, ServiceName, TenantId};

const ITEMS: u32 = 100_000;
const JOBS: u32 = 20;
const BATCH: u32 = 500;
const PAGE_BYTES: u64 = 4_096;

/// A job group and its payload log.
struct Group {
    machine: JobMachine,
    payloads: FilePayloadLog<RealDisk>,
    sequence: u64,
}

pub fn measure() -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let disk = RealDisk::open(folder.path())?;
    let mut group = Group {
        machine: JobMachine::new(),
        payloads: FilePayloadLog::open(disk, GroupId(1), 0)?,
        sequence: 0,
    };
    // A first job excludes one-time buffer allocations from the measurement.
    group.submit(JOBS)?;
    group.run_all()?;
    let before = resident_bytes();
    for job in 0..JOBS {
        group.submit(job)?;
    }
    let submitted = resident_bytes();
    report("running", before, submitted, &group);
    report_snapshot(&group)?;
    group.run_all()?;
    report("finished", before, resident_bytes(), &group);
    Ok(())
}

fn report(what: &str, before: Option<u64>, after: Option<u64>, group: &Group) {
    let snapshot = group.machine.snapshot().len() as f64 / f64::from(JOBS);
    let resident = match (before, after) {
        (Some(before), Some(after)) => {
            let grown = after.saturating_sub(before) as f64 / f64::from(JOBS);
            format!("{grown:.0} resident bytes")
        }
        _ => "resident bytes not available".to_owned(),
    };
    println!(
        "{what}: {resident} and {snapshot:.0} bytes of snapshot for each {ITEMS} items ({JOBS} jobs)"
    );
}

/// Measures how long writing a snapshot of this state machine blocks a replica.
fn report_snapshot(group: &Group) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let store = SnapshotStore::open(RealDisk::open(folder.path())?, GroupId(1))?;
    let started = Instant::now();
    let bytes = group.machine.snapshot();
    let encoded = started.elapsed();
    store.save(1, b"header", &bytes)?;
    let saved = started.elapsed();
    let read = Instant::now();
    JobMachine::restore(&bytes)?;
    println!(
        "snapshot of {} running items: {} bytes, encoded in {encoded:.0?}, durable in {saved:.0?}, restored in {:.0?}",
        ITEMS * JOBS,
        bytes.len(),
        read.elapsed()
    );
    Ok(())
}

/// Returns the resident memory of this process in bytes, if available.
fn resident_bytes() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

impl Group {
    fn apply(&mut self, command: impl Into<JobCommand>) -> Result<JobReply, Box<dyn Error>> {
        let reply = self.machine.apply(&command.into(), &mut self.payloads)?;
        self.payloads.flush()?;
        Ok(reply)
    }

    fn submit(&mut self, number: u32) -> Result<(), Box<dyn Error>> {
        let tenant = TenantId::from("archive");
        let key = format!("job {number}");
        let job = JobId::from_key(&tenant, &key);
        self.apply(BeginJob {
            job,
            tenant,
            key,
            digest: Digest(1),
            service: ServiceName::from("captions"),
            item_count: ITEMS,
            repeatable: true,
            deadline_unix_seconds: 0,
        })?;
        for first in (0..ITEMS).step_by(BATCH as usize) {
            self.apply(AppendItems {
                job,
                first: ItemIndex(first),
                inputs: vec![ByteVec::from(vec![b'i'; 100]); BATCH as usize],
            })?;
        }
        self.apply(JobCommand::Accept { job })?;
        Ok(())
    }

    fn run_all(&mut self) -> Result<(), Box<dyn Error>> {
        loop {
            self.sequence += 1;
            let request = LeaseRequest {
                owner: NodeId(1),
                owner_incarnation: 1,
                sequence: self.sequence,
                service: ServiceName::from("captions"),
                backend: BackendId(1),
                max_items: BATCH,
            };
            let JobReply::Leased(Some(lease)) = self.apply(request)? else {
                return Ok(());
            };
            let results = lease.items.iter().map(|leased| ItemResult {
                item: leased.item,
                outcome: ItemOutcome::Completed,
                payload: ByteVec::from(vec![b'r'; 100]),
            });
            let results = results.collect();
            let lease = lease.lease;
            self.apply(JobCommand::Record { lease, results })?;
        }
    }
}
