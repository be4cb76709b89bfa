//! Settled claims on disk.
//!
//! A settled claim must be recognised for ever, or a request that is resent
//! late would run twice. Claims that do not fit in memory are written to the
//! payload log as sorted runs, and small runs are merged into larger ones, so
//! that a look-up reads one chunk of few runs. In memory stays one index entry
//! a chunk.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use super::claim_entry::{ClaimHash, ENTRY_BYTES, SettledClaim};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Claims in one chunk of a run.
const CHUNK_CLAIMS: usize = 64;
/// Runs of one level that are merged into a run of the next.
const RUNS_MERGED: usize = 8;
/// Levels whose runs are merged. Those of the last level stay as they are,
/// which bounds the time that one command can take.
const MERGED_LEVELS: usize = 2;

/// Where a chunk lies, and the first claim in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct ChunkIndex {
    #[n(0)]
    first: ClaimHash,
    #[n(1)]
    location: PayloadLocation,
}

/// Claims in the order of their hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Run {
    #[n(0)]
    chunks: Vec<ChunkIndex>,
}

/// Runs by level, the smallest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ClaimArchive {
    #[n(0)]
    levels: Vec<Vec<Run>>,
}

impl ClaimArchive {
    /// Finds a settled claim.
    pub(crate) fn find(
        &self,
        hash: ClaimHash,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<SettledClaim>, PayloadError> {
        for run in self.levels.iter().flatten() {
            if let Some(claim) = run.find(hash, payloads)? {
                return Ok(Some(claim));
            }
        }
        Ok(None)
    }

    /// Writes `claims` as a run of the first level, and merges levels that
    /// have become full.
    pub(crate) fn add(
        &mut self,
        claims: &BTreeMap<ClaimHash, SettledClaim>,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let entries: Vec<_> = claims.iter().map(|(&hash, &claim)| (hash, claim)).collect();
        let run = Run::write(&entries, payloads)?;
        self.level(0).push(run);
        for level in 0..MERGED_LEVELS {
            if self.level(level).len() == RUNS_MERGED {
                let runs = std::mem::take(self.level(level));
                let merged = Run::merge(&runs, payloads)?;
                self.level(level + 1).push(merged);
            }
        }
        Ok(())
    }

    /// The runs of a level.
    fn level(&mut self, level: usize) -> &mut Vec<Run> {
        if self.levels.len() <= level {
            self.levels.resize_with(level + 1, Vec::new);
        }
        &mut self.levels[level]
    }
}

impl Run {
    /// Writes sorted claims.
    fn write(
        entries: &[(ClaimHash, SettledClaim)],
        payloads: &mut dyn PayloadLog,
    ) -> Result<Self, PayloadError> {
        let mut chunks = Vec::with_capacity(entries.len().div_ceil(CHUNK_CLAIMS));
        for chunk in entries.chunks(CHUNK_CLAIMS) {
            let mut bytes = Vec::with_capacity(chunk.len() * ENTRY_BYTES);
            for (hash, claim) in chunk {
                bytes.extend_from_slice(&claim.to_bytes(*hash));
            }
            chunks.push(ChunkIndex {
                first: chunk[0].0,
                location: payloads.append(&bytes)?,
            });
        }
        Ok(Self { chunks })
    }

    /// Writes one run in place of several.
    fn merge(runs: &[Run], payloads: &mut dyn PayloadLog) -> Result<Self, PayloadError> {
        let mut entries = Vec::new();
        for chunk in runs.iter().flat_map(|run| &run.chunks) {
            entries.extend(read_chunk(chunk.location, payloads)?);
        }
        entries.sort_unstable_by_key(|(hash, _)| *hash);
        Self::write(&entries, payloads)
    }

    /// Finds a claim in the one chunk that may have it.
    fn find(
        &self,
        hash: ClaimHash,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<SettledClaim>, PayloadError> {
        let behind = self.chunks.partition_point(|chunk| chunk.first <= hash);
        let Some(chunk) = behind.checked_sub(1).and_then(|at| self.chunks.get(at)) else {
            return Ok(None);
        };
        let entries = read_chunk(chunk.location, payloads)?;
        let found = entries.into_iter().find(|(entry, _)| *entry == hash);
        Ok(found.map(|(_, claim)| claim))
    }
}

/// Reads the claims of a chunk.
fn read_chunk(
    location: PayloadLocation,
    payloads: &dyn PayloadLog,
) -> Result<Vec<(ClaimHash, SettledClaim)>, PayloadError> {
    let bytes = payloads.read(location)?;
    let (records, _) = bytes.as_chunks::<ENTRY_BYTES>();
    Ok(records.iter().map(SettledClaim::from_bytes).collect())
}
