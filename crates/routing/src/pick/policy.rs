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
pub(super) struct Open<'a> {
    backend: BackendId,
    zone: &'a ZoneName,
    load: f64,
    limit: u32,
    /// Whether batch work probably runs there, so that a new request waits for the step in
    /// progress.
    disturbed: bool,
}

impl Open<'_> {
    /// Returns the load per unit of limit.
    fn pressure(&self) -> f64 {
        self.load / f64::from(self.limit)
    }

    /// Returns the cost of the engine for a request from `zone`, in requests.
    fn cost(&self, zone: &ZoneName, settings: &PickSettings) -> f64 {
        let step = if self.disturbed {
            settings.disturbed_cost
        } else {
            0.0
        };
        let way = if self.zone == zone {
            0.0
        } else {
            settings.zone_cost
        };
        self.load + step + way
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
pub(super) fn open_engines<'a>(
    engines: &'a BTreeMap<BackendId, EngineLoad>,
    now: Timestamp,
    exclude: &[BackendId],
    settings: &PickSettings,
) -> Result<Vec<Open<'a>>, PickError> {
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
        let open = Open {
            backend: *backend,
            zone: &engine.candidate().zone,
            load: engine.load(now, settings.report_valid_for),
            limit: engine.limit(),
            disturbed: engine.is_disturbed(now, settings.report_valid_for),
        };
        if open.load >= f64::from(open.limit) {
            continue;
        }
        if engine.candidate().suspect {
            suspect.push(open);
        } else {
            healthy.push(open);
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
pub(super) fn keep_zone<'a>(
    open: &mut Vec<Open<'a>>,
    zone: &ZoneName,
    settings: &PickSettings,
) -> Vec<Open<'a>> {
    let own = open.iter().filter(|engine| engine.zone == zone);
    let least_own = own.map(Open::pressure).fold(f64::INFINITY, f64::min);
    if least_own == f64::INFINITY {
        return Vec::new();
    }
    let loaded = least_own >= settings.spill_at;
    let most_remote = least_own - settings.spill_margin;
    let keep =
        |engine: &Open<'_>| engine.zone == zone || (loaded && engine.pressure() <= most_remote);
    let (kept, left_out) = open.iter().partition(|engine| keep(engine));
    *open = kept;
    left_out
}

/// Whether engines of other zones are among `open`.
pub(super) fn spills(open: &[Open<'_>], zone: &ZoneName) -> bool {
    open.iter().any(|engine| engine.zone != zone)
}

/// An engine near the least load that caches a prefix of the prompt.
#[derive(Clone, Copy, Debug)]
struct Holding<'a> {
    engine: Open<'a>,
    blocks: u32,
}

/// Returns the engine that caches the longest part of the prompt among those whose load is
/// near the least of `open`. An engine in `elsewhere`, those of other zones, is chosen only
/// if it caches clearly more.
pub(super) fn affinity(
    open: &[Open<'_>],
    elsewhere: &[Open<'_>],
    prefixes: &mut PrefixIndex,
    hashes: &[u64],
    spilled: bool,
    settings: &PickSettings,
) -> Option<Pick> {
    let least = least_load(open);
    let here = longest_holding(open, least, prefixes, hashes, settings);
    let there = longest_holding(elsewhere, least, prefixes, hashes, settings);
    let enough = here.map_or(0, |here| here.blocks) + settings.remote_affinity_blocks;
    let there = there.filter(|there| there.blocks >= enough);
    let chosen = there.or(here)?;
    let mut pick = pick_of(open, PickRule::Affinity, spilled, &[chosen.engine]);
    pick.reason.matched_blocks = chosen.blocks;
    Some(pick)
}

fn longest_holding<'a>(
    engines: &[Open<'a>],
    least_load: f64,
    prefixes: &mut PrefixIndex,
    hashes: &[u64],
    settings: &PickSettings,
) -> Option<Holding<'a>> {
    let is_near = |engine: &Open<'_>, blocks: u32| {
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
    Some(Holding {
        engine: *engine,
        blocks: holders.blocks,
    })
}

/// Returns the cheaper of two random engines, or any engine on which batch work already
/// yields to others, if that one is cheaper still.
pub(super) fn least_cost(
    open: &[Open<'_>],
    elsewhere: &[Open<'_>],
    zone: &ZoneName,
    spilled: bool,
    settings: &PickSettings,
    rng: &mut ChaCha8Rng,
) -> Pick {
    let drawn = better_of_two(open, zone, settings, rng);
    let in_use = open.iter().chain(elsewhere);
    let in_use = in_use.filter(|engine| engine.load >= 1.0 && !engine.disturbed);
    let cost = |engine: &Open<'_>| engine.cost(zone, settings);
    let cheapest = in_use.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    match cheapest.filter(|engine| drawn[0].disturbed && cost(engine) < cost(&drawn[0])) {
        Some(engine) => pick_of(open, PickRule::Undisturbed, spilled, &[*engine, drawn[0]]),
        None if open.len() == 1 => pick_of(open, PickRule::OnlyEngine, spilled, &drawn[..1]),
        None => pick_of(open, PickRule::BetterOfTwo, spilled, &drawn),
    }
}

/// Returns two random engines, the preferred one first, or the same one twice if there is
/// only one.
fn better_of_two<'a>(
    open: &[Open<'a>],
    zone: &ZoneName,
    settings: &PickSettings,
    rng: &mut ChaCha8Rng,
) -> [Open<'a>; 2] {
    if let [only] = open {
        return [*only, *only];
    }
    let first = rng.random_range(0..open.len());
    let mut second = rng.random_range(0..open.len() - 1);
    if second >= first {
        second += 1;
    }
    let (first, second) = (open[first], open[second]);
    let share = |engine: &Open<'_>| engine.cost(zone, settings) / f64::from(engine.limit);
    if share(&second) < share(&first) {
        [second, first]
    } else {
        [first, second]
    }
}

/// Returns the next engine in turn.
pub(super) fn round_robin(open: &[Open<'_>], turn: usize) -> Pick {
    let chosen = open[turn % open.len()];
    pick_of(open, PickRule::RoundRobin, true, &[chosen])
}

/// Returns the engine with the lowest reported load, without correction by this gateway's
/// own requests.
pub(super) fn least_reported(open: &[Open<'_>], engines: &BTreeMap<BackendId, EngineLoad>) -> Pick {
    let reported = |open: &&Open<'_>| engines.get(&open.backend).map_or(0, EngineLoad::reported);
    let chosen = open.iter().min_by_key(reported).copied();
    let chosen = chosen.unwrap_or(open[0]);
    pick_of(open, PickRule::LeastReported, true, &[chosen])
}

fn least_load(open: &[Open<'_>]) -> f64 {
    open.iter()
        .map(|engine| engine.load)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the pick of the first engine in `compared`, with its reason.
fn pick_of(open: &[Open<'_>], rule: PickRule, spilled: bool, compared: &[Open<'_>]) -> Pick {
    Pick {
        backend: compared[0].backend,
        reason: PickReason {
            rule,
            spilled,
            open: open.len() as u32,
            least_load: least_load(open),
            matched_blocks: 0,
            considered: compared.iter().map(Open::considered).collect(),
        },
    }
}
