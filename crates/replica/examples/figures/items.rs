//! Throughput of batch items over their whole lifecycle: submitted, leased to
//! owners, recorded with a result.

use std::collections::VecDeque;
use std::error::Error;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use minicbor::bytes::ByteVec;
use molespan_state::job::{
    AppendItems, BeginJob, GrantedLease, ItemOutcome, ItemResult, JobCommand, JobReply,
    LeaseRequest,
};
use molespan_types::{
    BackendId, Digest, GroupId, ItemIndex, JobId, LeaseId, NodeId, ServiceName, TenantId,
};

use crate::fleet::{Client, Fleet, reply};
use crate::process::Answer;

const ITEMS: u32 = 110_000;
const INPUT_BYTES: usize = 300;
const RESULT_BYTES: usize = 400;
/// Items per append and per lease.
const BATCH: u32 = 256;
/// Results per record command.
const RECORD_ITEMS: usize = 64;
/// Appends in flight.
const CONCURRENT_APPENDS: usize = 8;
/// Owners that lease and record concurrently, each with one request in flight.
const OWNERS: u32 = 16;

pub fn measure() -> Result<(), Box<dyn Error>> {
    for groups in [1_u32, 4] {
        let fleet = Fleet::start(|settings| settings.job_groups = 4)?;
        let started = Instant::now();
        let mut threads = Vec::new();
        for group in 1..=groups {
            let client = fleet.client(GroupId(group))?;
            threads.push(std::thread::spawn(move || {
                run_job(&client, group).map_err(|error| error.to_string())
            }));
        }
        for thread in threads {
            let run = thread.join().map_err(|_| "a client panicked")?;
            let times = run.inspect_err(|_| {
                println!("longest poll of a replica: {:.0?}", fleet.longest_poll());
            })?;
            if groups == 1 {
                report("submission", times.submission);
                report("lease and record", times.running);
            }
        }
        let rate = f64::from(ITEMS * groups) / started.elapsed().as_secs_f64();
        println!("{groups} group(s): {rate:.0} items/s through their whole life");
        report_load(&fleet, groups)?;
        println!("  longest poll of a replica: {:.0?}", fleet.longest_poll());
    }
    Ok(())
}

/// Reports the commands per sync and the payload bytes per item on the leader of the
/// first group.
fn report_load(fleet: &Fleet, groups: u32) -> Result<(), Box<dyn Error>> {
    let leader = fleet.wait_for_leader(GroupId(1))?;
    let status = fleet.status(leader).ok_or("no status")?;
    let commands: u64 = status.groups.iter().map(|group| group.applied).sum();
    let payload: u64 = status.groups.iter().map(|group| group.payload_bytes).sum();
    println!(
        "  {:.1} commands per sync, {:.0} payload bytes per item",
        commands as f64 / status.log_syncs as f64,
        payload as f64 / f64::from(ITEMS * groups)
    );
    Ok(())
}

fn report(what: &str, took: Duration) {
    let rate = f64::from(ITEMS) / took.as_secs_f64();
    println!("{what}: {rate:.0} items/s ({ITEMS} items in {took:.2?})");
}

/// Durations of the phases of a job.
pub struct Times {
    submission: Duration,
    running: Duration,
}

/// Submits a job and runs all of its items.
pub fn run_job(client: &Client, number: u32) -> Result<Times, Box<dyn Error>> {
    let started = Instant::now();
    submit(client, number)?;
    let submission = started.elapsed();
    let started = Instant::now();
    run_items(client)?;
    let running = started.elapsed();
    Ok(Times {
        submission,
        running,
    })
}

fn send(client: &Client, command: impl Into<JobCommand>) -> Receiver<Answer> {
    client.propose(molespan_state::encode(&command.into()))
}

fn result_of(answer: &Receiver<Answer>) -> Result<JobReply, Box<dyn Error>> {
    Ok(molespan_state::decode(&reply(answer)?)?)
}

fn submit(client: &Client, number: u32) -> Result<(), Box<dyn Error>> {
    let tenant = TenantId::from("archive");
    let key = format!("job {number}");
    let job = JobId::from_key(&tenant, &key);
    let begin = BeginJob {
        job,
        tenant,
        key,
        digest: Digest(1),
        service: ServiceName::from("captions"),
        item_count: ITEMS,
        repeatable: true,
        deadline_unix_seconds: 0,
    };
    result_of(&send(client, begin))?;
    let mut in_flight = VecDeque::new();
    for first in (0..ITEMS).step_by(BATCH as usize) {
        let count = BATCH.min(ITEMS - first) as usize;
        let append = AppendItems {
            job,
            first: ItemIndex(first),
            inputs: vec![ByteVec::from(vec![b'i'; INPUT_BYTES]); count],
        };
        in_flight.push_back(send(client, append));
        if in_flight.len() >= CONCURRENT_APPENDS
            && let Some(oldest) = in_flight.pop_front()
        {
            result_of(&oldest)?;
        }
    }
    for answer in in_flight {
        result_of(&answer)?;
    }
    result_of(&send(client, JobCommand::Accept { job }))?;
    Ok(())
}

/// The request an owner is waiting for.
enum Step {
    Lease(Receiver<Answer>),
    Record(GrantedLease, Receiver<Answer>),
}

/// Leases and records items with all owners until none are left.
fn run_items(client: &Client) -> Result<(), Box<dyn Error>> {
    let mut sequences = vec![0; OWNERS as usize];
    let mut steps: VecDeque<(u32, Step)> = (0..OWNERS)
        .map(|owner| (owner, ask(client, owner, &mut sequences)))
        .collect();
    while let Some((owner, step)) = steps.pop_front() {
        let next = match step {
            Step::Lease(answer) => match result_of(&answer)? {
                JobReply::Leased(Some(lease)) => Some(record(client, lease)),
                JobReply::Leased(None) => None,
                other => return Err(format!("{other:?}").into()),
            },
            Step::Record(lease, answer) => {
                result_of(&answer)?;
                match lease.items.is_empty() {
                    true => Some(ask(client, owner, &mut sequences)),
                    false => Some(record(client, lease)),
                }
            }
        };
        steps.extend(next.map(|step| (owner, step)));
    }
    Ok(())
}

fn ask(client: &Client, owner: u32, sequences: &mut [u64]) -> Step {
    let sequence = &mut sequences[owner as usize];
    *sequence += 1;
    let request = LeaseRequest {
        owner: NodeId(owner),
        owner_incarnation: 1,
        sequence: *sequence,
        service: ServiceName::from("captions"),
        backend: BackendId(owner),
        max_items: BATCH,
    };
    Step::Lease(send(client, request))
}

/// Records the next results of a lease.
fn record(client: &Client, mut lease: GrantedLease) -> Step {
    let count = RECORD_ITEMS.min(lease.items.len());
    let items = lease.items.drain(..count);
    let results = items.map(|leased| ItemResult {
        item: leased.item,
        outcome: ItemOutcome::Completed,
        payload: ByteVec::from(vec![b'r'; RESULT_BYTES]),
    });
    let results = results.collect();
    let id: LeaseId = lease.lease;
    let command = JobCommand::Record { lease: id, results };
    Step::Record(lease, send(client, command))
}
