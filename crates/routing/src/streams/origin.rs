//! A bounded table of the origins of recent streams.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::Timestamp;

/// Minimum time for which an origin is known after its last report: longer than a caller
/// holds on to a stream.
const ORIGIN_TTL: Duration = Duration::from_secs(20);
/// Maximum number of streams in each of the two generations of a table.
const MAX_GENERATION: usize = 200_000;

/// Streams of one origin, as reported to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OriginReport {
    /// Origin of the streams.
    #[n(0)]
    pub origin: StreamOrigin,
    /// The streams.
    #[n(1)]
    pub streams: Vec<StreamKey>,
}

/// Origins of recent streams. Full tables forget the oldest streams first.
#[derive(Debug, Default)]
pub struct Origins {
    current: Generation,
    previous: Generation,
    began: Timestamp,
}

/// What was reported of one stream.
#[derive(Clone, Debug)]
struct Entry {
    /// Its origin; `None` after reports of different ones.
    origin: Option<Arc<StreamOrigin>>,
    reported: Timestamp,
}

/// An origin, and how long ago it was last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// Time since the last report.
    pub age: Duration,
}

/// Streams reported within the same period.
#[derive(Debug, Default)]
struct Generation {
    streams: HashMap<StreamKey, Entry>,
    /// One copy of each origin.
    origins: BTreeSet<Arc<StreamOrigin>>,
}

impl Generation {
    fn shared(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.origins.get(origin) {
            return shared.clone();
        }
        let shared = Arc::new(origin.clone());
        self.origins.insert(shared.clone());
        shared
    }
}

impl Origins {
    /// Records where a stream began. A stream with two origins has none that is known.
    pub fn record(&mut self, stream: StreamKey, origin: &StreamOrigin, now: Timestamp) {
        let full = self.current.streams.len() >= MAX_GENERATION;
        if full || now.since(self.began) >= ORIGIN_TTL {
            self.previous = std::mem::take(&mut self.current);
            self.began = now;
        }
        let known = self.entry(stream);
        let agrees = known.is_none_or(|known| known.origin.as_deref() == Some(origin));
        let entry = Entry {
            origin: agrees.then(|| self.current.shared(origin)),
            reported: now,
        };
        self.current.streams.insert(stream, entry);
    }

    /// Records a report of another node.
    pub fn record_report(&mut self, report: &OriginReport, now: Timestamp) {
        for stream in &report.streams {
            self.record(*stream, &report.origin, now);
        }
    }

    /// Returns where a stream began, if that is known.
    #[must_use]
    pub fn find(&self, stream: StreamKey, now: Timestamp) -> Option<KnownOrigin> {
        let entry = self.entry(stream)?;
        Some(KnownOrigin {
            origin: entry.origin.as_deref()?.clone(),
            age: now.since(entry.reported),
        })
    }

    fn entry(&self, stream: StreamKey) -> Option<&Entry> {
        let current = self.current.streams.get(&stream);
        current.or_else(|| self.previous.streams.get(&stream))
    }
}
