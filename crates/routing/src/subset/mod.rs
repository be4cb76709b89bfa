//! Subsetting: which gateways use which engines of a large service.
//!
//! A gateway that used every engine would receive updates about all of them, scan all of
//! them for every choice, and rarely send two requests to the same one. So each engine of
//! a large service is used by only a few gateways, chosen by rendezvous hashing. Every
//! engine has the same number of users, and a gateway or engine that joins or leaves only
//! affects its own assignments. Where there are enough gateways, most users of an engine
//! are in its zone and the rest in other zones, so that zones without gateways or without
//! engines are served too.
//!
//! The module does no I/O: the caller passes the members in and numbers the changes.

mod part;
mod users;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use molespan_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use part::Subset;
pub use users::Breadth;
use users::Gateways;

/// Sequence number of a change to a view, so that a watcher can request later changes.
pub type Change = u64;

/// A gateway that starts before the subsets of a large service are known uses one in this
/// many engines. That is about the size of its later subset and gives each engine about
/// as many users.
const FIRST_ENGINES_DIVISOR: u64 = 32;

/// Approximate maximum number of gateways that use each of these initial engines.
pub const INITIAL_USERS: u32 = 32;

/// An engine of a service.
#[derive(Clone, Debug)]
struct Member {
    zone: ZoneName,
    key: u64,
    users: Vec<NodeId>,
}

/// The engines of a service.
#[derive(Clone, Debug)]
struct Service {
    engines: BTreeMap<Arc<str>, Member>,
    breadth: Breadth,
    /// Change at which the breadth was last set.
    changed: Change,
}

/// Changes to a gateway's subset of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetUpdate {
    /// Engines that were added to the subset or changed.
    pub engines: Vec<Arc<str>>,
    /// Engines that no longer exist.
    pub removed: Vec<Arc<str>>,
    /// The complete subset, if engines were reassigned to other gateways.
    pub complete: Option<Vec<Arc<str>>>,
}

/// The assignment of engines to gateways.
#[derive(Clone, Debug, Default)]
pub struct Subsets {
    gateways: Gateways,
    services: BTreeMap<String, Service>,
    subsets: BTreeMap<NodeId, BTreeMap<String, Subset>>,
    /// Whether the number of gateways is known.
    settled: bool,
    /// Number of ranks computed, as a measure of work.
    ranks_computed: u64,
}

