//! The rules of the queue, each on its own.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_routing::queue::{EntryId, Limits, Queue, QueueRequest, Rank, Reason, retry_after};
use molespan_types::Timestamp;
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that arrives at `ms`, without a tenant, rank or size.
fn plain(ms: u64) -> QueueRequest<'static> {
    QueueRequest {
        tenant: None,
        weight: 1,
        rank: Rank::new(None, 0),
        size: None,
        start_by: at(ms + 240),
        useful_until: at(ms + 3_500),
        returned: false,
    }
}

fn enqueue(queue: &mut Queue, request: &QueueRequest<'_>, ms: u64) -> EntryId {
    queue
        .enqueue(request, at(ms))
        .expect("the queue accepts it")
}

/// All waiting requests in dispatch order.
fn order(queue: &Queue, ms: u64) -> Vec<EntryId> {
    let mut queue = queue.clone();
    std::iter::from_fn(|| {
        let &(place, _) = queue.searching(at(ms)).first()?;
        queue.dispatched(place, at(ms));
        Some(place)
    })
    .collect()
}

#[test]
fn a_request_in_an_empty_queue_may_search_immediately() {
    let mut queue = Queue::new(Limits::default());
    let place = enqueue(&mut queue, &plain(1_000), 1_000);
    let (first, turn) = queue.searching(at(1_000))[0];
    assert_eq!(first, place);
    assert!(turn.in_time);
    assert_eq!(queue.dispatched(place, at(1_000)), Some(true));
    assert!(queue.is_empty());
}

#[test]
fn without_ranks_tenants_or_sizes_order_is_by_age_with_in_time_requests_first() {
    let mut queue = Queue::new(Limits::default());
    let places = [1_000, 1_100, 1_200, 1_300].map(|ms| enqueue(&mut queue, &plain(ms), ms));
    assert_eq!(
        order(&queue, 1_300),
        [1, 2, 3, 0].map(|one: usize| places[one])
    );
    assert_eq!(
        order(&queue, 1_400),
        [2, 3, 0, 1].map(|one: usize| places[one])
    );
    assert_eq!(order(&queue, 2_000), places);
}

#[test]
fn ranks_take_precedence_over_age_and_tenant_ranks_over_route_ranks() {
    let mut queue = Queue::new(Limits::default());
    let ranks = [
        (None, 2),
        (Some(0), 9),
        (None, 1),
        (Some(1), 0),
        (None, u32::MAX),
    ];
    let places = ranks.map(|(tenant, route)| {
        let rank = Rank::new(tenant, route);
        let request = QueueRequest {
            rank,
            ..plain(1_000)
        };
        enqueue(&mut queue, &request, 1_000)
    });
    assert_eq!(
        order(&queue, 1_000),
        [1, 3, 2, 0, 4].map(|one: usize| places[one])
    );
    let late = QueueRequest {
        rank: Rank::new(None, 0),
        ..plain(0)
    };
    let late = enqueue(&mut queue, &late, 1_000);
    assert_eq!(order(&queue, 1_000).last(), Some(&late), "it is late");
}

#[test]
fn a_later_request_goes_before_the_backlog_of_another_tenant() {
    let mut queue = Queue::new(Limits::default());
    let flood = QueueRequest {
        tenant: Some("flood"),
        ..plain(1_000)
    };
    let backlog: Vec<EntryId> = (0..10)
        .map(|_| enqueue(&mut queue, &flood, 1_000))
        .collect();
    let one = QueueRequest {
        tenant: Some("one"),
        ..plain(1_010)
    };
    let one = enqueue(&mut queue, &one, 1_010);
    let weighted = QueueRequest {
        tenant: Some("weighty"),
        weight: 3,
        ..plain(1_020)
    };
    let weighted: Vec<EntryId> = (0..4)
        .map(|_| enqueue(&mut queue, &weighted, 1_020))
        .collect();
    let turns = order(&queue, 1_030);
    let first = [
        backlog[0],
        one,
        weighted[0],
        weighted[1],
        weighted[2],
        backlog[1],
        weighted[3],
    ];
    assert_eq!(turns[..7], first);
}

#[test]
fn a_request_returned_from_an_engine_searches_first_however_late_it_is() {
    let mut queue = Queue::new(Limits::default());
    for _ in 0..10 {
        enqueue(&mut queue, &plain(1_000), 1_000);
    }
    let returned = QueueRequest {
        start_by: at(500),
        useful_until: at(1_050),
        returned: true,
        ..plain(1_000)
    };
    let returned = enqueue(&mut queue, &returned, 1_000);
    let searching = queue.searching(at(1_000));
    assert!(searching.iter().any(|(place, _)| *place == returned));
}

