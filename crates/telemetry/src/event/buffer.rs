//! A bounded ring of events and its subscribers.
//!
//! Subscribers read out of the ring at their own pace. One that falls behind
//! by more than the ring holds finds a gap in place of what it lost; nothing
//! is kept for it, and the work never waits for it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, TrySendError};
use molespan_types::NodeId;

use super::{Event, EventFilter, EventGap, EventInput, EventKind, Watched};

/// The events of one node. Clones share them.
#[derive(Clone, Debug)]
pub struct EventBuffer {
    node: NodeId,
    capacity: usize,
    ring: Arc<Mutex<Ring>>,
}

/// The latest events, the oldest first.
#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Arc<Event>>,
    /// Sequence number of the next event.
    next: u64,
    /// Wakes subscribers that wait.
    wakers: Vec<Sender<()>>,
}

impl Ring {
    /// Sequence number of the oldest event that is still there.
    fn first(&self) -> u64 {
        self.next - self.events.len() as u64
    }
}

impl EventBuffer {
    /// A buffer that keeps the latest `capacity` events of `node`.
    #[must_use]
    pub fn new(node: NodeId, capacity: usize) -> Self {
        Self {
            node,
            capacity: capacity.max(1),
            ring: Arc::default(),
        }
    }

    /// Records one decision. Never waits for a subscriber.
    pub fn record(
        &self,
        at_unix_ms: u64,
        kind: EventKind,
        subject: impl Into<String>,
        reason: impl Into<String>,
        inputs: Vec<EventInput>,
    ) {
        let mut event = Event {
            sequence: 0,
            at_unix_ms,
            node: self.node,
            kind,
            subject: subject.into(),
            reason: reason.into(),
            inputs,
        };
        let mut ring = self.lock();
        event.sequence = ring.next;
        ring.next += 1;
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(Arc::new(event));
        ring.wakers
            .retain(|waker| !matches!(waker.try_send(()), Err(TrySendError::Closed(()))));
    }

    /// Subscribes to the events from now on, preceded by at most `history`
    /// earlier ones that are still there.
    #[must_use]
    pub fn subscribe(&self, filter: EventFilter, history: usize) -> EventSubscription {
        let (waker, woken) = async_channel::bounded(1);
        let mut ring = self.lock();
        ring.wakers.push(waker);
        let cursor = ring.next.saturating_sub(history as u64).max(ring.first());
        EventSubscription {
            ring: self.ring.clone(),
            filter,
            cursor,
            woken,
        }
    }

    /// Number of events recorded so far.
    #[must_use]
    pub fn recorded(&self) -> u64 {
        self.lock().next
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One subscriber's place in the ring.
#[derive(Debug)]
pub struct EventSubscription {
    ring: Arc<Mutex<Ring>>,
    filter: EventFilter,
    /// Sequence number of the next event to look at.
    cursor: u64,
    woken: Receiver<()>,
}

impl EventSubscription {
    /// Waits for the next event that passes the filter, or a gap.
    pub async fn next(&mut self) -> Watched {
        loop {
            if let Some(watched) = self.try_next() {
                return watched;
            }
            if self.woken.recv().await.is_err() {
                // The ring holds the sender as long as it lives, and we hold
                // the ring, so the channel is never closed.
                std::future::pending::<()>().await;
            }
        }
    }

    /// The next event that passes the filter, or a gap, if there is one now.
    pub fn try_next(&mut self) -> Option<Watched> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let first = ring.first();
        if self.cursor < first {
            let gap = EventGap {
                first: self.cursor,
                last: first - 1,
            };
            self.cursor = first;
            return Some(Watched::Gap(gap));
        }
        while self.cursor < ring.next {
            let event = &ring.events[(self.cursor - first) as usize];
            self.cursor += 1;
            if self.filter.matches(event) {
                return Some(Watched::Event(Event::clone(event)));
            }
        }
        None
    }
}
