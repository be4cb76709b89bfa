//! The queue of scheduled events.

use std::collections::BTreeMap;

use molespan_types::Timestamp;

use crate::address::Address;
use crate::message::Message;

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Sender.
    pub from: Address,
    /// Receiver.
    pub to: Address,
    /// Content.
    pub message: Message,
}

/// An event scheduled for a point in time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrives.
    Deliver(Envelope),
    /// A participant's timer expires.
    Wake(Address),
    /// A fault of the schedule begins.
    FaultBegins(usize),
    /// A fault of the schedule ends.
    FaultEnds(usize),
    /// A piece of work of the schedule begins.
    WorkBegins(usize),
    /// A process that exited by itself is restarted.
    Restart(Address),
}

/// Events ordered by time, and by insertion at equal times.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<(Timestamp, u64), Event>,
    added: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Removes and returns the next event due by `end`.
    pub fn pop(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        let entry = self.events.first_entry()?;
        let (at, _) = *entry.key();
        (at <= end).then(|| (at, entry.remove()))
    }
}
