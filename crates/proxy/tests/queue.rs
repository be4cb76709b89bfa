//! Turns in a service queue: a request that leaves at any moment must not keep the next one
//! from being woken.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::{block_on, poll_once};
use molespan_daemon::boot_clock::BootClock;
use molespan_proxy::queue::{ServiceQueue, Waiter, Woken};
use molespan_routing::queue::{Limits, QueueRequest, Rank, Reason};

/// Time within which a request can be in time, and time for which it waits.
const IN_TIME: Duration = Duration::from_secs(30);
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Number of requests that have the turn at the same time.
const TURN_HOLDERS: usize = 3;

fn queue() -> (Rc<ServiceQueue>, BootClock) {
    let clock = BootClock::start();
    let limits = Limits { max_waiting: 100 };
    (ServiceQueue::new(limits, clock.clone()), clock)
}

fn enqueue(queue: &Rc<ServiceQueue>, clock: &BootClock, waits: Duration) -> Waiter {
    let now = clock.now();
    let request = QueueRequest {
        tenant: None,
        weight: 1,
        rank: Rank::new(None, 0),
        size: None,
        start_by: now + IN_TIME.min(waits),
        useful_until: now + waits,
        returned: false,
    };
    queue.enqueue(&request).expect("the queue is not full")
}

/// Whether the waiter may pick an engine now, without waiting.
fn may_pick(waiter: &Waiter) -> bool {
    let woken = block_on(poll_once(waiter.woken()));
    matches!(woken, Some(Woken::MayPick(turn)) if turn.in_time)
}

#[test]
fn only_the_first_waiters_may_pick() {
    let (queue, clock) = queue();
    let mut waiters: Vec<Waiter> = (0..10).map(|_| enqueue(&queue, &clock, MAX_WAIT)).collect();
    let picked = waiters
        .iter()
        .map(may_pick)
        .filter(|&may_pick| may_pick)
        .count();
    assert_eq!(picked, TURN_HOLDERS);
    assert!(
        waiters[..TURN_HOLDERS].iter().all(|one| !may_pick(one)),
        "a second pick has to wait"
    );
    queue.wake_turn_holders();
    assert_eq!(queue.lengths(), (10, 10));
    let result = waiters.remove(0).finish();
    assert!(result.in_time);
    assert_eq!(queue.lengths(), (9, 9));
}

#[test]
fn a_freed_slot_wakes_only_the_waiters_with_the_turn() {
    let (queue, clock) = queue();
    let waiters: Vec<Waiter> = (0..6).map(|_| enqueue(&queue, &clock, MAX_WAIT)).collect();
    waiters.iter().for_each(|one| {
        may_pick(one);
    });
    block_on(async {
        let mut waits: Vec<_> = waiters.iter().map(|one| Box::pin(one.woken())).collect();
        for wait in &mut waits {
            assert!(poll_once(wait).await.is_none());
        }
        queue.wake_turn_holders();
        let mut woken = 0;
        for wait in &mut waits {
            woken += usize::from(poll_once(wait).await.is_some());
        }
        assert_eq!(woken, TURN_HOLDERS);
    });
}

#[test]
fn a_waiter_that_leaves_passes_its_turn_on() {
    let (queue, clock) = queue();
    let mut waiters: Vec<Waiter> = (0..12).map(|_| enqueue(&queue, &clock, MAX_WAIT)).collect();
    // Waiters leave before being woken, after a turn to pick, while waiting for the next
    // turn, and from the middle of the queue.
    drop(waiters.remove(0));
    assert!(may_pick(&waiters[0]));
    drop(waiters.remove(0));
    may_pick(&waiters[0]);
    block_on(async {
        let wait = waiters[0].woken();
        assert!(
            poll_once(Box::pin(wait)).await.is_none(),
            "the waiter is dropped while it has to rest"
        );
    });
    drop(waiters.remove(0));
    drop(waiters.remove(5));
    let mut served = 0;
    while !waiters.is_empty() {
        let (mut holders, mut others) = (Vec::new(), Vec::new());
        for (number, waiter) in waiters.into_iter().enumerate() {
            match number < TURN_HOLDERS {
                true => holders.push(waiter),
                false => others.push(waiter),
            }
        }
        for waiter in holders {
            assert!(may_pick(&waiter), "the waiter has the turn");
            assert!(waiter.finish().in_time);
            served += 1;
        }
        waiters = others;
    }
    assert_eq!(served, 8);
    assert!(queue.is_empty());
}

#[test]
fn a_waiter_is_refused_at_its_time_limit_without_other_queue_activity() {
    let (queue, clock) = queue();
    let waiter = enqueue(&queue, &clock, Duration::from_millis(60));
    let woken = block_on(async {
        loop {
            if let Woken::Refused(refused) = waiter.woken().await {
                return refused;
            }
        }
    });
    assert_eq!(woken.reason, Reason::Waited);
    assert!(queue.is_empty());
}

#[test]
fn a_full_queue_refuses_at_once() {
    let (queue, clock) = queue();
    let waiters: Vec<Waiter> = (0..100)
        .map(|_| enqueue(&queue, &clock, MAX_WAIT))
        .collect();
    let now = clock.now();
    let request = QueueRequest {
        tenant: None,
        weight: 1,
        rank: Rank::new(None, 0),
        size: None,
        start_by: now + IN_TIME,
        useful_until: now + MAX_WAIT,
        returned: false,
    };
    let refused = queue.enqueue(&request).expect_err("the queue is full");
    assert_eq!(refused.reason, Reason::Full);
    drop(waiters);
    assert!(queue.is_empty());
    assert!(queue.enqueue(&request).is_ok());
}
