//! Outputs of batch items in the payload log of a replica.

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchQuery, CompressedText, ItemOutcome, ItemRecord,
    ItemReference, RecordOutcome, SubmitJob,
};
use molespan_state::{Machine, MemoryPayloadLog, PayloadLog, decode, encode};
use molespan_types::GroupId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ITEMS: u32 = 60;
/// Length of an output in bytes.
const OUTPUT_BYTES: usize = 10_000;

fn submit(id: &str) -> BatchCommand {
    let items = (0..ITEMS).map(|place| BatchItem {
        id: format!("{id}-{place}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec().into(),
        tokens: 10,
    });
    BatchCommand::Submit(Box::new(SubmitJob {
        tenant: None,
        due_ms: None,
        queue: "q".to_owned(),
        max_queued_tokens: None,
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/p".to_owned(),
        submitted_ms: 1_000,
        items: items.collect(),
    }))
}

/// Returns a text that compresses badly and is deterministic for each item.
fn output(job: u64, place: u32) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(job << 32 | u64::from(place));
    let characters = (0..OUTPUT_BYTES).map(|_| char::from(random.random_range(b'!'..=b'~')));
    characters.collect()
}

fn record(job: u64, place: u32) -> BatchCommand {
    BatchCommand::Record(RecordOutcome {
        records: vec![ItemRecord {
            item: ItemReference { job, place },
            outcome: ItemOutcome::Completed {
                text: CompressedText::compress(&output(job, place)),
            },
        }],
    })
}

fn apply(machine: &mut Machine, payloads: &mut MemoryPayloadLog, command: &BatchCommand) {
    let reply = machine.apply_bytes(&encode(command), payloads);
    reply.expect("the log accepts it");
}

fn results(machine: &Machine, payloads: &MemoryPayloadLog, id: &str) -> BatchAnswer {
    let query = BatchQuery::Results {
        id: id.to_owned(),
        after: 0,
        max_bytes: u64::MAX,
        tenant: None,
    };
    decode(&machine.query_bytes(&encode(&query), payloads)).expect("an answer")
}

fn check(machine: &Machine, payloads: &MemoryPayloadLog, id: &str, job: u64) {
    let BatchAnswer::Results(Some(page)) = results(machine, payloads, id) else {
        panic!("no results of {id}");
    };
    assert_eq!(page.results.len(), ITEMS as usize);
    for (place, listed) in (0..).zip(&page.results) {
        let ItemOutcome::Completed { text } = &listed.outcome else {
            panic!("{:?}", listed.outcome);
        };
        assert_eq!(text.decompress(), Some(output(job, place)));
    }
}

fn completed_jobs(jobs: u64) -> (Machine, MemoryPayloadLog) {
    let mut machine = Machine::for_group(GroupId::BATCH);
    let mut payloads = MemoryPayloadLog::default();
    for job in 1..=jobs {
        apply(&mut machine, &mut payloads, &submit(&format!("job-{job}")));
        for place in 0..ITEMS {
            apply(&mut machine, &mut payloads, &record(job, place));
        }
    }
    (machine, payloads)
}

/// Guards against stores on small machines that were killed for using too much memory: they
/// kept the outputs of several minutes in memory and again in each snapshot, and could not
/// restart with them.
#[test]
fn memory_and_snapshots_do_not_grow_with_outputs() {
    let (machine, payloads) = completed_jobs(4);
    let snapshot = machine.snapshot();
    assert!(
        snapshot.len() < OUTPUT_BYTES * ITEMS as usize / 10,
        "{} bytes of snapshot for {} of outputs",
        snapshot.len(),
        payloads.length()
    );
    let restored = Machine::restore(GroupId::BATCH, &snapshot).expect("a snapshot");
    for job in 1..=4 {
        check(&restored, &payloads, &format!("job-{job}"), job);
    }
}

#[test]
fn log_is_needed_from_the_oldest_output_of_a_stored_job() {
    let (mut machine, mut payloads) = completed_jobs(3);
    let length = payloads.length();
    assert_eq!(machine.oldest_needed_payload(length), Some(0));
    apply(
        &mut machine,
        &mut payloads,
        &BatchCommand::Forget { job: 1 },
    );
    let second = machine
        .oldest_needed_payload(length)
        .expect("a log of its own");
    assert!(second > 0 && second < length);
    apply(
        &mut machine,
        &mut payloads,
        &BatchCommand::Forget { job: 3 },
    );
    assert_eq!(machine.oldest_needed_payload(length), Some(second));
    apply(
        &mut machine,
        &mut payloads,
        &BatchCommand::Forget { job: 2 },
    );
    assert_eq!(machine.oldest_needed_payload(length), Some(length));
}

/// An unreadable output must be distinguishable from a missing one.
#[test]
fn unreadable_output_is_distinguished_from_a_missing_one() {
    let (machine, _) = completed_jobs(1);
    let answer = results(&machine, &MemoryPayloadLog::default(), "job-1");
    assert!(
        matches!(answer, BatchAnswer::Unreadable { .. }),
        "{answer:?}"
    );
}
