//! Settled claims on disk.
//!
//! A settled claim must be recognized forever; otherwise a request that is retried late
//! would run twice. Claims that do not fit in memory are written to the payload log as
//! sorted runs, and small runs are merged into larger ones, so that a lookup reads one
//! chunk from each of a few runs. Only one index entry per chunk is kept in memory.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use super::claim_entry::{ClaimHash, ENTRY_BYTES, SettledClaim};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Number of claims in one chunk of a run.
const CHUNK_CLAIMS: usize = 64;
/// Number of runs of one level that are merged into a run of the next level.
const RUNS_PER_MERGE: usize = 8;
/// Number of levels whose runs are merged. Runs of the last level are never merged, which
/// bounds the time that one command can take.
const MERGED_LEVELS: usize = 2;

/// Location of a chunk and the hash of its first claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct ChunkIndex {
    #[n(0)]
    first: ClaimHash,
    #[n(1)]
    location: PayloadLocation,
}

/// A run of claims sorted by hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Run {
    #[n(0)]
    chunks: Vec<ChunkIndex>,
}

/// Sorted runs by level, smallest level first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ClaimArchive {
    #[n(0)]
    levels: Vec<Vec<Run>>,
}

impl ClaimArchive {
    /// Returns the settled claim with this hash, if there is one.
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

    /// Writes `claims` as a run of the first level and merges levels that are full.
    pub(crate) fn add(
        &mut self,
        claims: &BTreeMap<ClaimHash, SettledClaim>,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let entries: Vec<_> = claims.iter().map(|(&hash, &claim)| (hash, claim)).collect();
        let run = Run::write(&entries, payloads)?;
        self.level(0).push(run);
        for level in 0..MERGED_LEVELS {
            if self.level(level).len() == RUNS_PER_MERGE {
                let runs = std::mem::take(self.level(level));
                let merged = Run::merge(&runs, payloads)?;
                self.level(level + 1).push(merged);
            }
        }
        Ok(())
    }

    /// Returns the runs of a level and creates the level if needed.
    fn level(&mut self, level: usize) -> &mut Vec<Run> {
        if self.levels.len() <= level {
            self.levels.resize_with(level + 1, Vec::new);
        }
        &mut self.levels[level]
    }
}

impl Run {
    /// Writes a run of sorted claims.
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

    /// Merges several runs into one new run.
    fn merge(runs: &[Run], payloads: &mut dyn PayloadLog) -> Result<Self, PayloadError> {
        let mut entries = Vec::new();
        for chunk in runs.iter().flat_map(|run| &run.chunks) {
            entries.extend(read_chunk(chunk.location, payloads)?);
        }
        entries.sort_unstable_by_key(|(hash, _)| *hash);
        Self::write(&entries, payloads)
    }

    /// Looks up a claim in the only chunk that can contain it.
    fn find(
        &self,
        hash: ClaimHash,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<SettledClaim>, PayloadError> {
        let next = self.chunks.partition_point(|chunk| chunk.first <= hash);
        let Some(chunk) = next.checked_sub(1).and_then(|at| self.chunks.get(at)) else {
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
