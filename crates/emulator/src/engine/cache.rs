//! KV memory: blocks of cached prompt prefixes and blocks of running sequences.

use std::collections::{BTreeMap, HashMap};

/// A cached block.
#[derive(Clone, Debug)]
struct CachedBlock {
    /// Block before it in the prompt.
    parent: Option<u64>,
    /// Sequences that use it; it can be evicted at 0.
    users: u32,
    /// Position in the eviction order.
    used_at: u64,
}

/// Blocks in limited memory. Cached blocks without users are evicted, the
/// least recently used first, when a sequence needs room.
#[derive(Clone, Debug)]
pub struct KvMemory {
    capacity: u32,
    private: u32,
    blocks: HashMap<u64, CachedBlock>,
    evictable: BTreeMap<u64, u64>,
    uses: u64,
    evicted: Vec<u64>,
}

impl KvMemory {
    /// Empty memory of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            private: 0,
            blocks: HashMap::new(),
            evictable: BTreeMap::new(),
            uses: 0,
            evicted: Vec::new(),
        }
    }

    /// Blocks in use, cached ones included.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.private + self.blocks.len() as u32
    }

    /// Blocks that some sequence holds; eviction cannot free them.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.used() - self.evictable.len() as u32
    }

    /// All blocks.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Whether `hash` is cached.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Whether `count` more blocks fit once everything evictable is gone.
    #[must_use]
    pub fn has_room(&self, count: u32) -> bool {
        self.held() + count <= self.capacity
    }

    /// Takes `count` blocks for a sequence, evicting as needed. Returns false,
    /// and takes none, when they do not fit.
    pub fn allocate(&mut self, count: u32) -> bool {
        if !self.has_room(count) {
            return false;
        }
        while self.used() + count > self.capacity {
            self.evict_oldest();
        }
        self.private += count;
        true
    }

    /// Gives back `count` blocks of a sequence.
    pub fn free(&mut self, count: u32) {
        self.private = self.private.saturating_sub(count);
    }

    /// Uses the longest cached run at the start of `hashes`; returns its length.
    pub fn acquire_prefix(&mut self, hashes: &[u64]) -> u32 {
        let mut found = 0;
        for &hash in hashes {
            if !self.acquire(hash) {
                break;
            }
            found += 1;
        }
        found
    }

    /// Ends the use of `hashes`. They stay cached until evicted.
    pub fn release(&mut self, hashes: &[u64]) {
        // The end of a prompt is released first, so that it is evicted first.
        for &hash in hashes.iter().rev() {
            self.release_one(hash);
        }
    }

    /// Turns one block of a sequence into the cached block `hash`, which that
    /// sequence then uses. Returns whether it is new in the cache.
    pub fn publish(&mut self, hash: u64, parent: Option<u64>) -> bool {
        self.free(1);
        if self.acquire(hash) {
            return false;
        }
        let block = CachedBlock {
            parent,
            users: 1,
            used_at: 0,
        };
        self.blocks.insert(hash, block);
        true
    }

    /// Puts an imported block in the cache. Returns whether it is new and fits.
    pub fn import(&mut self, hash: u64, parent: Option<u64>) -> bool {
        if self.contains(hash) || !self.allocate(1) {
            return false;
        }
        let stored = self.publish(hash, parent);
        self.release_one(hash);
        stored
    }

    /// The cached blocks of the prefix that ends in `hash`, shortest first.
    #[must_use]
    pub fn chain(&self, hash: u64) -> Vec<u64> {
        let mut chain = Vec::new();
        let mut next = Some(hash);
        while let Some(current) = next {
            let Some(block) = self.blocks.get(&current) else {
                // A hole: what lies behind it cannot be used.
                chain.clear();
                break;
            };
            chain.push(current);
            next = block.parent;
        }
        chain.reverse();
        chain
    }

    /// Takes the list of blocks evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    fn acquire(&mut self, hash: u64) -> bool {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return false;
        };
        if block.users == 0 {
            self.evictable.remove(&block.used_at);
        }
        block.users += 1;
        true
    }

    fn release_one(&mut self, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        block.users = block.users.saturating_sub(1);
        if block.users == 0 {
            self.uses += 1;
            block.used_at = self.uses;
            self.evictable.insert(self.uses, hash);
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, hash)) = self.evictable.pop_first() {
            self.blocks.remove(&hash);
            self.evicted.push(hash);
        }
    }
}
