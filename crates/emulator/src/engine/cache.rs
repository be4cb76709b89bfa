//! KV memory: shared blocks of cached prompt prefixes and private blocks of
//! sequences.

use std::collections::{BTreeMap, HashMap};

/// A cached block.
#[derive(Clone, Debug)]
struct CachedBlock {
    /// Preceding block of the prompt.
    parent: Option<u64>,
    /// Number of sequences that use the block; it is evictable at 0.
    users: u32,
    /// Key in the eviction order; lower values are evicted first.
    released_at: u64,
}

/// Block allocator with a fixed capacity. When a sequence needs space, cached
/// blocks without users are evicted in LRU order.
#[derive(Clone, Debug)]
pub struct KvMemory {
    capacity: u32,
    private: u32,
    blocks: HashMap<u64, CachedBlock>,
    evictable: BTreeMap<u64, u64>,
    release_counter: u64,
    evicted: Vec<u64>,
}

impl KvMemory {
    /// Creates an empty memory of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            private: 0,
            blocks: HashMap::new(),
            evictable: BTreeMap::new(),
            release_counter: 0,
            evicted: Vec::new(),
        }
    }

    /// Returns the number of blocks in use, including cached ones.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.private + self.blocks.len() as u32
    }

    /// Returns the number of blocks held by sequences, which cannot be evicted.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.used() - self.evictable.len() as u32
    }

    /// Returns the total number of blocks.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Whether `hash` is cached.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Whether `count` more blocks fit after evicting all evictable blocks.
    #[must_use]
    pub fn has_room(&self, count: u32) -> bool {
        self.held() + count <= self.capacity
    }

    /// Allocates `count` private blocks, evicting cached blocks as needed.
    /// Returns `false` and allocates nothing if they do not fit.
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

    /// Frees `count` private blocks.
    pub fn free(&mut self, count: u32) {
        self.private = self.private.saturating_sub(count);
    }

    /// Acquires the longest cached prefix of `hashes` and returns its length in
    /// blocks.
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

    /// Releases the cached blocks `hashes`. They stay cached until evicted.
    pub fn release(&mut self, hashes: &[u64]) {
        // Blocks are released in reverse order, so that the end of a prompt is
        // evicted first.
        for &hash in hashes.iter().rev() {
            self.release_one(hash);
        }
    }

    /// Converts one private block of a sequence into the cached block `hash`,
    /// with the sequence as a user. Returns whether the block is new in the
    /// cache.
    pub fn publish(&mut self, hash: u64, parent: Option<u64>) -> bool {
        self.free(1);
        if self.acquire(hash) {
            return false;
        }
        let block = CachedBlock {
            parent,
            users: 1,
            released_at: 0,
        };
        self.blocks.insert(hash, block);
        true
    }

    /// Caches an imported block. Returns `false` if it is already cached or does
    /// not fit.
    pub fn import(&mut self, hash: u64, parent: Option<u64>) -> bool {
        if self.contains(hash) || !self.allocate(1) {
            return false;
        }
        let stored = self.publish(hash, parent);
        self.release_one(hash);
        stored
    }

    /// Returns the cached blocks of the prefix that ends in `hash`, in prompt
    /// order; empty if any of them is missing.
    #[must_use]
    pub fn chain(&self, hash: u64) -> Vec<u64> {
        let mut chain = Vec::new();
        let mut next = Some(hash);
        while let Some(current) = next {
            let Some(block) = self.blocks.get(&current) else {
                // A missing block makes the rest of the prefix unusable.
                chain.clear();
                break;
            };
            chain.push(current);
            next = block.parent;
        }
        chain.reverse();
        chain
    }

    /// Returns the blocks evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    fn acquire(&mut self, hash: u64) -> bool {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return false;
        };
        if block.users == 0 {
            self.evictable.remove(&block.released_at);
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
            self.release_counter += 1;
            block.released_at = self.release_counter;
            self.evictable.insert(self.release_counter, hash);
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, hash)) = self.evictable.pop_first() {
            self.blocks.remove(&hash);
            self.evicted.push(hash);
        }
    }
}
