//! Waking all that wait for something at once.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Wakes all that wait at the time.
#[derive(Debug)]
pub(crate) struct Wakeup(Mutex<(Sender<()>, Receiver<()>)>);

/// Waits for the next wakeup.
#[derive(Debug)]
pub(crate) struct Waiter(Receiver<()>);

impl Default for Wakeup {
    fn default() -> Self {
        Self(Mutex::new(async_channel::bounded(1)))
    }
}

impl Wakeup {
    /// Takes part in the next wakeup. To be called before one looks whether
    /// there is something to wait for.
    pub fn waiter(&self) -> Waiter {
        Waiter(
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .1
                .clone(),
        )
    }

    /// Wakes all that wait.
    pub fn wake(&self) {
        let mut channel = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        channel.0.close();
        *channel = async_channel::bounded(1);
    }
}

impl Waiter {
    /// Waits to be woken.
    pub async fn woken(&self) {
        let _closed = self.0.recv().await;
    }
}

/// Invitations that are open at once at the most.
const MOST_INVITATIONS: usize = 1_024;

/// Wakes as many of those that wait as there is something for. One that nobody
/// takes stays open for who comes next, and may be out of date by then.
#[derive(Debug)]
pub(crate) struct Invitations(Sender<()>, Receiver<()>);

impl Default for Invitations {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MOST_INVITATIONS);
        Self(sender, receiver)
    }
}

impl Invitations {
    /// Sees to it that `count` invitations are open.
    pub fn wake_some(&self, count: usize) {
        for _ in self.0.len()..count.min(MOST_INVITATIONS) {
            let _open_already = self.0.try_send(());
        }
    }

    /// Waits for an invitation and takes it.
    pub async fn invited(&self) {
        let _taken = self.1.recv().await;
    }
}
