//! Queue of online requests that wait for an engine; each is woken when it has the turn to
//! pick one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_routing::queue::{EntryId, Limits, Queue, QueueRequest, Refused, Turn};
use molespan_types::Timestamp;

/// Interval at which a request that can still be in time tries to pick an engine.
const PICK_INTERVAL: Duration = Duration::from_millis(8);
/// The same for a late request, which is less urgent.
const LATE_PICK_INTERVAL: Duration = Duration::from_millis(20);

/// The queue of one service and its waiting requests.
#[derive(Debug)]
pub struct ServiceQueue {
    queue: RefCell<Queue>,
    entries: RefCell<BTreeMap<EntryId, WaiterEntry>>,
    /// Requests that have the turn.
    turn_holders: RefCell<Vec<EntryId>>,
    clock: BootClock,
}

/// Wake-up state of a waiting request.
#[derive(Debug)]
struct WaiterEntry {
    wake: Sender<()>,
    turn: Option<Turn>,
    refused: Option<Refused>,
}

/// Result of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Woken {
    /// The request may pick an engine.
    MayPick(Turn),
    /// The request's turn cannot come.
    Refused(Refused),
}

/// A waiting request; it leaves the queue when dropped.
#[derive(Debug)]
pub struct Waiter {
    queue: Rc<ServiceQueue>,
    id: EntryId,
    wake: Receiver<()>,
    /// Whether it has been allowed to pick since it was woken.
    has_picked: Cell<bool>,
    /// When the wait began, and how long it was expected to take.
    since: Timestamp,
    expected: Option<Duration>,
}

impl ServiceQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits, clock: BootClock) -> Rc<Self> {
        Rc::new(Self {
            queue: RefCell::new(Queue::new(limits)),
            entries: RefCell::default(),
            turn_holders: RefCell::default(),
            clock,
        })
    }

    /// Adds a request that needs an engine.
    ///
    /// # Errors
    /// When its turn cannot come.
    pub fn enqueue(self: &Rc<Self>, request: &QueueRequest<'_>) -> Result<Waiter, Refused> {
        let now = self.clock.now();
        let id = self.queue.borrow_mut().enqueue(request, now)?;
        let expected = self.queue.borrow().expected_wait(id, now);
        let (sender, wake) = async_channel::bounded(1);
        let entry = WaiterEntry {
            wake: sender,
            turn: None,
            refused: None,
        };
        self.entries.borrow_mut().insert(id, entry);
        let waiter = Waiter {
            queue: self.clone(),
            id,
            wake,
            has_picked: Cell::new(false),
            since: now,
            expected,
        };
        self.update();
        Ok(waiter)
    }

    /// Wakes all requests that have the turn, since an engine may have capacity.
    pub fn wake_turn_holders(&self) {
        self.update();
        let entries = self.entries.borrow();
        for id in self.turn_holders.borrow().iter() {
            if let Some(entry) = entries.get(id) {
                entry.wake();
            }
        }
    }

    /// Records that a request starts to use a slot of an engine.
    pub fn started(&self) {
        self.queue.borrow_mut().started();
    }

    /// Records that a request leaves an engine, and how long it held a slot if it began.
    /// Wakes the requests that have the turn.
    pub fn ended(&self, held: Option<Duration>) {
        self.queue.borrow_mut().ended(held);
        self.wake_turn_holders();
    }

    /// Returns the number of waiting requests and how many of them can still be in time.
    #[must_use]
    pub fn lengths(&self) -> (usize, usize) {
        let queue = self.queue.borrow();
        (queue.len(), queue.in_time())
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Returns the longest expected wait of a request that arrives now; `None` if it cannot be
    /// estimated.
    #[must_use]
    pub fn capacity_in(&self) -> Option<Duration> {
        self.queue.borrow().capacity_in(self.clock.now())
    }

    /// Updates turns and refusals to the current time.
    fn update(&self) {
        let now = self.clock.now();
        let refused = self.queue.borrow_mut().sweep(now);
        let turns = self.queue.borrow_mut().searching(now);
        let mut entries = self.entries.borrow_mut();
        for (id, refused) in refused {
            if let Some(entry) = entries.get_mut(&id) {
                entry.refused = Some(refused);
                entry.wake();
            }
        }
        let places = turns.iter().map(|&(id, _)| id).collect();
        let before = self.turn_holders.replace(places);
        let over = before
            .iter()
            .filter(|before| turns.iter().all(|(id, _)| id != *before));
        for id in over {
            if let Some(entry) = entries.get_mut(id) {
                entry.turn = None;
            }
        }
        for (id, turn) in turns {
            if let Some(entry) = entries.get_mut(&id)
                && entry.turn.replace(turn).is_none()
            {
                entry.wake();
            }
        }
    }
}

impl WaiterEntry {
    fn wake(&self) {
        let _already_woken = self.wake.try_send(());
    }
}

impl Waiter {
    /// Waits until the request may pick an engine (again) or is refused.
    pub async fn woken(&self) -> Woken {
        loop {
            let (turn, refused) = self.state();
            if let Some(refused) = refused {
                return Woken::Refused(refused);
            }
            match turn {
                Some(turn) if !self.has_picked.replace(true) => {
                    // Consumes the wake-up that is answered here.
                    let _woken = self.wake.try_recv();
                    return Woken::MayPick(turn);
                }
                Some(turn) => {
                    self.wait_to_pick_again(turn).await;
                    self.has_picked.set(false);
                    self.queue.update();
                }
                None => {
                    let _woken = self.wake.recv().await;
                    self.has_picked.set(false);
                }
            }
        }
    }

    /// Ends the wait because an engine was found.
    #[must_use]
    pub fn finish(self) -> WaitResult {
        let now = self.queue.clock.now();
        let in_time = self.queue.queue.borrow_mut().dispatched(self.id, now);
        let waited = now.since(self.since);
        WaitResult {
            in_time: in_time.unwrap_or_default(),
            forecast_error: self.expected.map(|expected| waited.abs_diff(expected)),
        }
    }

    fn state(&self) -> (Option<Turn>, Option<Refused>) {
        let entries = self.queue.entries.borrow();
        let entry = entries.get(&self.id);
        entry.map_or((None, None), |entry| (entry.turn, entry.refused))
    }

    /// Waits until a request that has the turn may pick again.
    async fn wait_to_pick_again(&self, turn: Turn) {
        let again = match turn.in_time {
            true => PICK_INTERVAL,
            false => LATE_PICK_INTERVAL,
        };
        let woken = async {
            let _woken = self.wake.recv().await;
        };
        let due = async {
            Timer::after(again).await;
        };
        future::or(woken, due).await;
    }
}

impl Drop for Waiter {
    /// Leaves the queue and updates the turns, so that the next request gets one.
    fn drop(&mut self) {
        self.queue.entries.borrow_mut().remove(&self.id);
        let now = self.queue.clock.now();
        self.queue.queue.borrow_mut().remove(self.id, now);
        self.queue.update();
    }
}

/// The result of a successful wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// Whether the request can be in time.
    pub in_time: bool,
    /// Absolute difference between the actual and the expected wait.
    pub forecast_error: Option<Duration>,
}
