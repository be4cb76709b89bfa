//! Ordered batch jobs.

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, BatchReply, CompressedText,
    ItemCheckpoint, ItemOutcome, ItemRecord, ItemReference, RecordOutcome, ResultPage, SubmitJob,
};
use proptest::prelude::*;

fn submit(id: &str, items: usize) -> BatchCommand {
    let items = (0..items).map(|place| BatchItem {
        id: format!("{id}-{place}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: format!("body {place}").into_bytes().into(),
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

fn record(job: u64, place: u32, text: &str) -> BatchCommand {
    BatchCommand::Record(RecordOutcome {
        records: vec![ItemRecord {
            item: ItemReference { job, place },
            outcome: ItemOutcome::Completed {
                text: CompressedText::compress(text),
            },
        }],
    })
}

fn page(machine: &BatchMachine, id: &str, after: u32, max_bytes: u64) -> Option<ResultPage> {
    let query = BatchQuery::Results {
        id: id.to_owned(),
        after,
        max_bytes,
        tenant: None,
    };
    match machine.query(&query) {
        BatchAnswer::Results(page) => page,
        other => panic!("{other:?}"),
    }
}

fn body(machine: &BatchMachine, id: &str, item: &str) -> Option<Vec<u8>> {
    let query = BatchQuery::Body {
        id: id.to_owned(),
        item: item.to_owned(),
        tenant: None,
    };
    match machine.query(&query) {
        BatchAnswer::Body(body) => body.map(Into::into),
        other => panic!("{other:?}"),
    }
}

fn open(machine: &BatchMachine, limit: u32) -> Vec<ItemReference> {
    match machine.query(&BatchQuery::Open { limit }) {
        BatchAnswer::Open(open) => open.items.into_iter().map(|open| open.item).collect(),
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// For any sequence of recorded outcomes, the first outcome of an item is kept, at a
    /// position that never changes.
    #[test]
    fn first_outcomes_keep_their_positions(
        records in prop::collection::vec((1..3_u64, 0..5_u32, 0..4_u8), 0..60),
    ) {
        let mut machine = BatchMachine::new();
        machine.apply(&submit("a", 4));
        machine.apply(&submit("b", 4));
        let mut before: Vec<Vec<_>> = vec![Vec::new(), Vec::new()];
        for (job, place, text) in records {
            machine.apply(&record(job, place, &text.to_string()));
            for (number, id) in ["a", "b"].into_iter().enumerate() {
                let results = page(&machine, id, 0, u64::MAX).expect("a job").results;
                prop_assert!(results.starts_with(&before[number]));
                let mut ids: Vec<_> = results.iter().map(|one| one.id.clone()).collect();
                ids.sort();
                ids.dedup();
                prop_assert_eq!(ids.len(), results.len());
                before[number] = results;
            }
        }
        let restored = BatchMachine::restore(&machine.snapshot()).expect("a snapshot");
        prop_assert_eq!(restored, machine);
    }
}

#[test]
fn resubmitted_job_is_unchanged() {
    let mut machine = BatchMachine::new();
    assert_eq!(machine.apply(&submit("a", 2)), BatchReply::Stored);
    machine.apply(&record(1, 1, "x"));
    assert_eq!(machine.apply(&submit("a", 5)), BatchReply::Stored);
    let page = page(&machine, "a", 0, 100).expect("a job");
    assert_eq!((page.total, page.results.len()), (2, 1));
}

#[test]
fn pages_have_at_least_one_result_and_respect_the_byte_limit() {
    let mut machine = BatchMachine::new();
    machine.apply(&submit("a", 3));
    for place in 0..3 {
        machine.apply(&record(1, place, "0123456789"));
    }
    for (after, max_bytes, count) in [(0, 5, 1), (0, 20, 2), (1, 100, 2), (3, 100, 0), (9, 9, 0)] {
        let page = page(&machine, "a", after, max_bytes).expect("a job");
        assert_eq!(page.results.len(), count, "{after} {max_bytes}");
    }
    assert_eq!(page(&machine, "none", 0, 100), None);
}

#[test]
fn bodies_are_available_until_an_outcome_is_recorded() {
    let mut machine = BatchMachine::new();
    machine.apply(&submit("a", 2));
    assert_eq!(body(&machine, "a", "a-1"), Some(b"body 1".to_vec()));
    machine.apply(&record(1, 1, "x"));
    assert_eq!(body(&machine, "a", "a-1"), None);
    assert_eq!(body(&machine, "a", "a-9"), None);
    assert_eq!(body(&machine, "b", "a-0"), None);
}

#[test]
fn open_items_are_those_of_the_oldest_jobs_that_have_not_ended() {
    let mut machine = BatchMachine::new();
    machine.apply(&submit("a", 2));
    machine.apply(&submit("b", 2));
    machine.apply(&submit("c", 1));
    machine.apply(&record(1, 0, "x"));
    let reference = |job, place| ItemReference { job, place };
    assert_eq!(open(&machine, 2), [reference(1, 1), reference(2, 0)]);
    let end = |id: &str| BatchCommand::End {
        id: id.to_owned(),
        tenant: None,
    };
    assert_eq!(machine.apply(&end("b")), BatchReply::Ended);
    assert_eq!(machine.apply(&end("b")), BatchReply::Ended);
    assert_eq!(machine.apply(&end("none")), BatchReply::Unknown);
    assert_eq!(open(&machine, 10), [reference(1, 1), reference(3, 0)]);
    // Results can still be recorded and read after the job has ended.
    machine.apply(&record(2, 0, "late"));
    assert_eq!(page(&machine, "b", 0, 10).expect("a job").results.len(), 1);
    machine.apply(&BatchCommand::Forget { job: 2 });
    assert_eq!(page(&machine, "b", 0, 10), None);
}

#[test]
fn progress_is_stored_until_an_outcome_and_never_regresses() {
    let mut machine = BatchMachine::new();
    machine.apply(&submit("a", 2));
    let item = ItemReference { job: 1, place: 0 };
    let text = |events: std::ops::RangeInclusive<u64>| {
        let events: Vec<String> = events.map(|event| event.to_string()).collect();
        events.join("\n")
    };
    let checkpoint = |after: u64, last_event: u64| {
        let items = vec![ItemCheckpoint {
            item,
            after: (after > 0).then_some(after),
            last_event,
            text: CompressedText::compress(&text(after + 1..=last_event)),
            run: 1,
            origin: None,
        }];
        BatchCommand::Checkpoint { items }
    };
    let known =
        |machine: &BatchMachine| match machine.query(&BatchQuery::Items { items: vec![item] }) {
            BatchAnswer::Items(items) => items.first().map(|item| {
                let pieces = item.progress.pieces.iter();
                let pieces: Option<Vec<String>> = pieces.map(CompressedText::decompress).collect();
                let whole = pieces.expect("valid pieces").join("\n");
                (item.progress.last_event.unwrap_or(0), whole)
            }),
            other => panic!("{other:?}"),
        };
    // A checkpoint (after, last event), and the last stored event afterwards.
    let cases = [
        ((0, 3), 3),
        ((0, 2), 3),
        ((3, 5), 5),
        // A repeated checkpoint, a gap, and an overlap.
        ((3, 5), 5),
        ((7, 9), 5),
        ((4, 8), 5),
        // Another run that starts from the first event goes further, and is then continued.
        ((0, 6), 6),
        ((6, 8), 8),
    ];
    for ((after, last_event), kept) in cases {
        machine.apply(&checkpoint(after, last_event));
        assert_eq!(known(&machine), Some((kept, text(1..=kept))));
    }
    machine.apply(&record(1, 0, "x"));
    assert_eq!(known(&machine), None);
    machine.apply(&checkpoint(8, 9));
    assert_eq!(known(&machine), None);
    assert_eq!(page(&machine, "a", 0, 10).expect("a job").results.len(), 1);
}

#[test]
fn revision_increases_with_each_change_of_open_items() {
    let mut machine = BatchMachine::default();
    let mut seen = machine.revision();
    let end = BatchCommand::End {
        id: "a".to_owned(),
        tenant: None,
    };
    for command in [submit("a", 2), record(1, 0, "one"), end] {
        machine.apply(&command);
        assert!(machine.revision() > seen, "{command:?}");
        seen = machine.revision();
    }
}

proptest! {
    /// Decompressing a compressed text returns the original.
    #[test]
    fn packed_text_round_trips(text in "\\PC{0,400}") {
        let compressed = CompressedText::compress(&text);
        prop_assert_eq!(compressed.decompress(), Some(text));
    }
}

#[test]
fn damaged_bytes_do_not_unpack_to_the_text() {
    let whole =
        minicbor::to_vec(CompressedText::compress("one line, and no other")).expect("a vector");
    for place in whole.len() - 8..whole.len() {
        let mut bytes = whole.clone();
        bytes[place] ^= 0x55;
        let damaged: CompressedText = minicbor::decode(&bytes).expect("as many bytes");
        assert_ne!(
            damaged.decompress().as_deref(),
            Some("one line, and no other"),
            "{place}"
        );
    }
}

#[test]
fn an_item_with_an_outcome_keeps_no_body() {
    let mut machine = BatchMachine::new();
    machine.apply(&submit("a", 2));
    let whole = machine.snapshot().len();
    assert_eq!(body(&machine, "a", "a-0"), Some(b"body 0".to_vec()));
    machine.apply(&record(1, 0, ""));
    assert_eq!(body(&machine, "a", "a-0"), None);
    assert_eq!(body(&machine, "a", "a-1"), Some(b"body 1".to_vec()));
    assert!(machine.snapshot().len() < whole + 40);
}
