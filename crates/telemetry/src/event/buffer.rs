//! A ring buffer of events and its subscribers.
//!
//! Subscribers read from the ring at their own pace. A subscriber that falls
//! behind by more than the capacity of the ring receives a gap in place of the
//! lost events. Recording never waits for a subscriber and keeps nothing for it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, TrySendError};
use molespan_types::NodeId;

use super::{Event, EventFilter, EventGap, EventInput, EventKind, Watched};

/// The most recent events of one node. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct EventBuffer {
    node: NodeId,
    capacity: usize,
    ring: Arc<Mutex<Ring>>,
}

/// The most recent events, oldest first.
#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Arc<Event>>,
    /// Sequence number of the next event.
    next: u64,
    /// Wakes waiting subscribers.
    wakers: Vec<Sender<()>>,
}

impl Ring {
    /// Returns the sequence number of the oldest event in the ring.
    fn first(&self) -> u64 {
        self.next - self.events.len() as u64
    }
}

impl EventBuffer {
    /// Creates a buffer that keeps the most recent `capacity` events of `node`.
    #[must_use]
    pub fn new(node: NodeId, capacity: usize) -> Self {
        Self {
            node,
            capacity: capacity.max(1),
            ring: Arc::default(),
        }
    }

    /// Records an event. Never waits for a subscriber.
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

    /// Subscribes to future events, preceded by up to `history` past events that are
    /// still in the ring.
    #[must_use]
    pub fn subscribe(&self, filter: EventFilter, history: usize) -> EventSubscription {
        let (waker, wake_receiver) = async_channel::bounded(1);
        let mut ring = self.lock();
        ring.wakers.push(waker);
        let cursor = ring.next.saturating_sub(history as u64).max(ring.first());
        EventSubscription {
            ring: self.ring.clone(),
            filter,
            cursor,
            wake_receiver,
        }
    }

    /// Returns the number of events recorded so far.
    #[must_use]
    pub fn recorded(&self) -> u64 {
        self.lock().next
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A subscriber's read position in the ring.
#[derive(Debug)]
pub struct EventSubscription {
    ring: Arc<Mutex<Ring>>,
    filter: EventFilter,
    /// Sequence number of the next event to read.
    cursor: u64,
    wake_receiver: Receiver<()>,
}

impl EventSubscription {
    /// Waits for the next event that matches the filter, or a gap.
    pub async fn next(&mut self) -> Watched {
        loop {
            if let Some(watched) = self.try_next() {
                return watched;
            }
            if self.wake_receiver.recv().await.is_err() {
                // Unreachable in practice: the ring owns the sender and this
                // subscription owns the ring, so the channel is never closed.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the next event that matches the filter, or a gap, if there is one
    /// already.
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
