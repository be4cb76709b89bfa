//! Wakeup primitives for tasks that wait for a change.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Wakes all current waiters.
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
    /// Registers for the next wakeup. Must be called before checking the condition to
    /// wait for, or a wakeup may be missed.
    pub fn waiter(&self) -> Waiter {
        Waiter(
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .1
                .clone(),
        )
    }

    /// Wakes all waiters.
    pub fn wake(&self) {
        let mut channel = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        channel.0.close();
        *channel = async_channel::bounded(1);
    }
}

impl Waiter {
    /// Waits until woken.
    pub async fn wait(&self) {
        let _closed = self.0.recv().await;
    }
}

/// Maximum number of wake tokens available at a time.
const MAX_WAKE_TOKENS: usize = 1_024;

/// Wakes a limited number of waiters through tokens. A token that nobody consumes stays
/// available for the next waiter, and may be outdated by then.
#[derive(Debug)]
pub(crate) struct WakeTokens(Sender<()>, Receiver<()>);

impl Default for WakeTokens {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_WAKE_TOKENS);
        Self(sender, receiver)
    }
}

impl WakeTokens {
    /// Ensures that `count` tokens are available.
    pub fn ensure_available(&self, count: usize) {
        for _ in self.0.len()..count.min(MAX_WAKE_TOKENS) {
            let _already_available = self.0.try_send(());
        }
    }

    /// Waits for a token and consumes it.
    pub async fn consume(&self) {
        let _taken = self.1.recv().await;
    }
}
