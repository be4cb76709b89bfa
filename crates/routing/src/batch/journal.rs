//! Buffer of results to be recorded, bounded by count, bytes and time.

use std::time::Duration;

use molespan_state::job::ItemResult;
use molespan_types::Timestamp;

/// When buffered results are sent to the job group.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalSettings {
    /// Number of results at which a batch is sent.
    pub max_results: usize,
    /// Payload bytes at which a batch is sent.
    pub max_bytes: usize,
    /// Maximum time that a result is buffered.
    pub max_wait: Duration,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            max_results: 64,
            max_bytes: 256 * 1_024,
            max_wait: Duration::from_millis(25),
        }
    }
}

/// Buffered results of one lease.
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

    /// Returns the time by which the buffered results must be sent; `None` when
    /// there are none.
    pub(super) fn due_at(&self, settings: &JournalSettings) -> Option<Timestamp> {
        self.oldest.map(|oldest| oldest + settings.max_wait)
    }

    /// Takes the results if the batch is full, its oldest result has reached the
    /// maximum wait, or `flush` is set.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        settings: &JournalSettings,
        flush: bool,
    ) -> Option<Vec<ItemResult>> {
        let waited = self.due_at(settings).is_some_and(|due| due <= now);
        let full = self.results.len() >= settings.max_results || self.bytes >= settings.max_bytes;
        if self.results.is_empty() || !(full || waited || flush) {
            return None;
        }
        self.bytes = 0;
        self.oldest = None;
        Some(std::mem::take(&mut self.results))
    }
}