#[test]
fn requests_without_a_tenant_delay_no_tenant() {
    let mut queue = Queue::new(Limits::default());
    let keyed = QueueRequest {
        tenant: Some("t"),
        ..plain(1_010)
    };
    for _ in 0..3 {
        enqueue(&mut queue, &keyed, 1_010);
    }
    let mut begun = Vec::new();
    for ms in 1_011..1_021 {
        // For each dispatch, two more requests without a tenant arrive.
        let anonymous = [0, 1].map(|_| enqueue(&mut queue, &plain(900), ms));
        let (place, _) = queue.searching(at(ms))[0];
        queue.dispatched(place, at(ms));
        begun.push(anonymous.contains(&place) || place > 3);
    }
    let of_tenant = begun.iter().filter(|&&anonymous| !anonymous).count();
    assert_eq!(of_tenant, 3, "{begun:?}");
}

#[test]
fn short_answers_overtake_long_ones_within_a_bound() {
    let mut queue = Queue::new(Limits::default());
    let sized = |ms: u64, size: u64| QueueRequest {
        size: Some(size),
        ..plain(ms)
    };
    enqueue(&mut queue, &sized(1_000, 100), 1_000);
    let long = enqueue(&mut queue, &sized(1_010, u64::MAX), 1_010);
    let near = enqueue(&mut queue, &sized(1_050, 100), 1_050);
    let far = enqueue(&mut queue, &sized(1_140, 0), 1_140);
    let turns = order(&queue, 1_140);
    let turn = |place: EntryId| turns.iter().position(|&one| one == place);
    assert!(turn(near) < turn(long));
    assert!(turn(long) < turn(far));
}

/// A queue to which `per_second` requests per second arrive, and from which as many are
/// dispatched, for three seconds while some wait.
fn measured(per_second: u64) -> Queue {
    let mut queue = Queue::new(Limits::default());
    // Requests dispatched at once give no information about later capacity.
    for ms in (1_000..590_000).step_by(100) {
        let place = enqueue(&mut queue, &plain(ms), ms);
        queue.dispatched(place, at(ms));
    }
    for _ in 0..8 {
        enqueue(&mut queue, &plain(601_000), 601_000);
    }
    for number in 0..3 * per_second {
        let ms = 601_000 + number * 1_000 / per_second;
        let (place, _) = queue.searching(at(ms))[0];
        queue.dispatched(place, at(ms));
        enqueue(&mut queue, &plain(ms), ms);
    }
    queue
}

#[test]
fn hopeless_requests_are_refused_on_arrival_except_the_first_in_order() {
    let mut queue = measured(10);
    let mut refused = None;
    for _ in 0..100 {
        match queue.enqueue(&plain(604_000), at(604_000)) {
            Ok(_) => {}
            Err(one) => {
                refused = Some(one);
                break;
            }
        }
    }
    let refused =
        refused.expect("ten per second arrive and are dispatched, so no capacity is left over");
    assert_eq!(refused.reason, Reason::Hopeless);
    assert!(refused.ahead >= 3);
    assert!(
        (5.0..=15.0).contains(&refused.rates.dispatch),
        "{:?}",
        refused.rates
    );
    let again = QueueRequest {
        returned: true,
        ..plain(604_000)
    };
    assert!(
        queue.enqueue(&again, at(604_000)).is_ok(),
        "it comes back from an engine"
    );
    // From here on no request is dispatched.
    let left = queue.len();
    for ms in (604_000..606_500).step_by(30) {
        queue.sweep(at(ms));
    }
    assert!(queue.len() < left);
    assert!(
        queue.len() >= 3,
        "some requests stay to detect when there is capacity again"
    );
    let searching = queue.searching(at(606_500));
    assert_eq!(searching.len(), 3);
    let swept = queue.sweep(at(609_000));
    assert!(queue.is_empty(), "their own time is over");
    assert!(
        swept
            .iter()
            .all(|(_, refused)| refused.reason == Reason::Waited)
    );
}

#[test]
fn no_request_is_refused_by_a_forecast_before_anything_was_measured() {
    let mut queue = Queue::new(Limits::default());
    for number in 0..1_000 {
        let ms = 1_000 + number / 10;
        enqueue(&mut queue, &plain(ms), ms);
    }
    assert!(queue.sweep(at(1_150)).is_empty());
    assert_eq!(queue.capacity_in(at(1_150)), Some(Duration::ZERO));
    // This queue never dispatched a request: its engines may be found at any time.
    assert!(queue.sweep(at(3_000)).is_empty());
    enqueue(&mut queue, &plain(3_000), 3_000);
}

