//! Turns of waiting batch items: only the most urgent one tries to pick an engine while the
//! others wait. If all tried at once, they would start in random order, and each attempt
//! would cost time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::{TurnQueue, TurnRequest, WaiterId};

/// The turns of one gateway.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    queue: RefCell<TurnQueue>,
    /// Wake-up channels, closed when the waiter gets the turn.
    wakes: RefCell<BTreeMap<WaiterId, Sender<()>>>,
}

/// The turn, held until it is dropped.
pub(crate) struct Turn(Rc<Turns>);

/// An item that waits until it has the turn or gives up.
struct Waiter {
    turns: Rc<Turns>,
    id: WaiterId,
    woken: Receiver<()>,
    /// Whether the item has received the turn.
    granted: bool,
}

impl Turns {
    /// Waits for the turn of an item that is due at `due_ms`.
    pub async fn acquire(self: &Rc<Self>, due_ms: Option<u64>) -> Turn {
        let requested = self.queue.borrow_mut().request(due_ms);
        if let TurnRequest::Queued(id) = requested {
            Waiter::new(self, id).turn().await;
        }
        Turn(self.clone())
    }

    fn pass_on(&self) {
        let next = self.queue.borrow_mut().pass_on(unix_millis());
        if let Some(id) = next
            && let Some(wake) = self.wakes.borrow_mut().remove(&id)
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
    fn new(turns: &Rc<Turns>, id: WaiterId) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        turns.wakes.borrow_mut().insert(id, wake);
        Self {
            turns: turns.clone(),
            id,
            woken,
            granted: false,
        }
    }

    /// Waits for the turn; the caller holds it afterwards.
    async fn turn(mut self) {
        let _closed = self.woken.recv().await;
        self.granted = true;
    }
}

impl Drop for Waiter {
    /// Leaves the queue if the wait was given up, and passes on a turn that was granted in
    /// the meantime.
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        self.turns.wakes.borrow_mut().remove(&self.id);
        let waited = self.turns.queue.borrow_mut().leave(self.id);
        if !waited {
            self.turns.pass_on();
        }
    }
}
