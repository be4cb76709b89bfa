//! Output of an item at its gateway compared with the progress stored by the batch group,
//! with lost, late and unacknowledged checkpoints.

use minicbor::{Decode, Encode};
use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, BatchReply, CompressedText,
    ItemCheckpoint, ItemProgress, ItemReference, Output, StoredPrefix, StoredProgress, SubmitJob,
};
use molespan_state::declared::StreamOrigin;
use molespan_state::{decode, encode};
use proptest::prelude::*;

const ITEM: ItemReference = ItemReference { job: 1, place: 0 };

/// Delivery of a checkpoint.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// It is committed and the gateway receives the reply.
    Acknowledged,
    /// It is committed but the gateway does not receive the reply in time.
    Unacknowledged,
    /// It is never committed.
    Lost,
    /// It is committed later, at a [`Step::CommitLate`].
    Late,
}

/// A test step; runs are counted backwards from the latest one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Events(usize, u8),
    Checkpoint(usize, Delivery),
    /// The oldest late checkpoint is committed.
    CommitLate,
    /// Another gateway resumes from the stored progress; earlier gateways may not know that
    /// they should stop.
    NewGateway,
}

/// A run of the item at a gateway, with its expected events.
struct Run {
    number: u64,
    output: Output,
    events: Vec<String>,
}

impl Run {
    fn resume(number: u64, progress: &ItemProgress) -> Self {
        let output = Output::resume(progress, number);
        let events = events_of(&output);
        Self {
            number,
            output,
            events,
        }
    }

    /// Produces events that are unique to this run.
    fn produce(&mut self, count: u8) {
        for _ in 0..count {
            let event = self.output.last_event().unwrap_or(0) + 1;
            let data = format!("run {} event {event}", self.number);
            self.output.push(Some(event), data.clone());
            self.events.push(data);
        }
    }

    fn checkpoint(&self) -> Option<(ItemCheckpoint, StoredPrefix)> {
        self.output.checkpoint(ITEM)
    }
}

fn events_of(output: &Output) -> Vec<String> {
    let text = output.text().decompress().expect("a valid text");
    text.lines().map(str::to_owned).collect()
}

fn machine() -> BatchMachine {
    let mut machine = BatchMachine::new();
    machine.apply(&BatchCommand::Submit(Box::new(SubmitJob {
        tenant: None,
        id: "job".to_owned(),
        host: "h".to_owned(),
        path: "/p".to_owned(),
        submitted_ms: 0,
        due_ms: None,
        queue: "q".to_owned(),
        max_queued_tokens: None,
        items: vec![BatchItem {
            id: "item".to_owned(),
            path: "/p".to_owned(),
            headers: Vec::new(),
            body: Vec::new().into(),
            tokens: 1,
        }],
    })));
    machine
}

/// Commits a checkpoint and returns the reply of the batch group.
fn commit(machine: &mut BatchMachine, checkpoint: ItemCheckpoint) -> Option<StoredProgress> {
    let items = vec![checkpoint];
    match machine.apply(&BatchCommand::Checkpoint { items }) {
        BatchReply::Progress { kept } => kept[0],
        other => panic!("{other:?}"),
    }
}

fn progress(machine: &BatchMachine) -> ItemProgress {
    match machine.query(&BatchQuery::Items { items: vec![ITEM] }) {
        BatchAnswer::Items(mut items) => items.remove(0).progress,
        other => panic!("{other:?}"),
    }
}

/// Returns the events up to `last_event`, as produced by every engine.
fn text(last_event: u64) -> String {
    let events: Vec<String> = (1..=last_event).map(|event| format!("e{event}")).collect();
    events.join("\n")
}

fn produce_events(output: &mut Output, events: u8) {
    for _ in 0..events {
        let event = output.last_event().unwrap_or(0) + 1;
        output.push(Some(event), format!("e{event}"));
    }
}

