//! Placement and settings of the nodes.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use molespan_settings::{NodeSettings, Peer, Role, Settings};
use molespan_types::{NodeId, ZoneName};

use crate::run::arms::Variant;
use crate::run::profile::Profile;

/// Id of the first replica; the others follow, one per zone.
const FIRST_REPLICA: u32 = 1;
/// Id of the first gateway; the others follow, one per zone.
const FIRST_GATEWAY: u32 = 11;
/// Port range of the nodes.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Distance between the first ports that processes with consecutive ids try, so that
/// concurrent runs seldom conflict.
const PORT_STRIDE: usize = 97;
/// Rate in requests per second, burst and concurrency limit of a tenant.
const TENANT_RATE: u32 = 100_000;

/// Placement of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodePlacement {
    /// Id of the node.
    pub id: NodeId,
    /// Name of the node.
    pub name: String,
    /// Index of the zone.
    pub zone: usize,
    /// Role of the node. Each node has only one, so that roles can be stopped separately.
    pub role: Role,
    /// Listening address for callers and operators.
    pub http: SocketAddr,
    /// Listening address for other nodes.
    pub internal: SocketAddr,
}

/// Addresses that stay bound until they are released for the nodes.
///
/// The ports are below the system's ephemeral ports, so that the port of a node is
/// still free when the node restarts.
#[derive(Debug)]
pub struct ReservedAddresses {
    listeners: Vec<TcpListener>,
}

impl ReservedAddresses {
    /// Reserves `count` addresses of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails if there are fewer than `count` free ports.
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

    /// Returns the reserved addresses.
    ///
    /// # Errors
    ///
    /// Fails if the system does not return the address of a listener.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }
}

/// Places a replica and a gateway in each zone. Each node uses two of `addresses`.
#[must_use]
pub fn node_places(zones: usize, addresses: &[SocketAddr]) -> Vec<NodePlacement> {
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
            places.push(NodePlacement {
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

/// Inputs of a node's settings besides its placement.
pub struct SettingsContext<'a> {
    /// Fleet and load profile.
    pub profile: &'a Profile,
    /// Policies of the arm.
    pub variant: Variant,
    /// Parent of the data folders.
    pub folder: &'a Path,
    /// Address of the platform list of each zone.
    pub platforms: &'a [SocketAddr],
    /// Address of the weight store.
    pub weights: SocketAddr,
}

/// Returns the settings of `place`. `seen` returns the address at which the node
/// reaches another node: the node's own address or that of a relay.
pub fn node_settings(
    context: &SettingsContext<'_>,
    place: &NodePlacement,
    places: &[NodePlacement],
    seen: impl Fn(&NodePlacement) -> SocketAddr,
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

fn peer(place: &NodePlacement, zone: &ZoneName, address: SocketAddr) -> Peer {
    Peer {
        id: place.id,
        name: place.name.clone(),
        zone: zone.clone(),
        internal_address: address,
        roles: vec![place.role],
    }
}
