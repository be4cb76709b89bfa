//! Rules of the engine choice, one function each.

use std::collections::BTreeMap;

use molespan_types::{BackendId, Timestamp, ZoneName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::PickSettings;
use super::engine_load::EngineLoad;
use super::prefix::PrefixIndex;
use super::reason::{Considered, Pick, PickError, PickReason, PickRule};

/// Policy by which engines are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickPolicy {
    /// Own zone first, then prefix affinity, then the better of two random engines.
    Affinity,
    /// Own zone first, then the better of two random engines.
    BetterOfTwo,
    /// Baseline: engines in turn.
    RoundRobin,
    /// Baseline: the engine with the lowest reported load.
    LeastReported,
}

/// An engine that may be chosen now.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvailableEngine<'a> {
    backend: BackendId,
    zone: &'a ZoneName,
    load: f64,
    limit: u32,
    /// Whether batch work probably runs there, so that a new request waits for the step in
    /// progress.
    runs_batch: bool,
}

impl AvailableEngine<'_> {
    /// Returns the load per unit of limit.
    fn pressure(&self) -> f64 {
        self.load / f64::from(self.limit)
    }

    /// Returns the cost of the engine for a request from `zone`, in requests.
    fn cost(&self, zone: &ZoneName, settings: &PickSettings) -> f64 {
        let batch_cost = if self.runs_batch {
            settings.batch_interruption_cost
        } else {
            0.0
        };
        let zone_cost = if self.zone == zone {
            0.0
        } else {
            settings.zone_cost
        };
        self.load + batch_cost + zone_cost
    }

    fn considered(&self) -> Considered {
        Considered {
            backend: self.backend,
            load: self.load,
            limit: self.limit,
        }
    }
}

/// Returns the engines below their limits: healthy ones if there are any, else suspected
/// ones.
pub(super) fn available_engines<'a>(
    engines: &'a BTreeMap<BackendId, EngineLoad>,
    now: Timestamp,
    exclude: &[BackendId],
    settings: &PickSettings,
) -> Result<Vec<AvailableEngine<'a>>, PickError> {
    if engines.is_empty() {
        return Err(PickError::NoEngine);
    }
    let mut allowed = 0;
    let mut healthy = Vec::with_capacity(engines.len());
    let mut suspect = Vec::new();
    for (backend, engine) in engines {
        if exclude.contains(backend) {
            continue;
        }
        allowed += 1;
        let available = AvailableEngine {
            backend: *backend,
            zone: &engine.candidate().zone,
            load: engine.load(now, settings.report_valid_for),
            limit: engine.limit(),
            runs_batch: engine.probably_runs_batch(now, settings.report_valid_for),
        };
        if available.load >= f64::from(available.limit) {
            continue;
        }
        if engine.candidate().suspect {
            suspect.push(available);
        } else {
            healthy.push(available);
        }
    }
    match (allowed, healthy.is_empty(), suspect.is_empty()) {
        (0, _, _) => Err(PickError::AllExcluded),
        (_, true, true) => Err(PickError::AllAtLimit),
        (_, true, false) => Ok(suspect),
        _ => Ok(healthy),
    }
}

/// Keeps the engines of `zone`, and adds clearly less loaded remote ones if the zone is
/// loaded. Returns the engines that were left out.
pub(super) fn restrict_to_zone<'a>(
    available: &mut Vec<AvailableEngine<'a>>,
    zone: &ZoneName,
    settings: &PickSettings,
) -> Vec<AvailableEngine<'a>> {
    let own = available.iter().filter(|engine| engine.zone == zone);
    let least_own = own
        .map(AvailableEngine::pressure)
        .fold(f64::INFINITY, f64::min);
    if least_own == f64::INFINITY {
        return Vec::new();
    }
    let loaded = least_own >= settings.spill_at;
    let most_remote = least_own - settings.spill_margin;
    let keep = |engine: &AvailableEngine<'_>| {
        engine.zone == zone || (loaded && engine.pressure() <= most_remote)
    };
    let (kept, left_out) = available.iter().partition(|engine| keep(engine));
    *available = kept;
    left_out
}

/// Whether engines of other zones are among `available`.
pub(super) fn uses_remote_zone(available: &[AvailableEngine<'_>], zone: &ZoneName) -> bool {
    available.iter().any(|engine| engine.zone != zone)
}

/// An engine near the least load that caches a prefix of the prompt.
#[derive(Clone, Copy, Debug)]
struct PrefixHolder<'a> {
    engine: AvailableEngine<'a>,
    blocks: u32,
}

