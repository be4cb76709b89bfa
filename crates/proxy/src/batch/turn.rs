//! Whose turn it is to look for an engine: of the batch items that wait here,
//! the most urgent one looks and the others rest. All of them looking at once
//! would start in an order of chance, and cost time for each look.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::Urgency;

/// One that waits.
#[derive(Debug)]
struct Waiter {
    due_ms: Option<u64>,
    /// Closed when its turn comes.
    wake: Sender<()>,
}

/// The turns of one gateway. There is one [`Turn`] at a time.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    taken: Cell<bool>,
    waiters: RefCell<BTreeMap<u64, Waiter>>,
    last: Cell<u64>,
}

/// The turn, until it is dropped.
pub(crate) struct Turn(Rc<Turns>);

/// A place among those that wait.
struct Place {
    turns: Rc<Turns>,
    number: u64,
    woken: Receiver<()>,
    /// Set when its turn was taken.
    used: bool,
}

impl Turns {
    /// Waits for the turn of an item that is due at `due_ms`.
    pub async fn take(self: &Rc<Self>, due_ms: Option<u64>) -> Turn {
        if !self.taken.replace(true) {
            return Turn(self.clone());
        }
        let mut place = Place::new(self, due_ms);
        let _closed = place.woken.recv().await;
        place.used = true;
        Turn(self.clone())
    }

    /// Gives the turn to the most urgent one that waits.
    fn pass_on(&self) {
        let mut waiters = self.waiters.borrow_mut();
        let now_ms = unix_millis();
        let urgencies = waiters
            .iter()
            .map(|(&number, waiter)| (Urgency::of(waiter.due_ms, now_ms, 0), number));
        match urgencies
            .min()
            .and_then(|(_, number)| waiters.remove(&number))
        {
            Some(waiter) => {
                waiter.wake.close();
            }
            None => self.taken.set(false),
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.pass_on();
    }
}

impl Place {
    fn new(turns: &Rc<Turns>, due_ms: Option<u64>) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let number = turns.last.get() + 1;
        turns.last.set(number);
        let waiter = Waiter { due_ms, wake };
        turns.waiters.borrow_mut().insert(number, waiter);
        Self {
            turns: turns.clone(),
            number,
            woken,
            used: false,
        }
    }
}

impl Drop for Place {
    /// Whoever gives up waiting leaves, and passes on a turn that came meanwhile.
    fn drop(&mut self) {
        self.turns.waiters.borrow_mut().remove(&self.number);
        if self.woken.is_closed() && !self.used {
            self.turns.pass_on();
        }
    }
}