#[test]
fn unacknowledged_checkpoint_does_not_block_later_ones() {
    let mut machine = machine();
    let mut output = Output::begin(1);
    produce_events(&mut output, 3);
    let (checkpoint, _) = output.checkpoint(ITEM).expect("unsaved output");
    commit(&mut machine, checkpoint);
    output.reset_stored();
    produce_events(&mut output, 2);
    let (checkpoint, kept) = output.checkpoint(ITEM).expect("unsaved output");
    let answered = commit(&mut machine, checkpoint);
    output.record_stored(kept, answered);
    assert_eq!(progress(&machine).last_event, Some(5));
    // Later checkpoints contain only new events.
    produce_events(&mut output, 1);
    let (checkpoint, _) = output.checkpoint(ITEM).expect("unsaved output");
    assert_eq!(checkpoint.after, Some(5));
    commit(&mut machine, checkpoint);
    let resumed = Output::resume(&progress(&machine), 2);
    assert_eq!(resumed.text().decompress(), Some(text(6)));
    assert!(resumed.checkpoint(ITEM).is_none(), "all of it is kept");
}

#[test]
fn runs_with_equal_progress_are_not_mixed() {
    // Both start at the first event and produce different events with the same numbers.
    let mut machine = machine();
    let mut one = Output::begin(1);
    let mut two = Output::begin(2);
    one.push(Some(1), "one-1".to_owned());
    two.push(Some(1), "two-1".to_owned());
    for output in [&mut one, &mut two] {
        let (checkpoint, kept) = output.checkpoint(ITEM).expect("unsaved output");
        let answered = commit(&mut machine, checkpoint);
        output.record_stored(kept, answered);
    }
    two.push(Some(2), "two-2".to_owned());
    let (checkpoint, _) = two.checkpoint(ITEM).expect("unsaved output");
    commit(&mut machine, checkpoint);
    let resumed = Output::resume(&progress(&machine), 3);
    assert_eq!(resumed.text().decompress().as_deref(), Some("two-1\ntwo-2"));
}

fn any_step() -> impl Strategy<Value = Step> {
    let delivery = prop_oneof![
        3 => Just(Delivery::Acknowledged),
        1 => Just(Delivery::Unacknowledged),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Late),
    ];
    prop_oneof![
        4 => (0..2_usize, 0..4_u8).prop_map(|(run, events)| Step::Events(run, events)),
        4 => (0..2_usize, delivery).prop_map(|(run, delivery)| Step::Checkpoint(run, delivery)),
        1 => Just(Step::CommitLate),
        1 => Just(Step::NewGateway),
    ]
}

proptest! {
    /// The stored progress is always a prefix of the events of one run, including the
    /// events that the run resumed from. It never regresses, and later checkpoints are
    /// always accepted.
    #[test]
    fn stored_progress_is_a_prefix_of_one_run(
        steps in prop::collection::vec(any_step(), 0..60),
    ) {
        let mut machine = machine();
        let mut runs = vec![Run::resume(0, &progress(&machine))];
        let mut late: Vec<ItemCheckpoint> = Vec::new();
        let mut before = 0;
        for step in steps {
            let latest = runs.len() - 1;
            let place = |back: usize| latest.saturating_sub(back);
            match step {
                Step::Events(run, events) => runs[place(run)].produce(events),
                Step::NewGateway => {
                    let number = runs.len() as u64;
                    runs.push(Run::resume(number, &progress(&machine)));
                }
                Step::Checkpoint(run, delivery) => {
                    let run = &mut runs[place(run)];
                    let Some((checkpoint, expected)) = run.checkpoint() else {
                        continue;
                    };
                    match delivery {
                        Delivery::Acknowledged => {
                            let kept = commit(&mut machine, checkpoint);
                            run.output.record_stored(expected, kept);
                        }
                        Delivery::Unacknowledged => {
                            commit(&mut machine, checkpoint);
                            run.output.reset_stored();
                        }
                        Delivery::Lost => run.output.reset_stored(),
                        Delivery::Late => {
                            late.push(checkpoint);
                            run.output.reset_stored();
                        }
                    }
                }
                Step::CommitLate => {
                    if !late.is_empty() {
                        commit(&mut machine, late.remove(0));
                    }
                }
            }
            let kept = progress(&machine);
            let last_event = kept.last_event.unwrap_or(0);
            prop_assert!(last_event >= before);
            before = last_event;
            let shown = events_of(&Output::resume(&kept, u64::MAX));
            prop_assert_eq!(shown.len() as u64, last_event);
            prop_assert!(
                runs.iter().any(|run| run.events.starts_with(&shown)),
                "{:?} is not from any run", shown
            );
        }
        // Two acknowledged checkpoints are enough to store everything.
        let output = &mut runs.last_mut().expect("a run").output;
        for _ in 0..2 {
            if let Some((checkpoint, expected)) = output.checkpoint(ITEM) {
                let kept = commit(&mut machine, checkpoint);
                output.record_stored(expected, kept);
            }
        }
        prop_assert!(progress(&machine).last_event >= output.last_event());
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        version: version.into(),
    }
}

