//! Open items that no gateway runs, by the directory of their jobs and by due time.

use std::collections::{BTreeMap, BTreeSet};

use molespan_state::batch::ItemReference;
use molespan_wire::RouteRoom;

use super::open_index::OpenIndex;

/// An item with its due time in milliseconds since the Unix epoch, ordered by that.
type DueItem = (u64, ItemReference);

/// Open items without a lease, so that selecting items does not scan the leased ones.
#[derive(Debug, Default)]
pub(super) struct Available {
    by_directory: BTreeMap<Option<usize>, BTreeSet<DueItem>>,
}

/// Number of items that a gateway takes at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room<'a> {
    /// Number of all items.
    pub capacity: usize,
    /// Number of the items of some routes.
    pub routes: &'a [RouteRoom],
}

impl Available {
    /// Returns the items that `has_lease` does not say to be leased.
    pub fn new(open: &OpenIndex, has_lease: impl Fn(&ItemReference) -> bool) -> Self {
        let mut available = Self::default();
        for (due_ms, item) in open.items().filter(|(_, item)| !has_lease(item)) {
            available.insert(open, due_ms, item);
        }
        available
    }

    pub fn insert(&mut self, open: &OpenIndex, due_ms: u64, item: ItemReference) {
        let directory = open.directory_of(item.job);
        let items = self.by_directory.entry(directory).or_default();
        items.insert((due_ms, item));
    }

    pub fn remove(&mut self, open: &OpenIndex, due_ms: u64, item: ItemReference) {
        let directory = open.directory_of(item.job);
        if let Some(items) = self.by_directory.get_mut(&directory) {
            items.remove(&(due_ms, item));
        }
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.by_directory.values().map(BTreeSet::len).sum()
    }

    /// Returns all items, the earliest due time of each directory first.
    pub fn iter(&self) -> impl Iterator<Item = DueItem> {
        self.by_directory.values().flatten().copied()
    }

    /// Returns the most urgent items that there is room for, in the order of `Urgency`, for
    /// items that take `run_time_ms` at a current time of `unix_ms`.
    pub fn most_urgent(
        &self,
        unix_ms: u64,
        run_time_ms: u64,
        open: &OpenIndex,
        room: Room<'_>,
    ) -> Vec<ItemReference> {
        const FIRST: ItemReference = ItemReference { job: 0, place: 0 };
        let in_time = (unix_ms.saturating_add(run_time_ms), FIRST);
        let mut left: Vec<u32> = room.routes.iter().map(|one| one.capacity).collect();
        let mut waiting: Vec<_> = self
            .by_directory
            .iter()
            .map(|(directory, items)| {
                let late = items.range(..in_time);
                let by_urgency = items.range(in_time..).chain(late).peekable();
                (room_of(open, *directory, room.routes), by_urgency)
            })
            .collect();
        let mut taken = Vec::new();
        while taken.len() < room.capacity {
            let has_room = |limit: &Option<usize>| limit.is_none_or(|limit| left[limit] > 0);
            let next = waiting
                .iter_mut()
                .filter(|(limit, _)| has_room(limit))
                .filter_map(|(limit, items)| Some((**items.peek()?, limit, items)))
                .min_by_key(|(item, ..)| (*item < in_time, *item));
            let Some(((_, item), limit, items)) = next else {
                break;
            };
            items.next();
            if let Some(limit) = *limit {
                left[limit] -= 1;
            }
            taken.push(item);
        }
        taken
    }
}

/// Returns the index of the room for the jobs of a directory: that of the route with the
/// longest prefix of it. `None` if no room is stated for them.
fn room_of(open: &OpenIndex, directory: Option<usize>, rooms: &[RouteRoom]) -> Option<usize> {
    let directory = &open.directories()[directory?];
    let routes = (0..).zip(rooms).flat_map(|(index, room)| {
        let routes = room.routes.iter();
        routes.map(move |(host, prefix)| (index, host, prefix))
    });
    let fitting = routes.filter(|(_, host, prefix)| {
        **host == directory.host && directory.path.starts_with(prefix.as_str())
    });
    let longest = fitting.max_by_key(|(_, _, prefix)| prefix.len());
    longest.map(|(index, ..)| index)
}
