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
