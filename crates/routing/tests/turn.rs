//! Tests the queue that serializes the search for an engine among waiting batch work.

use std::collections::BTreeMap;

use molespan_routing::dispatch::{TurnQueue, TurnRequest, WaiterId};
use proptest::prelude::*;

const NOW_MS: u64 = 1_000;

#[test]
fn turn_goes_to_earliest_deadline_and_late_work_last() {
    let mut queue = TurnQueue::default();
    assert_eq!(queue.request(Some(5_000)), TurnRequest::Turn);
    let due = [Some(900), Some(3_000), None, Some(2_000), Some(2_000)];
    let places = due.map(|due_ms| match queue.request(due_ms) {
        TurnRequest::Queued(place) => place,
        TurnRequest::Turn => panic!("two callers have the turn"),
    });
    let order: Vec<WaiterId> = std::iter::from_fn(|| queue.pass_on(NOW_MS)).collect();
    assert_eq!(order, [3, 4, 1, 2, 0].map(|place: usize| places[place]));
    assert_eq!(queue.request(None), TurnRequest::Turn, "it is free again");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(Option<u64>),
    PassOn,
    /// A requester gives up, whether it waits or already has the turn.
    Leave(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::option::of(0..2_000_u64).prop_map(Step::Ask),
        Just(Step::PassOn),
        (0..8_usize).prop_map(Step::Leave),
    ]
}

proptest! {
    /// At most one caller has the turn, and the turn is never lost while others wait,
    /// whoever gives up and whenever.
    #[test]
    fn exactly_one_caller_has_turn_while_others_wait(
        steps in prop::collection::vec(any_step(), 0..60),
    ) {
        let mut queue = TurnQueue::default();
        let mut waiting: BTreeMap<WaiterId, Option<u64>> = BTreeMap::new();
        // The caller that has the turn, with its waiter identifier if it waited before.
        let mut holder: Option<Option<WaiterId>> = None;
        for step in steps {
            let passes = match step {
                Step::Ask(due_ms) => {
                    match queue.request(due_ms) {
                        TurnRequest::Turn => {
                            prop_assert!(holder.is_none() && waiting.is_empty());
                            holder = Some(None);
                        }
                        TurnRequest::Queued(place) => {
                            prop_assert!(holder.is_some());
                            waiting.insert(place, due_ms);
                        }
                    }
                    false
                }
                Step::PassOn => holder.is_some(),
                Step::Leave(number) => {
                    let places: Vec<WaiterId> =
                        waiting.keys().copied().chain(holder.flatten()).collect();
                    match places.get(number % places.len().max(1)) {
                        Some(&place) => {
                            let waited = waiting.remove(&place).is_some();
                            prop_assert_eq!(queue.leave(place), waited);
                            !waited
                        }
                        None => false,
                    }
                }
            };
            if passes {
                let next = queue.pass_on(NOW_MS);
                prop_assert_eq!(next.is_some(), !waiting.is_empty());
                if let Some(place) = next {
                    prop_assert!(waiting.remove(&place).is_some());
                }
                holder = next.map(Some);
            }
            prop_assert!(holder.is_some() || waiting.is_empty());
        }
    }
}
