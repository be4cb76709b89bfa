//! Which node stands where, and its settings.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use molespan_settings::{NodeSettings, Peer, Role, Settings};
use molespan_types::{NodeId, ZoneName};

use crate::run::arms::Variant;
use crate::run::profile::Profile;

/// Number of the first replica; the others follow, one in each zone.
const FIRST_REPLICA: u32 = 1;
/// Number of the first gateway; the others follow, one in each zone.
const FIRST_GATEWAY: u32 = 11;
/// Ports of nodes.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Distance between the first ports that processes with neighbouring numbers
/// try, so that runs side by side seldom meet.
const PORT_STRIDE: usize = 97;
/// Requests a second that the one tenant of the load may send.
const TENANT_RATE: u32 = 100_000;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodePlace {
    /// Number.
    pub id: NodeId,
    /// Name.
    pub name: String,
    /// Zone by position.
    pub zone: usize,
    /// Role; each node has one, so that each can be stopped alone.
    pub role: Role,
    /// Where it listens for callers and operators.
    pub http: SocketAddr,
    /// Where it listens for other nodes.
    pub internal: SocketAddr,
}

/// Addresses that are held until they are given up to the nodes.
///
/// The ports lie below those that the system gives to outgoing connections, so
/// that a node which is started again finds its own free.
#[derive(Debug)]
pub struct ReservedAddresses {
    listeners: Vec<TcpListener>,
}

impl ReservedAddresses {
    /// Reserves `count` addresses of the loopback.
    ///
    /// # Errors
    ///
    /// When there are not so many free ports.
    pub fn new(count: usize) -> io::Result<Self> {
        let ports = PORTS.len();
        let first = std::process::id() as usize * PORT_STRIDE % ports;
        let candidates = (0..ports).map(|step| PORTS.start + ((first + step) % ports) as u16);
        let free = candidates.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
        let listeners: Vec<_> = free.take(count).collect();
        match listeners.len() == count {
            true => Ok(Self { listeners }),
            false => Err(io::ErrorKind::AddrNotAvailable.into()),
        }
    }

    /// The addresses.
    ///
    /// # Errors
    ///
    /// When the system does not tell one.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }
}

/// A replica and a gateway in each zone, at `addresses`, two for each node.
#[must_use]
pub fn node_places(zones: usize, addresses: &[SocketAddr]) -> Vec<NodePlace> {
    let roles = [
        (Role::Replica, FIRST_REPLICA),
        (Role::Gateway, FIRST_GATEWAY),
    ];
    let mut addresses = addresses.chunks_exact(2);
    let mut places = Vec::with_capacity(zones * roles.len());
    for (role, first) in roles {
        for zone in 0..zones {
            let Some([http, internal]) = addresses.next() else {
                return places;
            };
            places.push(NodePlace {
                id: NodeId(first + zone as u32),
                name: format!("{role}-{}", zone + 1),
                zone,
                role,
                http: *http,
                internal: *internal,
            });
        }
    }
    places
}

/// What the settings of a node depend on besides its place.
pub struct SettingsContext<'a> {
    /// Sizes.
    pub profile: &'a Profile,
    /// Policies of the arm.
    pub variant: Variant,
    /// Folder that holds the data folders.
    pub folder: &'a Path,
    /// Platform list of each zone.
    pub platforms: &'a [SocketAddr],
    /// Weight store.
    pub weights: SocketAddr,
}

/// The settings of `place`. `seen` tells where the node reaches another one:
/// itself, or the relay of its zone.
pub fn node_settings(
    context: &SettingsContext<'_>,
    place: &NodePlace,
    places: &[NodePlace],
    seen: impl Fn(&NodePlace) -> SocketAddr,
) -> Settings {
    let zones = &context.profile.fleet.zones;
    let mut settings = Settings::new(NodeSettings {
        id: place.id,
        name: place.name.clone(),
        zone: zones[place.zone].clone(),
        roles: vec![place.role],
        http_address: place.http,
        internal_address: place.internal,
        data_folder: context.folder.join(&place.name),
    });
    let others = places.iter().filter(|other| other.id != place.id);
    settings.peers = others
        .map(|other| peer(other, &zones[other.zone], seen(other)))
        .collect();
    settings.platform.list_address = Some(context.platforms[place.zone]);
    settings.platform.weight_store_address = Some(context.weights);
    settings.limits.tenant_requests_per_second = TENANT_RATE;
    settings.limits.tenant_burst = TENANT_RATE;
    settings.limits.tenant_concurrency = TENANT_RATE;
    context.variant.apply(&mut settings, context.profile);
    settings
}

fn peer(place: &NodePlace, zone: &ZoneName, address: SocketAddr) -> Peer {
    Peer {
        id: place.id,
        name: place.name.clone(),
        zone: zone.clone(),
        internal_address: address,
        roles: vec![place.role],
    }
}
