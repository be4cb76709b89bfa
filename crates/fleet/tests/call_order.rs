//! Requests for items that arrive out of order.

use molespan_fleet::store::{CallNumber, CallOrder};
use molespan_types::NodeId;
use proptest::prelude::*;

const ONE: NodeId = NodeId(1);
const TWO: NodeId = NodeId(2);

fn call(life: u64, number: u64) -> CallNumber {
    CallNumber { life, number }
}

#[test]
fn a_retried_call_supersedes_the_first() {
    let mut order = CallOrder::default();
    let first = order.admit(ONE, call(7, 1)).expect("first request");
    let other = order
        .admit(TWO, call(8, 5))
        .expect("request of another gateway");
    assert!(order.is_latest(ONE, first));
    let again = order.admit(ONE, call(7, 1)).expect("retried request");
    assert!(!order.is_latest(ONE, first));
    assert!(order.is_latest(ONE, again));
    assert!(order.is_latest(TWO, other));
}

#[test]
fn an_overtaken_call_is_rejected() {
    let mut order = CallOrder::default();
    let later = order.admit(ONE, call(7, 2)).expect("later request");
    assert_eq!(order.admit(ONE, call(7, 1)), None);
    assert!(order.is_latest(ONE, later));
    // A restarted gateway numbers its requests from the start.
    let restarted = order
        .admit(ONE, call(3, 1))
        .expect("request after the restart");
    assert!(!order.is_latest(ONE, later));
    assert!(order.is_latest(ONE, restarted));
}

#[test]
fn a_call_from_before_a_clear_is_never_latest_again() {
    let mut order = CallOrder::default();
    let before = order.admit(ONE, call(7, 1)).expect("first request");
    order.clear();
    assert!(!order.is_latest(ONE, before));
    let after = order.admit(ONE, call(7, 2)).expect("next request");
    assert!(!order.is_latest(ONE, before));
    assert!(order.is_latest(ONE, after));
}

proptest! {
    /// Regardless of the order in which the requests of one life arrive, the latest is
    /// the one with the highest number; among retries, it is the one that arrived last.
    #[test]
    fn only_the_latest_call_is_current(numbers in prop::collection::vec(0..6_u64, 1..20)) {
        let mut order = CallOrder::default();
        let arrivals: Vec<_> = numbers
            .iter()
            .map(|&number| (number, order.admit(ONE, call(1, number))))
            .collect();
        let highest = numbers.iter().max().copied();
        let current: Vec<_> = arrivals
            .iter()
            .filter(|(_, arrival)| arrival.is_some_and(|one| order.is_latest(ONE, one)))
            .collect();
        prop_assert_eq!(current.len(), 1);
        prop_assert_eq!(Some(current[0].0), highest);
    }
}