#[test]
fn progress_that_several_versions_produced_has_no_known_origin() {
    let mut machine = machine();
    let mut output = Output::begin(1);
    output.continue_from(Some(origin("v1")));
    produce_events(&mut output, 2);
    let (checkpoint, kept) = output.checkpoint(ITEM).expect("unsaved output");
    let answered = commit(&mut machine, checkpoint);
    output.record_stored(kept, answered);
    assert_eq!(progress(&machine).origin, Some(origin("v1")));
    let mut resumed = Output::resume(&progress(&machine), 2);
    assert_eq!(resumed.origin(), Some(&origin("v1")));
    resumed.continue_from(Some(origin("v2")));
    assert_eq!(resumed.origin(), None);
    // A gateway of an older build goes on without naming any.
    produce_events(&mut output, 1);
    let (mut checkpoint, _) = output.checkpoint(ITEM).expect("unsaved output");
    checkpoint.origin = None;
    commit(&mut machine, checkpoint);
    assert_eq!(progress(&machine).last_event, Some(3));
    assert_eq!(progress(&machine).origin, None);
}

#[test]
fn a_reply_to_a_checkpoint_of_discarded_output_does_not_count_for_the_new_one() {
    let mut machine = machine();
    let mut output = Output::begin(1);
    output.continue_from(Some(origin("v1")));
    produce_events(&mut output, 3);
    let (checkpoint, kept) = output.checkpoint(ITEM).expect("unsaved output");
    let answered = commit(&mut machine, checkpoint);
    output.restart(2);
    output.continue_from(Some(origin("v2")));
    for event in 1..=3 {
        output.push(Some(event), format!("new {event}"));
    }
    output.record_stored(kept, answered);
    let (checkpoint, kept) = output.checkpoint(ITEM).expect("unsaved output");
    assert_eq!(checkpoint.after, None);
    let answered = commit(&mut machine, checkpoint);
    output.record_stored(kept, answered);
    assert_eq!(progress(&machine).origin, Some(origin("v1")));
    // The longer output replaces the stored one as a whole.
    output.push(Some(4), "new 4".to_owned());
    let (checkpoint, _) = output.checkpoint(ITEM).expect("unsaved output");
    commit(&mut machine, checkpoint);
    let resumed = Output::resume(&progress(&machine), 3);
    assert_eq!(resumed.origin(), Some(&origin("v2")));
    let text = "new 1\nnew 2\nnew 3\nnew 4";
    assert_eq!(resumed.text().decompress().as_deref(), Some(text));
}

/// Stored progress as builds without an origin encode and decode it.
#[derive(Debug, PartialEq, Eq, Encode, Decode)]
struct OlderProgress {
    #[n(0)]
    last_event: Option<u64>,
    #[n(1)]
    pieces: Vec<CompressedText>,
    #[n(2)]
    #[cbor(default)]
    run: u64,
}

#[test]
fn progress_of_an_older_build_has_an_unknown_origin_and_an_older_build_reads_the_new() {
    let pieces = vec![CompressedText::compress("e1")];
    let older = OlderProgress {
        last_event: Some(1),
        pieces: pieces.clone(),
        run: 7,
    };
    let read: ItemProgress = decode(&encode(&older)).expect("older progress");
    assert_eq!(read.last_event, Some(1));
    assert_eq!(read.origin, None);
    let newer = ItemProgress {
        last_event: Some(1),
        pieces,
        run: 7,
        origin: Some(origin("v1")),
    };
    let read: OlderProgress = decode(&encode(&newer)).expect("newer progress");
    assert_eq!(read, older);
}
