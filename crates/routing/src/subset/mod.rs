//! Which gateways use which engines of a large service.
//!
//! A gateway that knew every engine would be told of each, walk all of them for every
//! choice, and rarely send twice to the same one. So each engine of a large service is
//! used by a few gateways only, drawn by rendezvous hashing: every engine has as many
//! users as the others, and a gateway or an engine that comes or goes moves only what
//! concerns it. Most of the users stand in the engine's zone where there are enough, and
//! the rest elsewhere, so that a zone without gateways, or without engines, is served.
//!
//! Pure: the caller says who is there and numbers the changes.

mod part;
mod users;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use molespan_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use part::Part;
pub use users::Breadth;
use users::Gateways;

/// Counts changes of a view, so that a watcher gets those behind its mark.
pub type Change = u64;

/// One in so many engines of a large service is told to a gateway that starts before it is
/// known who uses them: about as many as its part, and about as many users for each.
const FIRST_OF: u64 = 32;

/// Gateways that use each of those at the most, about.
pub const FIRST_USERS: u32 = 32;

/// An engine of a service.
#[derive(Clone, Debug)]
struct Member {
    zone: ZoneName,
    key: u64,
    users: Vec<NodeId>,
}

/// The engines of one service.
#[derive(Clone, Debug)]
struct Service {
    engines: BTreeMap<Arc<str>, Member>,
    breadth: Breadth,
    /// Change at which the breadth became as it is.
    changed: Change,
}

/// What a gateway is to hear of its part of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartUpdate {
    /// Engines that are new in the part, or changed.
    pub engines: Vec<Arc<str>>,
    /// Engines that went.
    pub gone: Vec<Arc<str>>,
    /// The whole part, where engines of it went to other gateways.
    pub whole: Option<Vec<Arc<str>>>,
}

/// Which gateways use which engines.
#[derive(Clone, Debug, Default)]
pub struct Subsets {
    gateways: Gateways,
    services: BTreeMap<String, Service>,
    parts: BTreeMap<NodeId, BTreeMap<String, Part>>,
    /// Whether it is known how many gateways there are.
    settled: bool,
    /// Ranks that were computed, as a measure of the work.
    ranked: u64,
}

