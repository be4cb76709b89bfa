//! Whose turn it is to look for an engine: of the batch items that wait here,
//! the most urgent one looks and the others rest. All of them looking at once
//! would start in an order of chance, and cost time for each look.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::{Asked, Place, TurnQueue};

/// The turns of one gateway.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    queue: RefCell<TurnQueue>,
    /// Closed when a place has the turn.
    wakes: RefCell<BTreeMap<Place, Sender<()>>>,
}

/// The turn, until it is dropped.
pub(crate) struct Turn(Rc<Turns>);

/// One that waits, until it has the turn or gives up.
struct Waiter {
    turns: Rc<Turns>,
    place: Place,
    woken: Receiver<()>,
    /// Set once it has the turn and no longer waits.
    done: bool,
}

impl Turns {
    /// Waits for the turn of an item that is due at `due_ms`.
    pub async fn take(self: &Rc<Self>, due_ms: Option<u64>) -> Turn {
        let asked = self.queue.borrow_mut().ask(due_ms);
        if let Asked::Waits(place) = asked {
            Waiter::new(self, place).turn().await;
        }
        Turn(self.clone())
    }

    fn pass_on(&self) {
        let next = self.queue.borrow_mut().pass_on(unix_millis());
        if let Some(place) = next
            && let Some(wake) = self.wakes.borrow_mut().remove(&place)
        {
            wake.close();
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.pass_on();
    }
}

impl Waiter {
    fn new(turns: &Rc<Turns>, place: Place) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        turns.wakes.borrow_mut().insert(place, wake);
        Self {
            turns: turns.clone(),
            place,
            woken,
            done: false,
        }
    }

    /// Waits for the turn, which the caller has then.
    async fn turn(mut self) {
        let _closed = self.woken.recv().await;
        self.done = true;
    }
}

impl Drop for Waiter {
    /// Whoever gives up waiting leaves, and passes on a turn that came meanwhile.
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.turns.wakes.borrow_mut().remove(&self.place);
        let waited = self.turns.queue.borrow_mut().leave(self.place);
        if !waited {
            self.turns.pass_on();
        }
    }
}