#[test]
fn a_dispatch_after_a_stall_resets_the_forecast() {
    let mut queue = measured(10);
    let again = QueueRequest {
        returned: true,
        ..plain(606_400)
    };
    enqueue(&mut queue, &again, 606_400);
    while queue.enqueue(&plain(606_500), at(606_500)).is_ok() {}
    let &(place, _) = queue
        .searching(at(606_600))
        .first()
        .expect("a request waits");
    queue.dispatched(place, at(606_600));
    assert!(queue.enqueue(&plain(606_600), at(606_600)).is_ok());
}

#[test]
fn a_flood_of_requests_stays_within_the_queue_limit_and_the_share_of_a_tenant() {
    let mut queue = Queue::new(Limits { max_waiting: 1_000 });
    let flood = QueueRequest {
        tenant: Some("flood"),
        ..plain(1_000)
    };
    let results = (0..100_000).map(|_| queue.enqueue(&flood, at(1_000)));
    let refused: Vec<_> = results.filter_map(Result::err).collect();
    assert_eq!(refused.len(), 100_000 - 500);
    assert!(refused.iter().all(|one| one.reason == Reason::TenantFull));
    let other = QueueRequest {
        tenant: Some("unknown"),
        ..plain(1_000)
    };
    assert!(queue.enqueue(&other, at(1_000)).is_ok());
    let results = (0..100_000).map(|_| queue.enqueue(&plain(1_000), at(1_000)));
    let refused: Vec<_> = results.filter_map(Result::err).collect();
    assert!(refused.iter().all(|one| one.reason == Reason::Full));
    assert_eq!(queue.len(), 1_000);
}

#[test]
fn callers_are_not_told_to_retry_before_there_is_capacity() {
    let left = millis(3_000);
    assert!(retry_after(None, left, 0.5) >= left);
    assert!(retry_after(Some(millis(3_000)), left, 0.5) >= left);
    // Callers wait for at most a third of their remaining time.
    for draw in [0.0, 0.3, 1.0, 7.0] {
        let told = retry_after(Some(millis(2_000)), left, draw);
        assert!(told <= left / 3, "{told:?}");
        assert!(told >= left / 5, "{told:?}");
    }
    let earliest = retry_after(Some(Duration::ZERO), left, 0.0);
    assert!(earliest >= millis(100));
    let latest = retry_after(Some(Duration::ZERO), left, 1.0);
    assert!(latest > earliest, "callers come back at different times");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask {
        tenant: Option<u8>,
        rank: u32,
        size: Option<u64>,
    },
    /// One of the requests that may look for an engine is dispatched.
    Begin(usize),
    /// Any waiting request is removed.
    Leave(usize),
    Sweep,
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (prop::option::of(0..3_u8), 0..3_u32, prop::option::of(0..500_u64))
            .prop_map(|(tenant, rank, size)| Step::Ask { tenant, rank, size }),
        2 => (0..3_usize).prop_map(Step::Begin),
        1 => (0..40_usize).prop_map(Step::Leave),
        1 => Just(Step::Sweep),
        2 => (0..400_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// Whatever happens, every waiting request is either still in the queue or was
    /// reported as ended, the first three may look for an engine, and no late request
    /// goes before one that is in time.
    #[test]
    fn no_request_is_lost_and_the_first_in_order_may_search(
        steps in prop::collection::vec(any_step(), 0..200),
    ) {
        let mut queue = Queue::new(Limits { max_waiting: 32 });
        let mut waiting: BTreeSet<EntryId> = BTreeSet::new();
        let mut ms = 1_000;
        for step in steps {
            match step {
                Step::Ask { tenant, rank, size } => {
                    let tenant = tenant.map(|tenant| tenant.to_string());
                    let request = QueueRequest {
                        tenant: tenant.as_deref(),
                        rank: Rank::new(None, rank),
                        size,
                        ..plain(ms)
                    };
                    if let Ok(place) = queue.enqueue(&request, at(ms)) {
                        prop_assert!(waiting.insert(place));
                    }
                }
                Step::Begin(number) => {
                    if let Some(&(place, turn)) = queue.searching(at(ms)).get(number) {
                        prop_assert_eq!(queue.dispatched(place, at(ms)), Some(turn.in_time));
                        prop_assert!(waiting.remove(&place));
                    }
                }
                Step::Leave(number) => {
                    if let Some(&place) = waiting.iter().nth(number) {
                        queue.remove(place, at(ms));
                        waiting.remove(&place);
                    }
                }
                Step::Sweep => {
                    for (place, _) in queue.sweep(at(ms)) {
                        prop_assert!(waiting.remove(&place));
                    }
                }
                Step::Pass(passed) => ms += passed,
            }
            let searching = queue.searching(at(ms));
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(searching.len(), waiting.len().min(3));
            prop_assert!(searching.iter().all(|(place, _)| waiting.contains(place)));
            let in_time = searching.iter().take_while(|(_, turn)| turn.in_time).count();
            prop_assert_eq!(in_time, queue.in_time().min(3));
        }
    }
}