impl Subsets {
    /// Takes an engine in, or notes that something of it changed.
    pub fn insert(&mut self, service: &str, engine: &str, zone: &ZoneName, change: Change) {
        let held = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| Service {
                engines: BTreeMap::new(),
                breadth: Breadth::Whole,
                changed: change,
            });
        if !self.settled && held.breadth.is_too_broad(held.engines.len()) {
            held.breadth = Breadth::Unsettled;
            held.changed = change;
        }
        let id: Arc<str> = engine.into();
        let member = held.engines.entry(id.clone()).or_insert_with(|| Member {
            zone: zone.clone(),
            key: xxh3_64(engine.as_bytes()),
            users: Vec::new(),
        });
        member.zone.clone_from(zone);
        let users = self.gateways.users(member.key, zone, held.breadth);
        self.ranked += self.gateways.ranked(held.breadth);
        let before = std::mem::replace(&mut member.users, users);
        let after = &member.users;
        for gateway in before.iter().filter(|gateway| !after.contains(gateway)) {
            part(&mut self.parts, *gateway, service, change).release(&id, change);
        }
        for gateway in after {
            part(&mut self.parts, *gateway, service, change).take(&id, change);
        }
    }

    /// Forgets an engine that is there no more.
    pub fn remove(&mut self, service: &str, engine: &str, change: Change) {
        let Some(held) = self.services.get_mut(service) else {
            return;
        };
        let Some(member) = held.engines.remove(engine) else {
            return;
        };
        for gateway in &member.users {
            part(&mut self.parts, *gateway, service, change).lose(engine, change);
        }
    }

    /// Takes in which gateways there are, and decides anew how broadly the engines of
    /// each service are used. Before it is `settled` how many there are, nobody hears of
    /// a service that is too large for every gateway. Says whether anything changed.
    pub fn plan(
        &mut self,
        gateways: &BTreeMap<NodeId, Option<ZoneName>>,
        settled: bool,
        change: Change,
    ) -> bool {
        self.settled = settled;
        // Gateways that are not known yet, or not any more, may be there all the same.
        let (came, went) = match settled {
            true => self.gateways.replace(gateways),
            false => (BTreeSet::new(), BTreeSet::new()),
        };
        self.parts.retain(|gateway, _| !went.contains(gateway));
        let names: Vec<String> = self.services.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            changed |= self.plan_service(&name, &came, &went, settled, change);
        }
        changed
    }

    fn plan_service(
        &mut self,
        name: &str,
        came: &BTreeSet<NodeId>,
        went: &BTreeSet<NodeId>,
        settled: bool,
        change: Change,
    ) -> bool {
        let Some(held) = self.services.get_mut(name) else {
            return false;
        };
        let breadth = held
            .breadth
            .planned(held.engines.len(), self.gateways.len(), settled);
        let rebuilt = breadth != held.breadth;
        if rebuilt {
            held.breadth = breadth;
            held.changed = change;
        }
        let mut changed = rebuilt;
        for (id, member) in &mut held.engines {
            let users_before = member.users.len();
            member.users.retain(|user| !went.contains(user));
            let left = member.users.len() < users_before;
            let users = match rebuilt || left {
                true => {
                    self.ranked += self.gateways.ranked(breadth);
                    self.gateways.users(member.key, &member.zone, breadth)
                }
                false if came.is_empty() || member.users.is_empty() => continue,
                false => {
                    self.ranked += (member.users.len() + came.len()) as u64;
                    let candidates = member.users.iter().chain(came).copied();
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
                part(&mut self.parts, *gateway, name, change).release(id, change);
            }
            for gateway in member.users.iter().filter(|one| !before.contains(one)) {
                part(&mut self.parts, *gateway, name, change).take(id, change);
            }
        }
        changed
    }

    /// How broadly the engines of a service are used, and the change that brought it.
    #[must_use]
    pub fn breadth(&self, service: &str) -> (Breadth, Change) {
        let held = self.services.get(service);
        held.map_or((Breadth::Whole, 0), |held| (held.breadth, held.changed))
    }

    /// Services that are known.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// The gateways that use an engine; `None` where all do.
    #[must_use]
    pub fn users(&self, service: &str, engine: &str) -> Option<&[NodeId]> {
        let held = self.services.get(service)?;
        match held.breadth {
            Breadth::Whole => None,
            _ => held.engines.get(engine).map(|member| &member.users[..]),
        }
    }

    /// Whether a gateway's parts changed behind `since`.
    #[must_use]
    pub fn is_news(&self, gateway: NodeId, since: Change) -> bool {
        let parts = self.parts.get(&gateway);
        parts.is_some_and(|parts| parts.values().any(|part| part.changed() > since))
            || self.services.values().any(|held| held.changed > since)
    }

    /// What changed of a gateway's part of a service behind `since`.
    #[must_use]
    pub fn part_after(&self, gateway: NodeId, service: &str, since: Change) -> PartUpdate {
        let parts = self.parts.get(&gateway);
        let part = parts.and_then(|parts| parts.get(service));
        let (breadth, changed) = self.breadth(service);
        if breadth == Breadth::Unsettled {
            // Whoever knows engines from before goes on with them: this view may have
            // begun anew, as all others may have.
            return PartUpdate::default();
        }
        let narrowed = breadth != Breadth::Whole && changed > since;
        match part {
            Some(part) => part.after(since, narrowed),
            None => PartUpdate {
                whole: narrowed.then(Vec::new),
                ..PartUpdate::default()
            },
        }
    }

    /// Whether a gateway that has just started is to use an engine of a service of which
    /// it is not known yet who uses it. Nobody else's word is needed for the draw, so that
    /// all control nodes tell it of the same ones.
    #[must_use]
    pub fn is_first(&self, gateway: NodeId, service: &str, engine: &str) -> bool {
        let (breadth, _) = self.breadth(service);
        let draw = xxh3_64_with_seed(engine.as_bytes(), u64::from(gateway.0));
        breadth == Breadth::Unsettled && draw.is_multiple_of(FIRST_OF)
    }

    /// Engines of a service that a gateway uses as one of few.
    #[must_use]
    pub fn part_len(&self, gateway: NodeId, service: &str) -> usize {
        let parts = self.parts.get(&gateway);
        let part = parts.and_then(|parts| parts.get(service));
        part.map_or(0, Part::len)
    }

    /// How many ranks were computed so far.
    #[must_use]
    pub fn ranked(&self) -> u64 {
        self.ranked
    }
}

fn part<'p>(
    parts: &'p mut BTreeMap<NodeId, BTreeMap<String, Part>>,
    gateway: NodeId,
    service: &str,
    change: Change,
) -> &'p mut Part {
    let parts = parts.entry(gateway).or_default();
    parts
        .entry(service.to_owned())
        .or_insert_with(|| Part::begun(change))
}
