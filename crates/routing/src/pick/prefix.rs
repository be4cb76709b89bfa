//! Index of the prompt prefixes that engines cache, built from cache events and this
//! gateway's routing.
//!
//! Events arrive late and with gaps, and routing only indicates what an engine will
//! probably cache. An entry is therefore either confirmed by an event or expected. A gap
//! drops the engine's expected entries. Once the number of missed events reaches a share of
//! its confirmed entries, those are dropped as well: at most that share can be wrong, and a
//! wrong entry costs one prefill but never a wrong answer.
//!
//! Dropping is cheap: entries carry the epoch in which they were made, and an engine whose
//! entries are dropped gets a new epoch.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use molespan_engine_api::{CacheEvent, CacheEventKind};
use molespan_types::BackendId;

/// Bounds of the prefix index.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixSettings {
    /// Most prefixes that are kept.
    pub max_prefixes: usize,
    /// Most engines that are kept for one prefix.
    pub max_holders: usize,
    /// Share of an engine's confirmed entries that may be invalid because of missed events
    /// before all are dropped.
    pub max_missed_share: f64,
}

impl Default for PrefixSettings {
    fn default() -> Self {
        Self {
            max_prefixes: 50_000,
            max_holders: 4,
            max_missed_share: 0.25,
        }
    }
}

/// Identifies a period between two drops of an engine's entries.
type Epoch = u32;

#[derive(Clone, Copy, Debug)]
struct Holder {
    backend: BackendId,
    confirmed: bool,
    /// Epoch of the engine's confirmed or expected entries when this entry was made.
    epoch: Epoch,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    /// Set on use; spares the entry once when the index is full (second-chance eviction).
    used: bool,
}

#[derive(Clone, Debug)]
struct EngineEvents {
    last_sequence: Option<u64>,
    missed: u64,
    confirmed: u64,
    confirmed_epoch: Epoch,
    expected_epoch: Epoch,
}

impl EngineEvents {
    /// Whether an entry has not been dropped since it was made.
    fn is_valid(&self, holder: &Holder) -> bool {
        let epoch = match holder.confirmed {
            true => self.confirmed_epoch,
            false => self.expected_epoch,
        };
        holder.epoch == epoch
    }
}

type Engines = BTreeMap<BackendId, EngineEvents>;

fn is_current(engines: &Engines, holder: &Holder) -> bool {
    let engine = engines.get(&holder.backend);
    engine.is_some_and(|engine| engine.is_valid(holder))
}

/// The longest prefix of a prompt that some engine caches.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefixMatch<'a> {
    holders: &'a [Holder],
    /// Number of leading blocks of the prompt.
    pub(super) blocks: u32,
}

impl PrefixMatch<'_> {
    pub(super) fn contains(&self, backend: BackendId) -> bool {
        self.holders.iter().any(|holder| holder.backend == backend)
    }
}

/// Index from prefix hashes to the engines that cache the prefix.
#[derive(Clone, Debug)]
pub(super) struct PrefixIndex {
    settings: PrefixSettings,
    entries: HashMap<u64, Entry>,
    /// Hashes in insertion order, for eviction; may include removed ones.
    order: VecDeque<u64>,
    engines: Engines,
    last_epoch: Epoch,
}

impl PrefixIndex {
    pub(super) fn new(settings: PrefixSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            order: VecDeque::new(),
            engines: BTreeMap::new(),
            last_epoch: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the longest prefix in `hashes`, which are sorted shortest first, that some
    /// engine caches and for which `usable` accepts that engine with that number of blocks.
    pub(super) fn longest_match(
        &mut self,
        hashes: &[u64],
        usable: impl Fn(BackendId, u32) -> bool,
    ) -> Option<PrefixMatch<'_>> {
        let engines = &self.engines;
        let mut leading = hashes.iter().enumerate();
        let (position, _) = leading.rfind(|(position, hash)| {
            let blocks = *position as u32 + 1;
            let entry = self.entries.get(hash);
            entry.is_some_and(|entry| {
                entry
                    .holders
                    .iter()
                    .any(|holder| is_current(engines, holder) && usable(holder.backend, blocks))
            })
        })?;
        let entry = self.entries.get_mut(&hashes[position])?;
        entry.used = true;
        // Removes holders that have been dropped since.
        entry.holders.retain(|holder| is_current(engines, holder));
        Some(PrefixMatch {
            holders: &entry.holders,
            blocks: position as u32 + 1,
        })
    }

    /// Returns the number of leading blocks of a prompt that `backend` caches.
    pub(super) fn held_by(&self, backend: BackendId, hashes: &[u64]) -> usize {
        let Some(engine) = self.engines.get(&backend) else {
            return 0;
        };
        let holds = |holder: &Holder| holder.backend == backend && engine.is_valid(holder);
        let held = hashes.iter().rposition(|hash| {
            let entry = self.entries.get(hash);
            entry.is_some_and(|entry| entry.holders.iter().any(holds))
        });
        held.map_or(0, |position| position + 1)
    }

    /// Records that a prompt with these prefixes was sent to `backend`.
    pub(super) fn add_expected(&mut self, backend: BackendId, hashes: &[u64]) {
        for hash in hashes {
            self.add(*hash, backend, false);
        }
    }