/// Returns the engine that caches the longest part of the prompt among those whose load is
/// near the least of `available`. An engine in `elsewhere`, those of other zones, is chosen only
/// if it caches clearly more.
pub(super) fn affinity(
    available: &[AvailableEngine<'_>],
    elsewhere: &[AvailableEngine<'_>],
    prefixes: &mut PrefixIndex,
    hashes: &[u64],
    spilled: bool,
    settings: &PickSettings,
) -> Option<Pick> {
    let least = least_load(available);
    let local = longest_prefix_holder(available, least, prefixes, hashes, settings);
    let remote = longest_prefix_holder(elsewhere, least, prefixes, hashes, settings);
    let min_remote_blocks = local.map_or(0, |local| local.blocks) + settings.remote_affinity_blocks;
    let remote = remote.filter(|remote| remote.blocks >= min_remote_blocks);
    let chosen = remote.or(local)?;
    let mut pick = pick_of(available, PickRule::Affinity, spilled, &[chosen.engine]);
    pick.reason.matched_blocks = chosen.blocks;
    Some(pick)
}

fn longest_prefix_holder<'a>(
    engines: &[AvailableEngine<'a>],
    least_load: f64,
    prefixes: &mut PrefixIndex,
    hashes: &[u64],
    settings: &PickSettings,
) -> Option<PrefixHolder<'a>> {
    let is_near = |engine: &AvailableEngine<'_>, blocks: u32| {
        let bound = least_load * settings.affinity_factor + settings.affinity_slack;
        engine.load <= bound + f64::from(blocks) / settings.affinity_blocks_per_request
    };
    let is_usable = |backend, blocks| {
        let engine = engines.iter().find(|engine| engine.backend == backend);
        engine.is_some_and(|engine| is_near(engine, blocks))
    };
    let holders = prefixes.longest_match(hashes, is_usable)?;
    let engine = engines
        .iter()
        .filter(|engine| holders.contains(engine.backend) && is_near(engine, holders.blocks))
        .min_by(|a, b| a.load.total_cmp(&b.load))?;
    Some(PrefixHolder {
        engine: *engine,
        blocks: holders.blocks,
    })
}

/// Returns the cheaper of two random engines, or any engine on which batch work already
/// yields to others, if that one is cheaper still.
pub(super) fn least_cost(
    available: &[AvailableEngine<'_>],
    elsewhere: &[AvailableEngine<'_>],
    zone: &ZoneName,
    spilled: bool,
    settings: &PickSettings,
    rng: &mut ChaCha8Rng,
) -> Pick {
    let drawn = better_of_two(available, zone, settings, rng);
    let in_use = available.iter().chain(elsewhere);
    let in_use = in_use.filter(|engine| engine.load >= 1.0 && !engine.runs_batch);
    let cost = |engine: &AvailableEngine<'_>| engine.cost(zone, settings);
    let cheapest = in_use.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    match cheapest.filter(|engine| drawn[0].runs_batch && cost(engine) < cost(&drawn[0])) {
        Some(engine) => pick_of(
            available,
            PickRule::Undisturbed,
            spilled,
            &[*engine, drawn[0]],
        ),
        None if available.len() == 1 => {
            pick_of(available, PickRule::OnlyEngine, spilled, &drawn[..1])
        }
        None => pick_of(available, PickRule::BetterOfTwo, spilled, &drawn),
    }
}

/// Returns two random engines, the preferred one first, or the same one twice if there is
/// only one.
fn better_of_two<'a>(
    available: &[AvailableEngine<'a>],
    zone: &ZoneName,
    settings: &PickSettings,
    rng: &mut ChaCha8Rng,
) -> [AvailableEngine<'a>; 2] {
    if let [only] = available {
        return [*only, *only];
    }
    let first = rng.random_range(0..available.len());
    let mut second = rng.random_range(0..available.len() - 1);
    if second >= first {
        second += 1;
    }
    let (first, second) = (available[first], available[second]);
    let share =
        |engine: &AvailableEngine<'_>| engine.cost(zone, settings) / f64::from(engine.limit);
    if share(&second) < share(&first) {
        [second, first]
    } else {
        [first, second]
    }
}

/// Returns the next engine in turn.
pub(super) fn round_robin(available: &[AvailableEngine<'_>], index: usize) -> Pick {
    let chosen = available[index % available.len()];
    pick_of(available, PickRule::RoundRobin, true, &[chosen])
}

/// Returns the engine with the lowest reported load, without correction by this gateway's
/// own requests.
pub(super) fn least_reported(
    available: &[AvailableEngine<'_>],
    engines: &BTreeMap<BackendId, EngineLoad>,
) -> Pick {
    let reported = |available: &&AvailableEngine<'_>| {
        engines
            .get(&available.backend)
            .map_or(0, EngineLoad::reported)
    };
    let chosen = available.iter().min_by_key(reported).copied();
    let chosen = chosen.unwrap_or(available[0]);
    pick_of(available, PickRule::LeastReported, true, &[chosen])
}

fn least_load(available: &[AvailableEngine<'_>]) -> f64 {
    available
        .iter()
        .map(|engine| engine.load)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the pick of the first engine in `compared`, with its reason.
fn pick_of(
    available: &[AvailableEngine<'_>],
    rule: PickRule,
    spilled: bool,
    compared: &[AvailableEngine<'_>],
) -> Pick {
    Pick {
        backend: compared[0].backend,
        reason: PickReason {
            rule,
            spilled,
            open: available.len() as u32,
            least_load: least_load(available),
            matched_blocks: 0,
            considered: compared.iter().map(AvailableEngine::considered).collect(),
        },
    }
}
