//! Items that gateways run.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_fleet::store::Handout;
use molespan_state::batch::{ItemReference, OpenItem, OpenWork};
use molespan_types::{NodeId, Timestamp};

const LEASE: Duration = Duration::from_secs(2);
const ONE: NodeId = NodeId(1);
const TWO: NodeId = NodeId(2);

fn item(job: u64, place: u32) -> ItemReference {
    ItemReference { job, place }
}

fn open(items: &[ItemReference]) -> OpenWork {
    OpenWork {
        items: items
            .iter()
            .map(|&item| OpenItem {
                item,
                tokens: 1,
                due_ms: None,
            })
            .collect(),
        jobs: items.iter().map(|item| item.job).collect(),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn running(items: &[ItemReference]) -> BTreeSet<ItemReference> {
    items.iter().copied().collect()
}

fn warm() -> Handout {
    Handout::new(at(0), LEASE, Duration::ZERO)
}

#[test]
fn no_item_goes_to_two_gateways_while_its_lease_runs() {
    let work = open(&[item(1, 0), item(1, 1), item(1, 2)]);
    let mut handout = warm();
    assert_eq!(
        handout.take(at(0), 0, ONE, 2, &work),
        [item(1, 0), item(1, 1)]
    );
    assert_eq!(handout.take(at(0), 0, TWO, 9, &work), [item(1, 2)]);
    assert!(handout.take(at(1_999), 0, TWO, 9, &work).is_empty());
    // The gateway fell silent.
    assert_eq!(handout.take(at(2_000), 0, TWO, 9, &work).len(), 3);
    assert_eq!(
        handout.renew(at(2_001), ONE, &running(&[item(1, 0)]), &work),
        [item(1, 0)]
    );
}

#[test]
fn a_renewal_keeps_items_and_frees_those_that_ended() {
    let work = open(&[item(1, 0), item(1, 1)]);
    let mut handout = warm();
    handout.take(at(0), 0, ONE, 2, &work);
    assert!(
        handout
            .renew(at(1_500), ONE, &running(&[item(1, 0)]), &work)
            .is_empty()
    );
    assert_eq!(handout.take(at(1_500), 0, TWO, 9, &work), [item(1, 1)]);
    assert!(handout.take(at(3_400), 0, TWO, 9, &work).is_empty());
    assert_eq!(handout.held(), 2);
}

#[test]
fn items_of_a_job_that_is_not_open_are_stopped() {
    let mut handout = warm();
    handout.take(at(0), 0, ONE, 1, &open(&[item(1, 0)]));
    let stop = handout.renew(at(10), ONE, &running(&[item(1, 0)]), &open(&[item(2, 0)]));
    assert_eq!(stop, [item(1, 0)]);
}

#[test]
fn a_new_leader_listens_before_it_hands_out() {
    let work = open(&[item(1, 0), item(1, 1)]);
    let mut handout = Handout::new(at(0), LEASE, Duration::from_millis(500));
    assert!(handout.take(at(100), 0, TWO, 9, &work).is_empty());
    assert!(
        handout
            .renew(at(200), ONE, &running(&[item(1, 0)]), &work)
            .is_empty()
    );
    assert_eq!(handout.take(at(500), 0, TWO, 9, &work), [item(1, 1)]);
}

#[test]
fn gateways_are_woken_only_for_items_that_nobody_runs() {
    let mut handout = warm();
    let work = open(&[item(1, 0), item(1, 1)]);
    assert!(handout.has_free(at(0), &work));
    let taken = handout.take(at(0), 0, ONE, 2, &work);
    assert_eq!(taken.len(), 2);
    assert!(!handout.has_free(at(0), &work));
    // A silent gateway loses its items.
    assert!(handout.has_free(at(2_000), &work));
}

#[test]
fn gateways_are_woken_when_a_job_that_they_run_has_ended() {
    let mut handout = warm();
    let work = open(&[item(1, 0), item(2, 0)]);
    handout.take(at(0), 0, ONE, 2, &work);
    assert!(!handout.has_ended(&work));
    let left = open(&[item(2, 0)]);
    assert!(handout.has_ended(&left));
    let stop = handout.renew(at(1), ONE, &running(&[item(1, 0), item(2, 0)]), &left);
    assert_eq!(stop, [item(1, 0)]);
}