    pub(super) fn apply_events(&mut self, backend: BackendId, events: &[CacheEvent]) {
        for event in events {
            if !self.advance(backend, event.sequence) {
                continue;
            }
            match event.kind {
                CacheEventKind::Stored => self.add(event.prefix_hash, backend, true),
                CacheEventKind::Evicted => self.remove(event.prefix_hash, backend),
            }
        }
    }

    /// Removes all entries of an engine that left or restarted.
    pub(super) fn drop_engine(&mut self, backend: BackendId) {
        if self.engines.remove(&backend).is_some() {
            self.retain_holders(|holder| holder.backend != backend);
        }
    }

    /// Records an event's sequence number and handles a gap before it. Returns `false` for
    /// an event that was already applied.
    fn advance(&mut self, backend: BackendId, sequence: u64) -> bool {
        let max_missed_share = self.settings.max_missed_share;
        let epoch = self.next_epoch();
        let engine = self.engine(backend);
        let Some(last) = engine.last_sequence else {
            engine.last_sequence = Some(sequence);
            return true;
        };
        if sequence <= last {
            return false;
        }
        engine.last_sequence = Some(sequence);
        let missed = sequence - last - 1;
        if missed == 0 {
            return true;
        }
        engine.expected_epoch = epoch;
        engine.missed += missed;
        let tolerated = engine.confirmed as f64 * max_missed_share;
        if engine.missed as f64 > tolerated {
            engine.confirmed_epoch = epoch;
            engine.missed = 0;
            engine.confirmed = 0;
        }
        true
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.wrapping_add(1);
        self.last_epoch
    }

    fn engine(&mut self, backend: BackendId) -> &mut EngineEvents {
        let epoch = self.last_epoch;
        self.engines.entry(backend).or_insert(EngineEvents {
            last_sequence: None,
            missed: 0,
            confirmed: 0,
            confirmed_epoch: epoch,
            expected_epoch: epoch,
        })
    }

    fn add(&mut self, hash: u64, backend: BackendId, confirmed: bool) {
        let engine = self.engine(backend);
        let holder = Holder {
            backend,
            confirmed,
            epoch: match confirmed {
                true => engine.confirmed_epoch,
                false => engine.expected_epoch,
            },
        };
        let order = &mut self.order;
        let entry = self.entries.entry(hash).or_insert_with(|| {
            order.push_back(hash);
            Entry::default()
        });
        let mut existing = entry.holders.iter();
        let existing = existing.position(|existing| existing.backend == backend);
        if let Some(existing) = existing {
            let known = entry.holders[existing];
            let still_confirmed = known.confirmed && is_current(&self.engines, &known);
            if still_confirmed {
                return;
            }
            entry.holders[existing] = holder;
        } else {
            if entry.holders.len() == self.settings.max_holders {
                let oldest = entry.holders.remove(0);
                decrement_confirmed(&mut self.engines, oldest);
            }
            entry.holders.push(holder);
        }
        if confirmed {
            self.engine(backend).confirmed += 1;
        }
        self.evict();
    }

    fn remove(&mut self, hash: u64, backend: BackendId) {
        let Some(entry) = self.entries.get_mut(&hash) else {
            return;
        };
        let position = entry
            .holders
            .iter()
            .position(|holder| holder.backend == backend);
        let Some(position) = position else {
            return;
        };
        let holder = entry.holders.remove(position);
        if entry.holders.is_empty() {
            self.entries.remove(&hash);
        }
        decrement_confirmed(&mut self.engines, holder);
    }

    fn retain_holders(&mut self, keep: impl Fn(&Holder) -> bool) {
        self.entries.retain(|_, entry| {
            entry.holders.retain(&keep);
            !entry.holders.is_empty()
        });
        let entries = &self.entries;
        self.order.retain(|hash| entries.contains_key(hash));
    }

    /// Evicts the oldest entries that were not used since they were last spared, until the
    /// index is within its bound.
    fn evict(&mut self) {
        while self.entries.len() > self.settings.max_prefixes {
            let Some(hash) = self.order.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&hash) else {
                continue;
            };
            if entry.used {
                entry.used = false;
                self.order.push_back(hash);
                continue;
            }
            let holders = std::mem::take(&mut entry.holders);
            self.entries.remove(&hash);
            for holder in holders {
                decrement_confirmed(&mut self.engines, holder);
            }
        }
        self.compact_order();
    }

    /// Removes stale hashes from the order: entries that events evicted leave their hashes
    /// behind, and are listed twice if they are stored again.
    fn compact_order(&mut self) {
        if self.order.len() <= 2 * self.settings.max_prefixes {
            return;
        }
        let mut seen = HashSet::with_capacity(self.entries.len());
        let entries = &self.entries;
        self.order
            .retain(|hash| entries.contains_key(hash) && seen.insert(*hash));
    }
}

/// Subtracts a removed holder from its engine's count of confirmed entries.
fn decrement_confirmed(engines: &mut Engines, holder: Holder) {
    if let Some(engine) = engines.get_mut(&holder.backend) {
        let counted = holder.confirmed && engine.is_valid(&holder);
        engine.confirmed = engine.confirmed.saturating_sub(u64::from(counted));
    }
}
