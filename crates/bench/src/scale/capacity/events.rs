//! What losses and mass restarts cost.

use super::gateway::{refresh_us, subsets_us};
use super::inputs::Inputs;
use super::size::{AS_BUILT, DAY_SECONDS, LETTER, PLANNED};
use super::table::{Mark, Table, figure};

/// Machines of a rack.
const RACK: f64 = 20.0;
/// Regions.
const REGIONS: f64 = 8.0;
/// Batch streams on an engine whose items run anew.
const STREAMS: f64 = 32.0;
/// Seconds of the currency bound.
const CURRENCY_BOUND: f64 = 8.0;
/// Seconds for which a gateway counts as live after its last heartbeat.
const LIVE_FOR: f64 = 3.0;
/// Seconds of an owner's lease.
const OWNER_LEASE: f64 = 3.0;
/// Seconds of a lease on items.
const ITEM_LEASE: f64 = 10.0;
/// Sets of machines that job groups are divided over once they can be.
const SETS: f64 = 10.0;
/// Bytes a second that a machine's network carries: 1 Gbit/s.
const NETWORK: f64 = 125e6;

/// One consequence of an event.
struct Cost {
    event: &'static str,
    what: &'static str,
    unit: &'static str,
    value: f64,
    source: &'static str,
    mark: Mark,
}

/// The table of events.
pub(super) fn table(inputs: &Inputs) -> Table {
    let mut text = "| event | cost | figure | unit | source | mark |\n\
                    |---|---|---:|---|---|---|\n"
        .to_owned();
    for cost in costs(inputs) {
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} |\n",
            cost.event,
            cost.what,
            figure(cost.value),
            cost.unit,
            cost.source,
            cost.mark.text(),
        ));
    }
    Table {
        name: "events",
        text,
    }
}

fn costs(inputs: &Inputs) -> Vec<Cost> {
    let mut costs = zone_loss(inputs);
    costs.extend(rack_loss(inputs));
    costs.extend(mass_restart(inputs));
    costs.extend(replica_loss(inputs));
    costs.extend(region_cut(inputs));
    costs
}

/// Milliseconds that a gateway takes to work out owners and subsets anew.
fn recompute_ms(inputs: &Inputs) -> f64 {
    (refresh_us(inputs, PLANNED.owners) + subsets_us(inputs)) / 1e3
}

fn zone_loss(inputs: &Inputs) -> Vec<Cost> {
    let event = "a zone is lost";
    let gateways = LETTER.gateways / LETTER.zones;
    let engines = LETTER.engines / LETTER.zones;
    vec![
        Cost {
            event,
            what: "gateways and engines that go",
            unit: "machines",
            value: gateways + engines,
            source: "letter",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "each other gateway works owners and subsets out anew",
            unit: "ms of a core",
            value: recompute_ms(inputs),
            source: "ownership-gateways, subset",
            mark: Mark::Simulated,
        },
        Cost {
            event,
            what: "items that run again, with their leases' length as delay",
            unit: "items",
            value: engines * STREAMS,
            source: "design",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "longest time until a new owner begins on an engine that stayed",
            unit: "s",
            value: LIVE_FOR + OWNER_LEASE,
            source: "settings",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "longest time until an item is free again",
            unit: "s",
            value: ITEM_LEASE,
            source: "settings",
            mark: Mark::OnPaper,
        },
    ]
}

fn rack_loss(inputs: &Inputs) -> Vec<Cost> {
    let event = "a rack of 20 gateways is lost";
    vec![
        Cost {
            event,
            what: "each other gateway works owners and subsets out anew",
            unit: "ms of a core",
            value: recompute_ms(inputs),
            source: "ownership-gateways, subset",
            mark: Mark::Simulated,
        },
        Cost {
            event,
            what: "engines that change their owner, as built",
            unit: "engines",
            value: RACK * LETTER.engines / AS_BUILT.owners,
            source: "design",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "the same once every gateway owns engines",
            unit: "engines",
            value: RACK * LETTER.engines / PLANNED.owners,
            source: "design",
            mark: Mark::OnPaper,
        },
    ]
}

fn mass_restart(inputs: &Inputs) -> Vec<Cost> {
    let event = "all gateways restart at once";
    let gateways = LETTER.gateways;
    let register = inputs.slope("configuration-confirm", "leader_us") * gateways / 1e6;
    let configuration = inputs.at("configuration-size", "bytes", LETTER.tenants) * gateways / 1e6;
    let list = inputs.at("machine-list", "json_bytes", LETTER.engines) * gateways / 1e6;
    let records = inputs.at("node-registry", "snapshot_bytes", gateways) * gateways / 1e6;
    vec![
        Cost {
            event,
            what: "registrations, on the control leader, as dear as confirmed changes",
            unit: "s of a core",
            value: register,
            source: "configuration-confirm",
            mark: Mark::Simulated,
        },
        Cost {
            event,
            what: "whole configurations from three replicas",
            unit: "MB",
            value: configuration,
            source: "configuration-size",
            mark: Mark::Simulated,
        },
        Cost {
            event,
            what: "machine lists from the platform",
            unit: "MB",
            value: list,
            source: "machine-list",
            mark: Mark::Simulated,
        },
        Cost {
            event,
            what: "registered nodes, read once by each gateway for their zones",
            unit: "MB",
            value: records,
            source: "node-registry",
            mark: Mark::Simulated,
        },
    ]
}

fn replica_loss(inputs: &Inputs) -> Vec<Cost> {
    let event = "a machine of a job set is replaced";
    let items = LETTER.items_per_day / DAY_SECONDS;
    let payload = items
        * (inputs.slope("job-submit", "disk_bytes_per_replica")
            + inputs.slope("job-run", "disk_bytes_per_replica"))
        / 2.0
        * DAY_SECONDS
        * 7.0
        / SETS;
    vec![
        Cost {
            event,
            what: "payload logs to be copied, 7 days kept, ten sets",
            unit: "GB",
            value: payload / 1e9,
            source: "job-submit, job-run",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "time of that at 1 Gbit/s",
            unit: "min",
            value: payload / NETWORK / 60.0,
            source: "job-submit, job-run",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "time until its new life votes, apart from copying",
            unit: "s",
            value: inputs.at("replace-replica", "elapsed_us", 0.0) / 1e6,
            source: "replace-replica",
            mark: Mark::Measured,
        },
        Cost {
            event,
            what: "processor time of all replicas of the group, for each GB copied",
            unit: "s of a core",
            value: inputs.slope("replace-replica", "replicas_us")
                / inputs.slope("replace-replica", "replication_bytes")
                * 1e3,
            source: "replace-replica",
            mark: Mark::Measured,
        },
    ]
}

fn region_cut(inputs: &Inputs) -> Vec<Cost> {
    let event = "a region is cut off from the control group";
    let gateways = LETTER.gateways / REGIONS;
    let behind = inputs.at("configuration-size", "bytes", LETTER.tenants) * gateways / 1e6;
    vec![
        Cost {
            event,
            what: "gateways that refuse new work as not run until it heals",
            unit: "gateways",
            value: gateways,
            source: "letter",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "time until they do",
            unit: "s",
            value: CURRENCY_BOUND,
            source: "settings",
            mark: Mark::OnPaper,
        },
        Cost {
            event,
            what: "configurations sent as it heals, if all need the whole",
            unit: "MB",
            value: behind,
            source: "configuration-size",
            mark: Mark::Simulated,
        },
    ]
}
