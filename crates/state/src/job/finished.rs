//! Finished jobs, whose items and summary are stored in the payload log.
//!
//! The item table is written in chunks, followed by a summary with the locations of the
//! chunks. Only the location of the summary stays in memory, so a page of results costs one
//! read of the summary, one or two reads of chunks, and one read for each result.

use minicbor::{Decode, Encode};
use molespan_types::Digest;

use super::active::ActiveJob;
use super::items::{ITEM_BYTES, ItemTable};
use super::query::{JobPhase, JobStatus};
use crate::codec::{decode, encode};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Number of items in one chunk of the item table.
pub(crate) const CHUNK_ITEMS: u32 = 1024;

/// In-memory entry of a finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FinishedJob {
    /// Sequence number of the job in its group.
    #[n(0)]
    pub(crate) sequence: u64,
    /// Location of the summary.
    #[n(1)]
    summary: PayloadLocation,
}

/// Summary of a finished job as stored in the payload log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Summary {
    /// Digest of the submission.
    #[n(0)]
    pub(crate) digest: Digest,
    /// Final status.
    #[n(1)]
    pub(crate) status: JobStatus,
    /// Locations of the chunks of the item table.
    #[n(2)]
    chunks: Vec<PayloadLocation>,
}

impl FinishedJob {
    /// Writes `job` with the final phase `phase` to the payload log.
    pub(crate) fn write(
        job: &ActiveJob,
        phase: JobPhase,
        payloads: &mut dyn PayloadLog,
    ) -> Result<Self, PayloadError> {
        let mut chunks = Vec::new();
        for first in (0..job.items.len()).step_by(CHUNK_ITEMS as usize) {
            let bytes = job.items.to_bytes(first as usize, CHUNK_ITEMS as usize);
            chunks.push(payloads.append(&bytes)?);
        }
        let summary = Summary {
            digest: job.submission.digest,
            status: JobStatus {
                phase,
                ..job.status()
            },
            chunks,
        };
        Ok(Self {
            sequence: job.sequence,
            summary: payloads.append(&encode(&summary))?,
        })
    }

    /// Reads the summary from the payload log.
    pub(crate) fn summary(&self, payloads: &dyn PayloadLog) -> Result<Summary, PayloadError> {
        let bytes = payloads.read(self.summary)?;
        decode(&bytes).map_err(|_| corrupt(self.summary))
    }
}

impl Summary {
    /// Reads chunk `number` of the item table; empty past the last chunk.
    pub(crate) fn chunk(
        &self,
        number: u32,
        payloads: &dyn PayloadLog,
    ) -> Result<ItemTable, PayloadError> {
        let Some(&location) = self.chunks.get(number as usize) else {
            return Ok(ItemTable::default());
        };
        let bytes = payloads.read(location)?;
        debug_assert_eq!(bytes.len() % ITEM_BYTES, 0);
        ItemTable::from_bytes(&bytes).ok_or_else(|| corrupt(location))
    }
}

/// Returns the error for stored bytes that cannot be decoded.
fn corrupt(location: PayloadLocation) -> PayloadError {
    PayloadError::Corrupt {
        offset: location.offset,
    }
}
