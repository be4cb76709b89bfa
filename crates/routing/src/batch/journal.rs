//! Results that wait to be recorded, bounded by count, bytes and time.

use std::time::Duration;

use molespan_state::job::ItemResult;
use molespan_types::Timestamp;

/// When results are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalSettings {
    /// Results that fill a batch.
    pub most_results: usize,
    /// Payload bytes that fill a batch.
    pub most_bytes: usize,
    /// Longest wait of a result.
    pub longest_wait: Duration,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            most_results: 64,
            most_bytes: 256 * 1_024,
            longest_wait: Duration::from_millis(25),
        }
    }
}

/// Results of one lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Journal {
    results: Vec<ItemResult>,
    bytes: usize,
    oldest: Option<Timestamp>,
}

impl Journal {
    pub(super) fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    pub(super) fn push(&mut self, now: Timestamp, result: ItemResult) {
        self.oldest.get_or_insert(now);
        self.bytes += result.payload.len();
        self.results.push(result);
    }

    /// When the results must be sent at the latest.
    pub(super) fn due_at(&self, settings: &JournalSettings) -> Option<Timestamp> {
        self.oldest.map(|oldest| oldest + settings.longest_wait)
    }

    /// Takes the results if the batch is full, waited long enough, or `flush`.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        settings: &JournalSettings,
        flush: bool,
    ) -> Option<Vec<ItemResult>> {
        let waited = self.due_at(settings).is_some_and(|due| due <= now);
        let full = self.results.len() >= settings.most_results || self.bytes >= settings.most_bytes;
        if self.results.is_empty() || !(full || waited || flush) {
            return None;
        }
        self.bytes = 0;
        self.oldest = None;
        Some(std::mem::take(&mut self.results))
    }
}
