//! Selection of the engines that a gateway routes to.
//!
//! Each gateway selects the engines with its highest rendezvous weights: most of them in
//! its own zone, and a share in other zones as spillover capacity. It also selects the
//! engines of its zone for which it is among the few highest-ranked gateways, so that no
//! engine happens to be used by too few gateways.

use molespan_types::{BackendId, NodeId, ZoneName};

use crate::GatewaySet;
use crate::rendezvous::weight;

/// Settings of the subset size.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Number of engines that a gateway selects by rendezvous weight.
    pub size: usize,
    /// Number of these that are in other zones.
    pub spill: usize,
    /// Minimum number of gateways in its zone that use each engine.
    pub cover: usize,
}

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            size: 64,
            spill: 12,
            cover: 3,
        }
    }
}

/// A candidate for a subset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetBackend {
    /// Identifier of the back end.
    pub id: BackendId,
    /// Zone of the back end.
    pub zone: ZoneName,
}

/// Returns the back ends of a service that `node` in `zone` routes to, sorted.
#[must_use]
pub fn subset(
    node: NodeId,
    zone: &ZoneName,
    gateways: &GatewaySet,
    backends: &[SubsetBackend],
    settings: &SubsetSettings,
) -> Vec<BackendId> {
    if backends.len() <= settings.size {
        return sorted(backends.iter().map(|backend| backend.id).collect());
    }
    let (same_zone, other_zones): (Vec<BackendId>, Vec<BackendId>) = split_by_zone(backends, zone);
    let spill = settings.spill.min(other_zones.len());
    let same_zone_count = (settings.size - spill).min(same_zone.len());
    let other_zones_count = settings.size - same_zone_count;
    let mut chosen = highest_weights(node, &same_zone, same_zone_count);
    chosen.extend(highest_weights(node, &other_zones, other_zones_count));
    chosen.extend(covered_by(node, zone, gateways, &same_zone, settings.cover));
    sorted(chosen)
}

fn sorted(mut chosen: Vec<BackendId>) -> Vec<BackendId> {
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

fn split_by_zone(backends: &[SubsetBackend], zone: &ZoneName) -> (Vec<BackendId>, Vec<BackendId>) {
    let (same_zone, other_zones): (Vec<&SubsetBackend>, Vec<&SubsetBackend>) =
        backends.iter().partition(|backend| backend.zone == *zone);
    let ids = |side: Vec<&SubsetBackend>| side.into_iter().map(|backend| backend.id).collect();
    (ids(same_zone), ids(other_zones))
}

fn highest_weights(node: NodeId, backends: &[BackendId], count: usize) -> Vec<BackendId> {
    let mut weighted: Vec<(u64, BackendId)> = backends
        .iter()
        .map(|backend| (weight(node, *backend), *backend))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, backend)| backend).collect()
}

/// Returns the back ends for which fewer than `cover` gateways of the zone rank higher
/// than `node`.
fn covered_by<'a>(
    node: NodeId,
    zone: &ZoneName,
    gateways: &'a GatewaySet,
    same_zone: &'a [BackendId],
    cover: usize,
) -> impl Iterator<Item = BackendId> + 'a {
    let peers: &[NodeId] = gateways.by_zone().get(zone).map_or(&[], Vec::as_slice);
    same_zone.iter().copied().filter(move |backend| {
        let own = weight(node, *backend);
        let outranking = peers
            .iter()
            .filter(|peer| **peer != node && weight(**peer, *backend) > own)
            .take(cover)
            .count();
        outranking < cover
    })
}
