//! Turns in a service queue: a request that leaves at any moment must not keep the next one
//! from being woken.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::{block_on, poll_once};
use molespan_daemon::boot_clock::BootClock;
use molespan_proxy::queue::{ServiceQueue, Waiter, Woken};
use molespan_routing::queue::{Limits, Rank, Reason, Want};

/// Time within which a request can be in time, and time for which it waits.
const IN_TIME: Duration = Duration::from_secs(30);
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Number of requests that have the turn at the same time.
const TURN_HOLDERS: usize = 3;

fn queue() -> (Rc<ServiceQueue>, BootClock) {
    let clock = BootClock::start();
    let limits = Limits { most_waiting: 100 };
    (ServiceQueue::new(limits, clock.clone()), clock)
}

fn ask(queue: &Rc<ServiceQueue>, clock: &BootClock, waits: Duration) -> Waiter {
    let now = clock.now();
    let want = Want {
        tenant: None,
        weight: 1,
        rank: Rank::new(None, 0),
        size: None,
        begins_by: now + IN_TIME.min(waits),
        leaves_at: now + waits,
        again: false,
    };
    queue.ask(&want).expect("the queue is not full")
}

/// Whether the waiter may pick an engine now, without waiting.
fn looks(waiter: &Waiter) -> bool {
    let woken = block_on(poll_once(waiter.woken()));
    matches!(woken, Some(Woken::Looks(turn)) if turn.in_time)
}

#[test]
fn the_first_look_and_the_others_rest() {
    let (queue, clock) = queue();
    let mut waiters: Vec<Waiter> = (0..10).map(|_| ask(&queue, &clock, MAX_WAIT)).collect();
    let looked = waiters.iter().map(looks).filter(|&looks| looks).count();
    assert_eq!(looked, TURN_HOLDERS);
    assert!(
        waiters[..TURN_HOLDERS].iter().all(|one| !looks(one)),
        "a second pick has to wait"
    );
    queue.look();
    assert_eq!(queue.lengths(), (10, 10));
    let found = waiters.remove(0).begins();
    assert!(found.in_time);
    assert_eq!(queue.lengths(), (9, 9));
}

#[test]
fn a_freed_slot_wakes_those_that_have_the_turn_and_no_others() {
    let (queue, clock) = queue();
    let waiters: Vec<Waiter> = (0..6).map(|_| ask(&queue, &clock, MAX_WAIT)).collect();
    waiters.iter().for_each(|one| {
        looks(one);
    });
    block_on(async {
        let mut rests: Vec<_> = waiters.iter().map(|one| Box::pin(one.woken())).collect();
        for rest in &mut rests {
            assert!(poll_once(rest).await.is_none());
        }
        queue.look();
        let mut woken = 0;
        for rest in &mut rests {
            woken += usize::from(poll_once(rest).await.is_some());
        }
        assert_eq!(woken, TURN_HOLDERS);
    });
}

#[test]
fn whoever_leaves_passes_its_turn_on() {
    let (queue, clock) = queue();
    let mut waiters: Vec<Waiter> = (0..12).map(|_| ask(&queue, &clock, MAX_WAIT)).collect();
    // Waiters leave before being woken, after a turn to pick, while waiting for the next
    // turn, and from the middle of the queue.
    drop(waiters.remove(0));
    assert!(looks(&waiters[0]));
    drop(waiters.remove(0));
    looks(&waiters[0]);
    block_on(async {
        let rest = waiters[0].woken();
        assert!(
            poll_once(Box::pin(rest)).await.is_none(),
            "the waiter is dropped while it has to rest"
        );
    });
    drop(waiters.remove(0));
    drop(waiters.remove(5));
    let mut served = 0;
    while !waiters.is_empty() {
        let (mut on, mut rest) = (Vec::new(), Vec::new());
        for (number, waiter) in waiters.into_iter().enumerate() {
            match number < TURN_HOLDERS {
                true => on.push(waiter),
                false => rest.push(waiter),
            }
        }
        for waiter in on {
            assert!(looks(&waiter), "the waiter has the turn");
            assert!(waiter.begins().in_time);
            served += 1;
        }
        waiters = rest;
    }
    assert_eq!(served, 8);
    assert!(queue.is_empty());
}

#[test]
fn who_waited_in_vain_is_told_so_though_nobody_else_moves() {
    let (queue, clock) = queue();
    let waiter = ask(&queue, &clock, Duration::from_millis(60));
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
fn beyond_the_bound_one_is_refused_at_once() {
    let (queue, clock) = queue();
    let waiters: Vec<Waiter> = (0..100).map(|_| ask(&queue, &clock, MAX_WAIT)).collect();
    let now = clock.now();
    let want = Want {
        tenant: None,
        weight: 1,
        rank: Rank::new(None, 0),
        size: None,
        begins_by: now + IN_TIME,
        leaves_at: now + MAX_WAIT,
        again: false,
    };
    let refused = queue.ask(&want).expect_err("the queue is full");
    assert_eq!(refused.reason, Reason::Full);
    drop(waiters);
    assert!(queue.is_empty());
    assert!(queue.ask(&want).is_ok());
}
