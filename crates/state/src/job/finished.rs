//! Finished jobs, whose items and summary lie in the payload log.
//!
//! The item table goes there in chunks, then a summary that names them. In
//! memory stays only where the summary lies, so a page of results costs one
//! read of the summary, one or two of chunks, and one for each result.

use minicbor::{Decode, Encode};
use molespan_types::Digest;

use super::active::ActiveJob;
use super::items::{ITEM_BYTES, ItemTable};
use super::query::{JobPhase, JobStatus};
use crate::codec::{decode, encode};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Items in one chunk of the item table.
pub(crate) const CHUNK_ITEMS: u32 = 1024;

/// What stays in memory of a finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FinishedJob {
    /// Its number among the jobs of the group.
    #[n(0)]
    pub(crate) sequence: u64,
    /// Where its summary lies.
    #[n(1)]
    summary: PayloadLocation,
}

/// What the payload log keeps of a finished job besides its items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Summary {
    /// Digest of the submission.
    #[n(0)]
    pub(crate) digest: Digest,
    /// Status at its end.
    #[n(1)]
    pub(crate) status: JobStatus,
    /// Chunks of its item table.
    #[n(2)]
    chunks: Vec<PayloadLocation>,
}

impl FinishedJob {
    /// Writes `job`, which ends in `phase`, to the payload log.
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

    /// Reads its summary.
    pub(crate) fn summary(&self, payloads: &dyn PayloadLog) -> Result<Summary, PayloadError> {
        let bytes = payloads.read(self.summary)?;
        decode(&bytes).map_err(|_| corrupt(self.summary))
    }
}

impl Summary {
    /// Reads chunk `number` of the item table; empty behind the last one.
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

/// The error of bytes that are not what was written.
fn corrupt(location: PayloadLocation) -> PayloadError {
    PayloadError::Corrupt {
        offset: location.offset,
    }
}
