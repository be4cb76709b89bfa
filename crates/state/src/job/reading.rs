//! Execution of read queries of a job group.

use minicbor::bytes::ByteVec;
use molespan_types::{ItemIndex, JobId};

use super::finished::CHUNK_ITEMS;
use super::items::ItemTable;
use super::machine::JobMachine;
use super::payloads::read;
use super::query::{ItemRecord, JobAnswer, JobQuery, JobStatus};
use crate::payload::{PayloadError, PayloadLog};

/// Maximum total size of the results in one answer, in bytes. A single larger result is
/// still returned alone.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Maximum number of results in one answer.
const MAX_RESULTS: u32 = 4096;
/// Maximum number of summaries in one answer.
const MAX_SUMMARIES: u32 = 1000;

impl JobMachine {
    /// Answers a query; a payload log error becomes [`JobAnswer::Failed`].
    #[must_use]
    pub fn query(&self, query: &JobQuery, payloads: &dyn PayloadLog) -> JobAnswer {
        self.answer(query, payloads)
            .unwrap_or_else(|error| JobAnswer::Failed {
                message: error.to_string(),
            })
    }

    /// Answers a query, or returns the error of the payload log.
    fn answer(
        &self,
        query: &JobQuery,
        payloads: &dyn PayloadLog,
    ) -> Result<JobAnswer, PayloadError> {
        match query {
            JobQuery::Status { job } => Ok(JobAnswer::Status(self.status(*job, payloads)?)),
            JobQuery::List { limit } => self.list(*limit, payloads),
            JobQuery::Results { job, first, limit } => self.results(*job, *first, *limit, payloads),
            JobQuery::Leases => Ok(JobAnswer::Leases(self.leases().collect())),
        }
    }

    /// Returns the summary of a job.
    pub(super) fn status(
        &self,
        id: JobId,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<JobStatus>, PayloadError> {
        if let Some(job) = self.active.get(&id) {
            return Ok(Some(job.status()));
        }
        let Some(job) = self.finished.get(&id) else {
            return Ok(None);
        };
        Ok(Some(job.summary(payloads)?.status))
    }

    /// Returns summaries, newest job first.
    fn list(&self, limit: u32, payloads: &dyn PayloadLog) -> Result<JobAnswer, PayloadError> {
        let limit = limit.min(MAX_SUMMARIES) as usize;
        let mut summaries = Vec::new();
        for &id in self.by_sequence.values().rev().take(limit) {
            summaries.extend(self.status(id, payloads)?);
        }
        Ok(JobAnswer::List(summaries))
    }

    /// Returns results of a job in item order.
    fn results(
        &self,
        id: JobId,
        first: ItemIndex,
        limit: u32,
        payloads: &dyn PayloadLog,
    ) -> Result<JobAnswer, PayloadError> {
        let mut page = Page::starting_at(first.0, limit);
        if let Some(job) = self.active.get(&id) {
            page.extend(&job.items, 0, payloads)?;
            return Ok(page.answer(job.items.len()));
        }
        let Some(job) = self.finished.get(&id) else {
            return Ok(page.answer(0));
        };
        let summary = job.summary(payloads)?;
        let received = summary.status.received;
        while page.next < received && !page.full {
            let number = page.next / CHUNK_ITEMS;
            let chunk = summary.chunk(number, payloads)?;
            page.extend(&chunk, number * CHUNK_ITEMS, payloads)?;
            if chunk.len() == 0 {
                break;
            }
        }
        Ok(page.answer(received))
    }
}

/// Builder of a page of results.
struct Page {
    results: Vec<ItemRecord>,
    /// Next item to examine.
    next: u32,
    limit: u32,
    bytes: usize,
    full: bool,
}

impl Page {
    /// Creates an empty page that starts at item `next`.
    fn starting_at(next: u32, limit: u32) -> Self {
        Self {
            results: Vec::new(),
            next,
            limit: limit.clamp(1, MAX_RESULTS),
            bytes: 0,
            full: false,
        }
    }

    /// Adds the results of `items` until the page is full. The first of `items` is item
    /// `base` of the job.
    fn extend(
        &mut self,
        items: &ItemTable,
        base: u32,
        payloads: &dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let end = base + items.len();
        while self.next < end {
            let index = self.next - base;
            if let (Some(outcome), Some(location)) = (items.outcome(index), items.location(index)) {
                let bytes = self.bytes + location.length as usize;
                let too_large = bytes > MAX_RESULT_BYTES && !self.results.is_empty();
                if too_large || self.results.len() >= self.limit as usize {
                    self.full = true;
                    return Ok(());
                }
                self.bytes = bytes;
                self.results.push(ItemRecord {
                    item: ItemIndex(self.next),
                    outcome,
                    payload: ByteVec::from(read(location, payloads)?),
                });
            }
            self.next += 1;
        }
        Ok(())
    }

    /// Converts the page into the answer for a job with `received` items.
    fn answer(self, received: u32) -> JobAnswer {
        let next = (self.next < received).then_some(ItemIndex(self.next));
        JobAnswer::Results {
            results: self.results,
            next,
        }
    }
}
