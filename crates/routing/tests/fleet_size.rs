//! Work of one gateway and one relay in a fleet, and in one with twice as many gateways and
//! engines. Work is counted, not timed.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::dispatch::{
    EngineFacts, EngineTable, Pick, PromptCost, ReportSource, Standing, WorkClass, WorkRelay,
    WorkShare,
};
use molespan_routing::subset::Subsets;
use molespan_types::{NodeId, Timestamp, ZoneName};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "s";
const ZONES: usize = 5;
/// Number of relays, one per zone.
const RELAYS: usize = ZONES;
/// Mean number of requests that a gateway has in flight at engines.
const REQUESTS: f64 = 0.6;

fn zone(place: usize) -> ZoneName {
    format!("z{}", place % ZONES).as_str().into()
}

fn engine(place: usize) -> String {
    format!("i-{place:06}")
}

/// The gateways and the engines that each uses.
struct Fleet {
    subsets: Subsets,
    parts: BTreeMap<NodeId, Vec<String>>,
}

impl Fleet {
    fn of(gateways: usize, engines: usize) -> Self {
        let nodes = (0..gateways).map(|place| (NodeId(place as u32 + 1), Some(zone(place))));
        let mut subsets = Subsets::default();
        for place in 0..engines {
            subsets.insert(SERVICE, &engine(place), &zone(place), 1);
        }
        subsets.plan(&nodes.collect(), true, 2);
        let mut parts: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for place in 0..engines {
            let engine = engine(place);
            for user in subsets.users(SERVICE, &engine).expect("few") {
                parts.entry(*user).or_default().push(engine.clone());
            }
        }
        Self { subsets, parts }
    }

    /// Returns the requests in flight of each gateway.
    fn work(&self, seed: u64) -> BTreeMap<NodeId, Vec<WorkShare>> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let parts = self.parts.iter();
        let work = parts.map(|(&gateway, part)| {
            let mut shares = Vec::new();
            if random.random_bool(REQUESTS) {
                let engine = part.choose(&mut random).expect("engines");
                shares.push(share(engine));
            }
            (gateway, shares)
        });
        work.collect()
    }

    /// Returns the number of shares that one zone's relay sends to its gateways in a round, and
    /// the number of those gateways.
    fn sent_by_relay(&self) -> (usize, usize) {
        let mut relays: Vec<WorkRelay> = vec![WorkRelay::default(); RELAYS];
        let now = Timestamp::ZERO;
        for (gateway, shares) in self.work(1) {
            let relay = (gateway.0 as usize - 1) % RELAYS;
            relays[relay].note(gateway, ReportSource::Gateway, shares, now);
        }
        let sums: Vec<Vec<WorkShare>> = relays.iter().map(WorkRelay::sum_of_gateways).collect();
        let mut relay = relays.swap_remove(0);
        for (place, sum) in sums.into_iter().enumerate().skip(1) {
            relay.note(
                NodeId(900_000 + place as u32),
                ReportSource::Relay,
                sum,
                now,
            );
        }
        let sent = relay.shares_by_user(|engines| {
            let users = engines.iter();
            let users = users.map(|engine| self.subsets.users(SERVICE, engine));
            users.map(|users| users.map(<[NodeId]>::to_vec)).collect()
        });
        let shares = sent.iter().map(|(_, shares)| shares.len()).sum();
        (shares, sent.len())
    }

    /// Returns the number of engines in a gateway's table, all of which a pick scans.
    fn table_size(&self, gateway: NodeId) -> usize {
        let mut table = EngineTable::new(zone(gateway.0 as usize - 1), 1);
        let now = Timestamp::ZERO;
        for (place, id) in self.parts[&gateway].iter().enumerate() {
            let address = ([10, 0, (place / 250) as u8, (place % 250) as u8], 80).into();
            let facts = EngineFacts {
                id: id.clone(),
                service: SERVICE.to_owned(),
                address,
                zone: zone(0),
                slots: 8,
                version: None,
            };
            table.add_engine(NodeId(900_000), facts, now);
        }
        let pick = Pick {
            service: SERVICE,
            class: WorkClass::Online,
            standing: Standing::Late,
            prompt: PromptCost::default(),
            tried: &BTreeSet::new(),
            suspect: false,
            version: None,
        };
        assert!(table.pick(&pick, now).is_ok());
        table.len()
    }
}

fn share(engine: &str) -> WorkShare {
    WorkShare {
        engine: engine.to_owned(),
        requests: 1,
        unread_tokens: 0,
        batch: 0,
        failing: 0,
        answering: 1,
        errors: 0,
        answers: 10,
        ..WorkShare::default()
    }
}

#[test]
fn doubling_the_fleet_keeps_gateway_work_and_doubles_relay_work() {
    let fleet = Fleet::of(400, 5_000);
    let twice = Fleet::of(800, 10_000);
    let mean = |fleet: &Fleet| {
        let gateways = fleet.parts.keys();
        let total: usize = gateways.map(|gateway| fleet.table_size(*gateway)).sum();
        total as f64 / fleet.parts.len() as f64
    };
    let ratio = mean(&twice) / mean(&fleet);
    assert!(ratio <= 1.2, "engines scanned by a pick: {ratio}");
    let ((sent, gateways), (sent_twice, gateways_twice)) =
        (fleet.sent_by_relay(), twice.sent_by_relay());
    let ratio = sent_twice as f64 / sent as f64;
    assert!(ratio <= 2.2, "shares sent by a relay: {ratio}");
    let ratio = ratio * gateways as f64 / gateways_twice as f64;
    assert!(ratio <= 1.2, "shares that a gateway is told of: {ratio}");
    // On average, a gateway receives less than a tenth of all shares.
    let all: usize = twice.work(1).values().map(Vec::len).sum();
    assert!(
        sent_twice < gateways_twice * all / 10,
        "{sent_twice} of {all}"
    );
}