impl Subsets {
    /// Adds an engine or records that it changed.
    pub fn insert(&mut self, service: &str, engine: &str, zone: &ZoneName, change: Change) {
        let state = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| Service {
                engines: BTreeMap::new(),
                breadth: Breadth::All,
                changed: change,
            });
        if !self.settled && state.breadth.is_too_broad(state.engines.len()) {
            state.breadth = Breadth::Unknown;
            state.changed = change;
        }
        let id: Arc<str> = engine.into();
        let member = state.engines.entry(id.clone()).or_insert_with(|| Member {
            zone: zone.clone(),
            key: xxh3_64(engine.as_bytes()),
            users: Vec::new(),
        });
        member.zone.clone_from(zone);
        let users = self.gateways.users(member.key, zone, state.breadth);
        self.ranks_computed += self.gateways.ranks_computed(state.breadth);
        let before = std::mem::replace(&mut member.users, users);
        let after = &member.users;
        for gateway in before.iter().filter(|gateway| !after.contains(gateway)) {
            subset_mut(&mut self.subsets, *gateway, service, change).reassign(&id, change);
        }
        for gateway in after {
            subset_mut(&mut self.subsets, *gateway, service, change).insert(&id, change);
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, service: &str, engine: &str, change: Change) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(member) = state.engines.remove(engine) else {
            return;
        };
        for gateway in &member.users {
            subset_mut(&mut self.subsets, *gateway, service, change).remove(engine, change);
        }
    }

    /// Updates the gateways and recomputes the breadth and the users of each service.
    /// Until the number of gateways is known (`settled`), no gateway is assigned engines
    /// of a service that may be too large for all of them. Returns whether anything changed.
    pub fn plan(
        &mut self,
        gateways: &BTreeMap<NodeId, Option<ZoneName>>,
        settled: bool,
        change: Change,
    ) -> bool {
        self.settled = settled;
        // Unless settled, gateways missing from the list may still be running.
        let (added, removed) = match settled {
            true => self.gateways.replace(gateways),
            false => (BTreeSet::new(), BTreeSet::new()),
        };
        self.subsets.retain(|gateway, _| !removed.contains(gateway));
        let names: Vec<String> = self.services.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            changed |= self.plan_service(&name, &added, &removed, settled, change);
        }
        changed
    }

    fn plan_service(
        &mut self,
        name: &str,
        added: &BTreeSet<NodeId>,
        removed: &BTreeSet<NodeId>,
        settled: bool,
        change: Change,
    ) -> bool {
        let Some(state) = self.services.get_mut(name) else {
            return false;
        };
        let breadth = state
            .breadth
            .updated(state.engines.len(), self.gateways.len(), settled);
        let rebuilt = breadth != state.breadth;
        if rebuilt {
            state.breadth = breadth;
            state.changed = change;
        }
        let mut changed = rebuilt;
        for (id, member) in &mut state.engines {
            let users_before = member.users.len();
            member.users.retain(|user| !removed.contains(user));
            let lost_users = member.users.len() < users_before;
            let users = match rebuilt || lost_users {
                true => {
                    self.ranks_computed += self.gateways.ranks_computed(breadth);
                    self.gateways.users(member.key, &member.zone, breadth)
                }
                false if added.is_empty() || member.users.is_empty() => continue,
                false => {
                    self.ranks_computed += (member.users.len() + added.len()) as u64;
                    let candidates = member.users.iter().chain(added).copied();
                    self.gateways
                        .users_of(candidates, member.key, &member.zone, breadth)
                }
            };
            if users == member.users {
                continue;
            }
            changed = true;
            let before = std::mem::replace(&mut member.users, users);
            for gateway in before.iter().filter(|one| !member.users.contains(one)) {
                subset_mut(&mut self.subsets, *gateway, name, change).reassign(id, change);
            }
            for gateway in member.users.iter().filter(|one| !before.contains(one)) {
                subset_mut(&mut self.subsets, *gateway, name, change).insert(id, change);
            }
        }
        changed
    }

    /// Returns the breadth of a service and the change that set it.
    #[must_use]
    pub fn breadth(&self, service: &str) -> (Breadth, Change) {
        let state = self.services.get(service);
        state.map_or((Breadth::All, 0), |state| (state.breadth, state.changed))
    }

    /// Returns the names of the known services.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns the gateways that use an engine; `None` if all gateways do or the engine is
    /// unknown.
    #[must_use]
    pub fn users(&self, service: &str, engine: &str) -> Option<&[NodeId]> {
        let state = self.services.get(service)?;
        match state.breadth {
            Breadth::All => None,
            _ => state.engines.get(engine).map(|member| &member.users[..]),
        }
    }

    /// Whether any subset of a gateway, or the breadth of any service, changed after `since`.
    #[must_use]
    pub fn has_changes(&self, gateway: NodeId, since: Change) -> bool {
        let subsets = self.subsets.get(&gateway);
        subsets.is_some_and(|subsets| subsets.values().any(|subset| subset.changed() > since))
            || self.services.values().any(|state| state.changed > since)
    }

    /// Returns the changes to a gateway's subset of a service after `since`.
    #[must_use]
    pub fn changes_after(&self, gateway: NodeId, service: &str, since: Change) -> SubsetUpdate {
        let subsets = self.subsets.get(&gateway);
        let subset = subsets.and_then(|subsets| subsets.get(service));
        let (breadth, changed) = self.breadth(service);
        if breadth == Breadth::Unknown {
            // Gateways keep the engines that they already know, since this view and all
            // others may have been rebuilt after a restart.
            return SubsetUpdate::default();
        }
        let narrowed = breadth != Breadth::All && changed > since;
        match subset {
            Some(subset) => subset.changes_after(since, narrowed),
            None => SubsetUpdate {
                complete: narrowed.then(Vec::new),
                ..SubsetUpdate::default()
            },
        }
    }

    /// Whether a gateway that has just started uses an engine of a service whose subsets
    /// are not known yet. The choice depends only on the two ids, so all control nodes
    /// announce the same engines to it.
    #[must_use]
    pub fn is_initial_engine(&self, gateway: NodeId, service: &str, engine: &str) -> bool {
        let (breadth, _) = self.breadth(service);
        let draw = xxh3_64_with_seed(engine.as_bytes(), u64::from(gateway.0));
        breadth == Breadth::Unknown && draw.is_multiple_of(FIRST_ENGINES_DIVISOR)
    }

    /// Returns the size of a gateway's subset of a service.
    #[must_use]
    pub fn subset_len(&self, gateway: NodeId, service: &str) -> usize {
        let subsets = self.subsets.get(&gateway);
        let subset = subsets.and_then(|subsets| subsets.get(service));
        subset.map_or(0, Subset::len)
    }

    /// Returns the number of ranks computed so far.
    #[must_use]
    pub fn ranks_computed(&self) -> u64 {
        self.ranks_computed
    }
}

fn subset_mut<'s>(
    subsets: &'s mut BTreeMap<NodeId, BTreeMap<String, Subset>>,
    gateway: NodeId,
    service: &str,
    change: Change,
) -> &'s mut Subset {
    let subsets = subsets.entry(gateway).or_default();
    subsets
        .entry(service.to_owned())
        .or_insert_with(|| Subset::new_at(change))
}
