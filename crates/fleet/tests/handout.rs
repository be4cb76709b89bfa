//! Leases of batch items to gateways.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use molespan_fleet::store::{LeaseTable, OPEN_LIMIT, OpenIndex};
use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, ItemReference, JobDirectory,
    OpenItem, OpenWork, SubmitJob,
};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::RouteRoom;
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(2);
const ONE: NodeId = NodeId(1);
const TWO: NodeId = NodeId(2);

fn item(job: u64, place: u32) -> ItemReference {
    ItemReference { job, place }
}

fn open(items: &[ItemReference]) -> Arc<OpenIndex> {
    let work = OpenWork {
        items: items
            .iter()
            .map(|&item| OpenItem {
                item,
                tokens: 1,
                due_ms: None,
            })
            .collect(),
        jobs: items.iter().map(|item| item.job).collect(),
        directories: Vec::new(),
    };
    index(work)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn running(items: &[ItemReference]) -> BTreeSet<ItemReference> {
    items.iter().copied().collect()
}

fn warmed_up_table() -> LeaseTable {
    LeaseTable::new(at(0), LEASE, Duration::ZERO)
}

#[test]
fn no_item_goes_to_two_gateways_while_its_lease_runs() {
    let work = open(&[item(1, 0), item(1, 1), item(1, 2)]);
    let mut table = warmed_up_table();
    assert_eq!(
        table.take(at(0), 0, ONE, 2, &work),
        [item(1, 0), item(1, 1)]
    );
    assert_eq!(table.take(at(0), 0, TWO, 9, &work), [item(1, 2)]);
    assert!(table.take(at(1_999), 0, TWO, 9, &work).is_empty());
    // The lease of the silent gateway has expired.
    assert_eq!(table.take(at(2_000), 0, TWO, 9, &work).len(), 3);
    assert_eq!(
        table.renew(at(2_001), ONE, &running(&[item(1, 0)]), &work),
        [item(1, 0)]
    );
}

#[test]
fn a_renewal_keeps_items_and_frees_those_that_ended() {
    let work = open(&[item(1, 0), item(1, 1)]);
    let mut table = warmed_up_table();
    table.take(at(0), 0, ONE, 2, &work);
    assert!(
        table
            .renew(at(1_500), ONE, &running(&[item(1, 0)]), &work)
            .is_empty()
    );
    assert_eq!(table.take(at(1_500), 0, TWO, 9, &work), [item(1, 1)]);
    assert!(table.take(at(3_400), 0, TWO, 9, &work).is_empty());
    assert_eq!(table.leased_count(), 2);
}

#[test]
fn items_of_a_job_that_is_not_open_are_stopped() {
    let mut table = warmed_up_table();
    table.take(at(0), 0, ONE, 1, &open(&[item(1, 0)]));
    let stop = table.renew(at(10), ONE, &running(&[item(1, 0)]), &open(&[item(2, 0)]));
    assert_eq!(stop, [item(1, 0)]);
}

#[test]
fn a_new_leader_waits_for_renewals_before_it_leases_items() {
    let work = open(&[item(1, 0), item(1, 1)]);
    let mut table = LeaseTable::new(at(0), LEASE, Duration::from_millis(500));
    assert!(table.take(at(100), 0, TWO, 9, &work).is_empty());
    assert!(
        table
            .renew(at(200), ONE, &running(&[item(1, 0)]), &work)
            .is_empty()
    );
    assert_eq!(table.take(at(500), 0, TWO, 9, &work), [item(1, 1)]);
}

#[test]
fn gateways_are_woken_only_for_items_that_nobody_runs() {
    let mut table = warmed_up_table();
    let work = open(&[item(1, 0), item(1, 1)]);
    assert_eq!(table.available_count(at(0), &work), 2);
    let taken = table.take(at(0), 0, ONE, 2, &work);
    assert_eq!(taken.len(), 2);
    assert_eq!(table.available_count(at(0), &work), 0);
    // The lease of the silent gateway has expired.
    assert_eq!(table.available_count(at(2_000), &work), 2);
}

#[test]
fn gateways_are_woken_when_a_job_that_they_run_has_ended() {
    let mut table = warmed_up_table();
    let work = open(&[item(1, 0), item(2, 0)]);
    table.take(at(0), 0, ONE, 2, &work);
    assert!(!table.has_ended_job(&work));
    let left = open(&[item(2, 0)]);
    assert!(table.has_ended_job(&left));
    let stop = table.renew(at(1), ONE, &running(&[item(1, 0), item(2, 0)]), &left);
    assert_eq!(stop, [item(1, 0)]);
}

/// Returns open items of one job each, with these due times.
fn due_work(times: &[Option<u64>]) -> OpenWork {
    let items = (1..).zip(times).map(|(job, &due_ms)| OpenItem {
        item: item(job, 0),
        tokens: 1,
        due_ms,
    });
    let items: Vec<OpenItem> = items.collect();
    OpenWork {
        jobs: items.iter().map(|open| open.item.job).collect(),
        items,
        directories: Vec::new(),
    }
}

fn due(times: &[Option<u64>]) -> Arc<OpenIndex> {
    index(due_work(times))
}

fn index(work: OpenWork) -> Arc<OpenIndex> {
    Arc::new(work.into())
}

#[test]
fn items_are_leased_by_due_time_and_late_ones_last() {
    // The current time is 1,000 ms: the first is late, the third is due next.
    let work = due(&[Some(900), Some(5_000), Some(2_000), None, Some(800)]);
    let mut table = warmed_up_table();
    let taken = table.take(at(0), 1_000, ONE, 9, &work);
    let order: Vec<u64> = taken.iter().map(|item| item.job).collect();
    assert_eq!(order, [3, 2, 4, 5, 1]);
}

#[test]
fn an_item_that_can_no_longer_be_done_in_time_counts_as_late() {
    let mut table = warmed_up_table();
    assert_eq!(table.run_time(), Duration::ZERO);
    // Four items take 1, 2, 3 and 4 s: only the last quarter takes 4 s.
    let mut work = due_work(&[None; 6]);
    let first: Vec<_> = work.items.iter().map(|open| open.item).take(4).collect();
    table.take(at(0), 0, ONE, 4, &index(work.clone()));
    for (done, item) in first.iter().enumerate() {
        work.items.retain(|open| open.item != *item);
        let left = running(&first[done + 1..]);
        table.renew(
            at(1_000 * (done as u64 + 1)),
            ONE,
            &left,
            &index(work.clone()),
        );
    }
    assert_eq!(table.run_time(), Duration::from_secs(4));
    // An item due within 4 s is already treated as late; one due in 5 s is not.
    let work = due(&[Some(13_500), Some(15_000)]);
    let taken = table.take(at(9_000), 10_000, TWO, 1, &work);
    assert_eq!(taken, [item(2, 0)]);
}

#[test]
fn late_items_do_not_hide_items_that_are_in_time() {
    let mut machine = BatchMachine::new();
    let one = BatchItem {
        id: "i".to_owned(),
        path: "/batch/x".to_owned(),
        headers: Vec::new(),
        body: Vec::new().into(),
        tokens: 1,
    };
    let submit = |job: u64, due_ms| SubmitJob {
        tenant: None,
        id: format!("job-{job}"),
        host: "h".to_owned(),
        path: "/batch/".to_owned(),
        submitted_ms: 0,
        due_ms: Some(due_ms),
        queue: String::new(),
        max_queued_tokens: None,
        items: vec![one.clone(); 200],
    };
    let submit = |job, due_ms| BatchCommand::Submit(Box::new(submit(job, due_ms)));
    for job in 1..=20 {
        machine.apply(&submit(job, 1_000));
    }
    machine.apply(&submit(21, 90_000));
    let BatchAnswer::Open(work) = machine.query(&BatchQuery::Open { limit: OPEN_LIMIT }) else {
        panic!("unexpected answer");
    };
    let taken = warmed_up_table().take(at(0), 50_000, ONE, 3, &index(work));
    assert_eq!(taken, [item(21, 0), item(21, 1), item(21, 2)]);
}

/// Returns open items of one job each, where the first jobs were submitted to `/a/` and the
/// others to `/a/b/`.
fn work_of_two_routes(first: u64, others: u64) -> Arc<OpenIndex> {
    let mut work = due_work(&vec![Some(5_000); (first + others) as usize]);
    let directory = |path: &str, jobs: std::ops::RangeInclusive<u64>| JobDirectory {
        host: "h".to_owned(),
        path: path.to_owned(),
        jobs: jobs.collect(),
    };
    work.directories = vec![
        directory("/a/", 1..=first),
        directory("/a/b/", first + 1..=first + others),
    ];
    index(work)
}

fn room(prefix: &str, capacity: u32) -> RouteRoom {
    RouteRoom {
        routes: vec![("h".to_owned(), prefix.to_owned())],
        capacity,
    }
}

fn taken_jobs(capacity: usize, rooms: &[RouteRoom], work: &Arc<OpenIndex>) -> Vec<u64> {
    let taken = warmed_up_table().take_by_route(at(0), 0, ONE, capacity, rooms, work);
    taken.iter().map(|item| item.job).collect()
}

// Guards against items of a service without engines that fill the places of all gateways, so
// that no item of another service is run.
#[test]
fn items_that_there_is_no_room_for_keep_no_others_waiting() {
    let work = work_of_two_routes(1_000, 3);
    let rooms = [room("/a/", 0), room("/a/b/", 4)];
    assert_eq!(taken_jobs(4, &rooms, &work), [1_001, 1_002, 1_003]);
    let rooms = [room("/a/", 2), room("/a/b/", 1)];
    assert_eq!(taken_jobs(4, &rooms, &work), [1, 2, 1_001]);
    assert_eq!(taken_jobs(2, &rooms, &work), [1, 2]);
    // Routes without a stated room, and gateways that state none.
    assert_eq!(taken_jobs(3, &[room("/a/b/", 1)], &work), [1, 2, 3]);
    assert_eq!(taken_jobs(3, &[room("/a/", 1)], &work), [1]);
    assert_eq!(taken_jobs(3, &[], &work), [1, 2, 3]);
}

// Guards against items of one route that are so many that those of another are not considered.
#[test]
fn many_items_of_one_route_do_not_hide_those_of_another() {
    let mut machine = BatchMachine::new();
    let items = |count: u64| {
        let one = |number| BatchItem {
            id: format!("i-{number}"),
            path: "/x/1".to_owned(),
            headers: Vec::new(),
            body: Vec::new().into(),
            tokens: 1,
        };
        (0..count).map(one).collect::<Vec<BatchItem>>()
    };
    for (job, path, count) in [(1, "/a/one", 200), (2, "/a/two", 200), (3, "/b/three", 30)] {
        let submit = SubmitJob {
            tenant: None,
            id: format!("job-{job}"),
            host: "h".to_owned(),
            path: path.to_owned(),
            submitted_ms: 0,
            due_ms: None,
            queue: String::new(),
            max_queued_tokens: None,
            items: items(count),
        };
        machine.apply(&BatchCommand::Submit(Box::new(submit)));
    }
    let open = |limit| match machine.query(&BatchQuery::Open { limit }) {
        BatchAnswer::Open(work) => {
            let of = |job| {
                work.items
                    .iter()
                    .filter(|open| open.item.job == job)
                    .count()
            };
            [of(1), of(2), of(3)]
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(open(100), [70, 0, 30]);
    assert_eq!(open(20), [10, 0, 10]);
    assert_eq!(open(10_000), [200, 200, 30]);
    assert_eq!(open(0), [0, 0, 0]);
}

proptest! {
    /// Among items that can be done in time, none is handed out before one that is due
    /// earlier. Every item is handed out eventually, however many are more urgent.
    #[test]
    fn no_item_overtakes_one_that_is_due_before_it_and_none_starves(
        times in prop::collection::vec(prop::option::of(0..10_000_u64), 1..40),
        now_ms in 0..10_000_u64,
        at_once in 1..5_usize,
    ) {
        let work = due(&times);
        let mut table = warmed_up_table();
        let mut order = Vec::new();
        for _ in 0..=times.len() {
            order.extend(table.take(at(0), now_ms, ONE, at_once, &work));
        }
        prop_assert_eq!(order.len(), times.len());
        let due_of = |item: &ItemReference| times[item.job as usize - 1].unwrap_or(u64::MAX);
        let in_time: Vec<u64> = order.iter().map(due_of).filter(|&due| due >= now_ms).collect();
        prop_assert!(in_time.is_sorted());
        let first_late = order.iter().position(|item| due_of(item) < now_ms);
        prop_assert!(first_late.is_none_or(|first| first == in_time.len()));
    }
}

// Guards against items that nobody looks at, behind those of other jobs that are due before.
#[test]
fn gateways_that_inspect_items_see_each_job_in_turn() {
    let items: Vec<ItemReference> = (1..=5)
        .flat_map(|job| (0..3).map(move |place| item(job, place)))
        .collect();
    let open = open(&items);
    let mut table = warmed_up_table();
    let nothing = BTreeSet::new();
    let mut seen = BTreeSet::new();
    for step in 0..3 {
        let taken = table.take_to_inspect(at(step), ONE, 2, &open);
        assert_eq!(taken.len(), 2);
        seen.extend(taken.iter().map(|item| item.job));
        assert!(table.renew(at(step), ONE, &nothing, &open).is_empty());
    }
    assert_eq!(seen, (1..=5).collect());
    // Where there are fewer jobs than room, more of their items are inspected.
    assert_eq!(table.take_to_inspect(at(9), ONE, 9, &open).len(), 9);
    // What another gateway runs is left to it.
    assert_eq!(table.take_to_inspect(at(9), TWO, 99, &open).len(), 6);
}
