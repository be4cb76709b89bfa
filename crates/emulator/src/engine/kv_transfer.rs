//! Export and import of KV blocks between engines.

use molespan_engine_api::{BLOCK_TOKENS, CacheEventKind, KvBlockExport};
use molespan_types::Timestamp;

use super::EngineCore;

impl EngineCore {
    /// Exports the cached blocks of the prefix that ends in `prefix_hash`.
    #[must_use]
    pub fn kv_export(&self, prefix_hash: u64) -> KvBlockExport {
        KvBlockExport {
            prefix_hashes: self.scheduler.memory().chain(prefix_hash),
            block_tokens: BLOCK_TOKENS,
        }
    }

    /// Caches blocks exported by another engine. Returns the number of blocks
    /// that were not cached before.
    pub fn kv_import(&mut self, now: Timestamp, blocks: &KvBlockExport) -> u32 {
        if blocks.block_tokens != BLOCK_TOKENS {
            return 0;
        }
        let mut parent = None;
        let mut stored = 0;
        for &hash in &blocks.prefix_hashes {
            if self.scheduler.memory_mut().import(hash, parent) {
                stored += 1;
                self.record_cache(now, CacheEventKind::Stored, hash);
            }
            parent = Some(hash);
        }
        self.record_evictions(now);
        stored
    }
}
