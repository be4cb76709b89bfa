//! Memory bounds, measured by the size of the encoded machine; payloads are in the payload
//! log.

mod support;

use molespan_state::job::{ClaimReply, JobPhase};
use molespan_types::RunOutcome;
use support::{Group, positions, result, settle, submission};

/// Number of items of the largest job.
const ITEMS: u32 = 110_000;
/// Maximum size of an item of a running job in memory, in bytes.
const BYTES_PER_RUNNING_ITEM: usize = 16;
/// Maximum size of a finished job in bytes, independent of its number of items.
const BYTES_PER_FINISHED_JOB: usize = 64;
/// Maximum size of other state, such as owners and shares, in bytes.
const OTHER_BYTES: usize = 1 << 10;
/// Maximum size of the newest settled claims before they are archived, in bytes.
const BYTES_OF_RECENT_CLAIMS: usize = 512 << 10;
/// Maximum size of a thousand archived claims in memory, in bytes.
const BYTES_PER_THOUSAND_ARCHIVED_CLAIMS: usize = 1_000;

fn machine_bytes(group: &Group) -> usize {
    group.machine.snapshot().len()
}

/// Runs every item of all submitted jobs; `sequence` is the number of the last lease
/// request.
fn run_all(group: &mut Group, sequence: &mut u64) {
    loop {
        *sequence += 1;
        let Some(lease) = group.try_lease(support::request(1, *sequence, 1_000)) else {
            return;
        };
        let results = positions(&lease)
            .into_iter()
            .map(|item| result(item, "text"));
        let results = results.collect();
        group.record(lease.lease, results);
    }
}

#[test]
fn largest_job_has_bounded_memory() {
    let mut group = Group::default();
    let job = group.submit(&submission("large", ITEMS));
    let running = machine_bytes(&group);
    println!("running: {running} bytes for {ITEMS} items");
    assert!(running <= ITEMS as usize * BYTES_PER_RUNNING_ITEM);
    run_all(&mut group, &mut 0);
    assert_eq!(group.phase(job), JobPhase::Completed);
    let finished = machine_bytes(&group);
    println!("finished: {finished} bytes");
    assert!(finished <= OTHER_BYTES + BYTES_PER_FINISHED_JOB);
    let (page, _) = group.page(job, ITEMS - 1, 1);
    assert_eq!(page.len(), 1);
}

#[test]
fn finished_jobs_take_constant_memory() {
    let mut group = Group::default();
    let mut sequence = 0;
    const JOBS: usize = 500;
    for number in 0..JOBS {
        let items = if number % 2 == 0 { 1 } else { 200 };
        group.submit(&submission(&format!("job {number}"), items));
        run_all(&mut group, &mut sequence);
    }
    let bytes = machine_bytes(&group);
    println!("{JOBS} finished jobs: {bytes} bytes");
    assert!(bytes <= OTHER_BYTES + JOBS * BYTES_PER_FINISHED_JOB);
}

#[test]
fn settled_claims_are_kept_in_bounded_memory() {
    let mut group = Group::default();
    const CLAIMS: u64 = 100_000;
    for number in 0..CLAIMS {
        let key = format!("bill {number}");
        assert_eq!(group.claim(&key, number), ClaimReply::Granted);
        group.apply(settle(&key, number, RunOutcome::Completed, "paid"));
    }
    let bytes = machine_bytes(&group);
    println!("{CLAIMS} settled claims: {bytes} bytes");
    let archived = CLAIMS as usize / 1_000 * BYTES_PER_THOUSAND_ARCHIVED_CLAIMS;
    assert!(bytes <= BYTES_OF_RECENT_CLAIMS + archived);
}
