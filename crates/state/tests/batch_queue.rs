//! Limits on the waiting tokens of a queue.

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, BatchReply, ItemOutcome,
    ItemRecord, ItemReference, RecordOutcome, SubmitJob,
};
use proptest::prelude::*;

const LIMIT: u64 = 100;

fn submit(id: &str, queue: &str, tokens: &[u64]) -> BatchCommand {
    let items = tokens.iter().enumerate().map(|(place, &tokens)| BatchItem {
        id: format!("{id}-{place}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Vec::new().into(),
        tokens,
    });
    BatchCommand::Submit(Box::new(SubmitJob {
        tenant: None,
        id: id.to_owned(),
        host: queue.to_owned(),
        path: "/p".to_owned(),
        submitted_ms: 0,
        due_ms: None,
        queue: queue.to_owned(),
        max_queued_tokens: Some(LIMIT),
        items: items.collect(),
    }))
}

fn dead_letter(job: u64, place: u32) -> BatchCommand {
    BatchCommand::Record(RecordOutcome {
        records: vec![ItemRecord {
            item: ItemReference { job, place },
            outcome: ItemOutcome::DeadLettered,
        }],
    })
}

fn end(id: &str) -> BatchCommand {
    BatchCommand::End {
        id: id.to_owned(),
        tenant: None,
    }
}

#[test]
fn a_job_fits_while_all_waiting_tokens_of_its_route_stay_within_the_limit() {
    let mut machine = BatchMachine::new();
    // A command, its reply, and the waiting tokens of the first queue afterwards.
    let cases = [
        (submit("a", "one", &[30, 30]), BatchReply::Stored, 60),
        (submit("b", "one", &[41]), BatchReply::QueueFull, 60),
        (submit("c", "one", &[40]), BatchReply::Stored, 100),
        // Another queue has its own limit.
        (submit("d", "two", &[100]), BatchReply::Stored, 100),
        // Resubmitting a stored job succeeds even if the queue is full.
        (submit("a", "one", &[30, 30]), BatchReply::Stored, 100),
        (dead_letter(1, 0), BatchReply::Recorded, 70),
        (dead_letter(1, 0), BatchReply::Recorded, 70),
        (submit("b", "one", &[31]), BatchReply::QueueFull, 70),
        (submit("b", "one", &[30]), BatchReply::Stored, 100),
        (end("c"), BatchReply::Ended, 60),
        (end("c"), BatchReply::Ended, 60),
        // An outcome recorded after the end does not release tokens a second time.
        (dead_letter(2, 0), BatchReply::Recorded, 60),
        (BatchCommand::Forget { job: 4 }, BatchReply::Ended, 30),
        (
            submit("e", "one", &[u64::MAX, 1]),
            BatchReply::QueueFull,
            30,
        ),
    ];
    for (command, reply, waiting) in cases {
        assert_eq!(machine.apply(&command), reply, "{command:?}");
        assert_eq!(machine.queued_tokens("one"), waiting, "{command:?}");
    }
}

#[test]
fn token_sums_do_not_overflow_without_a_limit() {
    let mut machine = BatchMachine::new();
    let BatchCommand::Submit(mut submit) = submit("a", "q", &[u64::MAX; 200]) else {
        unreachable!("the command submits a job");
    };
    submit.max_queued_tokens = None;
    assert_eq!(
        machine.apply(&BatchCommand::Submit(submit)),
        BatchReply::Stored
    );
    for place in 0..200 {
        machine.apply(&dead_letter(1, place));
    }
    assert_eq!(machine.queued_tokens("q"), 0);
}

fn any_command() -> impl Strategy<Value = BatchCommand> {
    let queue = prop_oneof![Just("one"), Just("two")];
    let job = || 0..6_u64;
    prop_oneof![
        (job(), queue, prop::collection::vec(0..50_u64, 0..4))
            .prop_map(|(job, queue, tokens)| submit(&job.to_string(), queue, &tokens)),
        (1..8_u64, 0..4_u32).prop_map(|(job, place)| dead_letter(job, place)),
        job().prop_map(|job| end(&job.to_string())),
        (1..8_u64).prop_map(|job| BatchCommand::Forget { job }),
    ]
}

proptest! {
    /// After any sequence of commands, and across restarts, the count equals the tokens of
    /// the open items, and no job is accepted beyond the limit.
    #[test]
    fn waiting_tokens_are_those_of_the_open_items(
        commands in prop::collection::vec(any_command(), 0..40),
    ) {
        let mut machine = BatchMachine::new();
        for command in commands {
            let reply = machine.apply(&command);
            machine = BatchMachine::restore(&machine.snapshot()).expect("a valid snapshot");
            let BatchAnswer::Open(open) = machine.query(&BatchQuery::Open { limit: 1_000 }) else {
                unreachable!("the query is answered with an answer of its kind");
            };
            let waiting: u64 = open.items.iter().map(|open| open.tokens).sum();
            let counted = machine.queued_tokens("one") + machine.queued_tokens("two");
            prop_assert_eq!(waiting, counted);
            if let BatchCommand::Submit(submit) = &command {
                let queued = machine.queued_tokens(&submit.queue);
                prop_assert!(queued <= LIMIT);
                if reply == BatchReply::QueueFull {
                    prop_assert!(queued + submit.tokens() > LIMIT);
                }
            }
        }
    }
}
