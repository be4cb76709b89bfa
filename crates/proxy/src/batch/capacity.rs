//! Room for batch items at a gateway, by service.

use std::collections::{BTreeMap, BTreeSet};

use molespan_state::declared::{Route, RouteKind, ServingModel};
use molespan_wire::RouteRoom;

/// Number of items that a gateway may take now.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    /// Number of all items.
    pub total: u32,
    /// The same by route; empty if all batch routes lead to the same services.
    pub rooms: Vec<RouteRoom>,
}

impl Capacity {
    /// Adds up the room at the services of the batch routes, of which no more than `limit`
    /// is used. Routes to the same services share their room.
    pub fn of(model: &ServingModel, limit: u32, room: impl Fn(&str) -> u32) -> Self {
        let room: BTreeMap<&str, u32> = batch_services(model)
            .into_iter()
            .map(|service| (service, room(service)))
            .collect();
        let mut routes: BTreeMap<BTreeSet<&str>, Vec<(String, String)>> = BTreeMap::new();
        for route in batch_routes(model) {
            let of_services = routes.entry(services(route).collect()).or_default();
            of_services.push((route.host.clone(), route.path_prefix.clone()));
        }
        let is_shared = routes.len() <= 1;
        let rooms = routes.into_iter().map(|(services, routes)| {
            let capacity: u32 = services.iter().map(|service| room[service]).sum();
            let capacity = capacity.min(limit);
            RouteRoom { routes, capacity }
        });
        Self {
            total: room.values().sum::<u32>().min(limit),
            rooms: match is_shared {
                true => Vec::new(),
                false => rooms.collect(),
            },
        }
    }

    /// Whether there is no room for the items of some route.
    pub fn lacks_room(&self) -> bool {
        self.total == 0 || self.rooms.iter().any(|room| room.capacity == 0)
    }
}

fn batch_routes(model: &ServingModel) -> impl Iterator<Item = &Route> {
    let routes = model.routes.iter();
    routes.filter(|route| route.kind == RouteKind::Batch)
}

fn services(route: &Route) -> impl Iterator<Item = &str> {
    let destinations = route.destinations.iter();
    destinations.map(|destination| destination.service.as_str())
}

/// Returns the services that batch routes lead to.
pub(super) fn batch_services(model: &ServingModel) -> BTreeSet<&str> {
    batch_routes(model).flat_map(services).collect()
}
