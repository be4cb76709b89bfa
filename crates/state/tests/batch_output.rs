//! Output of an item at its gateway against what the batch group keeps of it,
//! whatever becomes of the checkpoints on their way.

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, BatchReply, ItemCheckpoint,
    ItemProgress, ItemReference, Output, SubmitJob,
};
use proptest::prelude::*;

const ITEM: ItemReference = ItemReference { job: 1, place: 0 };

/// What becomes of a checkpoint.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is committed, and the gateway hears so.
    Kept,
    /// It is committed, and the gateway does not hear of it in time.
    Unheard,
    /// It is never committed.
    Lost,
    /// It is committed later, at a [`Step::Arrival`].
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Events(u8),
    Checkpoint(Fate),
    /// The oldest checkpoint that is late is committed.
    Arrival,
    /// The gateway is lost; another one goes on with what is kept.
    Gateway,
}

fn machine() -> BatchMachine {
    let mut machine = BatchMachine::new();
    machine.apply(&BatchCommand::Submit(Box::new(SubmitJob {
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

/// Commits a checkpoint; gives what the batch group answers.
fn keep(machine: &mut BatchMachine, checkpoint: ItemCheckpoint) -> Option<u64> {
    let items = vec![checkpoint];
    match machine.apply(&BatchCommand::Checkpoint { items }) {
        BatchReply::Progress { last_events } => last_events[0],
        other => panic!("{other:?}"),
    }
}

fn progress(machine: &BatchMachine) -> ItemProgress {
    match machine.query(&BatchQuery::Items { items: vec![ITEM] }) {
        BatchAnswer::Items(mut items) => items.remove(0).progress,
        other => panic!("{other:?}"),
    }
}

/// Events up to the one of this number, as every engine makes them.
fn text(last_event: u64) -> String {
    let events: Vec<String> = (1..=last_event).map(|event| format!("e{event}")).collect();
    events.join("\n")
}

fn run(output: &mut Output, events: u8) {
    for _ in 0..events {
        let event = output.last_event().unwrap_or(0) + 1;
        output.push(Some(event), format!("e{event}"));
    }
}

#[test]
fn a_checkpoint_that_was_committed_unheard_does_not_stop_the_later_ones() {
    let mut machine = machine();
    let mut output = Output::default();
    run(&mut output, 3);
    let (checkpoint, _) = output.checkpoint(ITEM).expect("something new");
    keep(&mut machine, checkpoint);
    output.forget_kept();
    run(&mut output, 2);
    let (checkpoint, kept) = output.checkpoint(ITEM).expect("something new");
    let answered = keep(&mut machine, checkpoint);
    output.note_kept(kept, answered);
    assert_eq!(progress(&machine).last_event, Some(5));
    // From there on only what is new goes out.
    run(&mut output, 1);
    let (checkpoint, _) = output.checkpoint(ITEM).expect("something new");
    assert_eq!(checkpoint.after, Some(5));
    keep(&mut machine, checkpoint);
    let resumed = Output::resume(&progress(&machine));
    assert_eq!(resumed.text().unpack(), Some(text(6)));
    assert!(resumed.checkpoint(ITEM).is_none(), "all of it is kept");
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8).prop_map(Step::Events),
        4 => prop_oneof![
            3 => Just(Fate::Kept),
            1 => Just(Fate::Unheard),
            1 => Just(Fate::Lost),
            1 => Just(Fate::Late),
        ].prop_map(Step::Checkpoint),
        1 => Just(Step::Arrival),
        1 => Just(Step::Gateway),
    ]
}

proptest! {
    /// What is kept is always a whole beginning of the output and never goes
    /// back, and nothing keeps later checkpoints from being taken.
    #[test]
    fn what_is_kept_is_a_beginning_of_the_output(
        steps in prop::collection::vec(any_step(), 0..40),
    ) {
        let mut machine = machine();
        let mut output = Output::default();
        let mut late: Vec<ItemCheckpoint> = Vec::new();
        let mut before = 0;
        for step in steps {
            match step {
                Step::Events(events) => run(&mut output, events),
                Step::Gateway => output = Output::resume(&progress(&machine)),
                Step::Checkpoint(fate) => {
                    let Some((checkpoint, upto)) = output.checkpoint(ITEM) else {
                        continue;
                    };
                    match fate {
                        Fate::Kept => {
                            let kept = keep(&mut machine, checkpoint);
                            output.note_kept(upto, kept);
                        }
                        Fate::Unheard => {
                            keep(&mut machine, checkpoint);
                            output.forget_kept();
                        }
                        Fate::Lost => output.forget_kept(),
                        Fate::Late => {
                            late.push(checkpoint);
                            output.forget_kept();
                        }
                    }
                }
                Step::Arrival => {
                    if !late.is_empty() {
                        keep(&mut machine, late.remove(0));
                    }
                }
            }
            let kept = progress(&machine);
            let last_event = kept.last_event.unwrap_or(0);
            prop_assert!(last_event >= before);
            before = last_event;
            prop_assert_eq!(Output::resume(&kept).text().unpack(), Some(text(last_event)));
        }
        // Two checkpoints that are heard of are enough to keep everything.
        for _ in 0..2 {
            if let Some((checkpoint, upto)) = output.checkpoint(ITEM) {
                let kept = keep(&mut machine, checkpoint);
                output.note_kept(upto, kept);
            }
        }
        prop_assert!(progress(&machine).last_event >= output.last_event());
    }
}
