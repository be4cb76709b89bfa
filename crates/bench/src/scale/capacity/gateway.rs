//! Duties of one gateway.

use super::inputs::Inputs;
use super::loads::{digests, foreign_loads, notices, owned_loads, report_bytes, report_us};
use super::size::{DAY_SECONDS, GatewayPlan, LETTER, MEGABYTE, WATCH_BYTES};
use super::table::{Mark, Table, figure};

/// What one duty takes of a gateway.
pub(super) struct Duty {
    pub(super) name: &'static str,
    pub(super) mechanism: &'static str,
    /// Messages a second, in and out.
    pub(super) messages: f64,
    /// Bytes a second, in and out.
    pub(super) bytes: f64,
    /// Microseconds of processor time a second.
    pub(super) processor: f64,
    /// Bytes of memory.
    pub(super) memory: f64,
    pub(super) source: &'static str,
    pub(super) mark: Mark,
}

/// Bytes of a machine that changed, with the framing around it.
const CHANGED_MACHINE_BYTES: f64 = 200.0;
/// Bytes of a live gateway that changed.
const CHANGED_NODE_BYTES: f64 = 40.0;
/// Changes of a machine that restarts: it leaves, goes, comes and is ready.
const CHANGES_OF_A_RESTART: f64 = 4.0;
/// Ticks of the directory a second.
const DIRECTORY_TICKS: f64 = 10.0;
/// Prefixes remembered for each service.
const PREFIXES: f64 = 50_000.0;
/// Memory of a decoded configuration, as a multiple of its encoded size.
const DECODED_FACTOR: f64 = 10.0;
/// Messages to job groups for each item: half a lease request and half a
/// record, each with its answer.
const MESSAGES_OF_AN_ITEM: f64 = 2.0;

/// The duties under `plan`, and what they come to.
pub(super) fn table(name: &'static str, inputs: &Inputs, plan: &GatewayPlan) -> Table {
    let duties = duties(inputs, plan);
    let mut text = "| duty | mechanism | messages/s | KB/s | % of a core | MB | source | mark |\n\
                    |---|---|---:|---:|---:|---:|---|---|\n"
        .to_owned();
    for duty in &duties {
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
            duty.name,
            duty.mechanism,
            figure(duty.messages),
            figure(duty.bytes / 1e3),
            figure(duty.processor / 1e4),
            figure(duty.memory / MEGABYTE),
            duty.source,
            duty.mark.text(),
        ));
    }
    let sum = |part: fn(&Duty) -> f64| duties.iter().map(part).sum::<f64>();
    let budget = &LETTER.budget;
    text.push_str(&format!(
        "| **together** | | {} | {} | {} | {} | | |\n",
        figure(sum(|duty| duty.messages)),
        figure(sum(|duty| duty.bytes) / 1e3),
        figure(sum(|duty| duty.processor) / 1e4),
        figure(sum(|duty| duty.memory) / MEGABYTE),
    ));
    text.push_str(&format!(
        "| **budget** | | | {} | {} | {} | | |\n",
        budget.kilobytes_per_second, budget.core_percent, budget.megabytes,
    ));
    text.push_str(&placement(inputs));
    Table { name, text }
}

/// What the gateway that places a service takes besides, one for each service.
fn placement(inputs: &Inputs) -> String {
    let engines = LETTER.engines / LETTER.services;
    format!(
        "| not added: placing one service, on four gateways | its planner polls every engine of the service once a second | {} | {} | {} | | gateway-sockets, load-report | {} |\n",
        figure(2.0 * engines),
        figure(engines * report_bytes(inputs) / 1e3),
        figure(engines * report_us(inputs) / 1e4),
        Mark::Simulated.text(),
    )
}

fn duties(inputs: &Inputs, plan: &GatewayPlan) -> Vec<Duty> {
    vec![
        process(inputs),
        watch(inputs, plan),
        configuration(inputs),
        heartbeat(inputs, plan),
        machine_list(inputs, plan),
        ownership(inputs, plan),
        owned_loads(inputs, plan),
        foreign_loads(inputs, plan),
        digests(inputs, plan),
        notices(inputs),
        choice(inputs, plan),
        batch(inputs),
    ]
}

/// Microseconds of one end of a one-way message on a socket.
pub(super) fn socket_us(inputs: &Inputs) -> f64 {
    inputs.slope("messages-sockets", "both_ends_us") / 2.0
}

fn watch(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    // The measured slope holds a watch and a heartbeat a second; their socket
    // calls are shared evenly, the live gateways are in the other row.
    Duty {
        name: "watching the configuration",
        mechanism: "long poll of any replica, answered by one confirming read for all watchers",
        messages: 2.0 / plan.watch_interval,
        bytes: WATCH_BYTES * 2.0 / plan.watch_interval,
        processor: 2.0 * socket_us(inputs) / plan.watch_interval,
        memory: 0.0,
        source: "messages-sockets",
        mark: Mark::Measured,
    }
}

/// What an idle gateway takes before anything grows with the fleet.
fn process(inputs: &Inputs) -> Duty {
    Duty {
        name: "the process itself",
        mechanism: "timers, event buffer, idle connections; its memory is that of two nodes",
        messages: 0.0,
        bytes: 0.0,
        processor: inputs.at("gateway-sockets", "other_us_per_s", 0.0),
        memory: inputs.at("gateway-sockets", "resident_bytes_with_engines", 0.0),
        source: "gateway-sockets",
        mark: Mark::Measured,
    }
}

fn configuration(inputs: &Inputs) -> Duty {
    let per_second = LETTER.changes_per_day / DAY_SECONDS;
    let whole = inputs.at("configuration-size", "bytes", LETTER.tenants);
    Duty {
        name: "changes of the configuration",
        mechanism: "what changed since the watcher's version, whole when far behind",
        messages: per_second,
        bytes: inputs.slope("watch-sockets", "change_bytes_to_nodes") * per_second,
        processor: inputs.slope("watch-sockets", "change_nodes_us") * per_second,
        // Decoded it takes several times its encoded size.
        memory: DECODED_FACTOR * whole,
        source: "watch-sockets, configuration-size",
        mark: Mark::Measured,
    }
}

fn heartbeat(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let nodes = plan.live_nodes_answered;
    let beats = 1.0 / plan.heartbeat_interval;
    let request = inputs.at("live-nodes", "request_bytes", nodes);
    let whole = inputs.at("live-nodes", "answer_bytes", nodes);
    let merge = inputs.at("live-nodes", "decode_and_merge_us", nodes);
    let changes = LETTER.restarts_per_day * CHANGES_OF_A_RESTART / DAY_SECONDS;
    let (bytes, processor, mechanism, mark) = if plan.live_node_deltas {
        (
            (request + WATCH_BYTES) * beats + changes * CHANGED_NODE_BYTES,
            merge / 100.0 * beats,
            "heartbeat to the control leader, which answers with changes of the live gateways",
            Mark::OnPaper,
        )
    } else {
        (
            (request + whole) * beats,
            merge * beats,
            "heartbeat to the control leader, which answers with up to 16 live gateways of each zone",
            Mark::Simulated,
        )
    };
    Duty {
        name: "heartbeats and live gateways",
        mechanism,
        messages: 2.0 * beats,
        bytes,
        processor: processor + 2.0 * socket_us(inputs) * beats,
        memory: 200.0 * nodes,
        source: "live-nodes, messages-sockets",
        mark,
    }
}

fn machine_list(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let machines = LETTER.engines;
    let tick = inputs.at("machine-list", "tick_us", machines) * DIRECTORY_TICKS;
    let memory = inputs.slope("directory-memory", "resident_bytes") * machines;
    let changes = LETTER.restarts_per_day * CHANGES_OF_A_RESTART / DAY_SECONDS;
    let each = inputs.slope("machine-list", "parse_us") + inputs.slope("machine-list", "merge_us");
    let reads = 1.0 / plan.list_interval;
    if plan.list_deltas {
        return Duty {
            name: "machine list",
            mechanism: "control replicas read the list and pass changed machines on with the watch",
            messages: 0.0,
            bytes: changes * CHANGED_MACHINE_BYTES,
            processor: changes * each + tick,
            memory,
            source: "machine-list, directory-memory",
            mark: Mark::OnPaper,
        };
    }
    let parse = inputs.at("machine-list", "parse_us", machines);
    let merge = inputs.at("machine-list", "merge_us", machines);
    Duty {
        name: "machine list",
        mechanism: "each gateway reads the whole list from the platform",
        messages: 2.0 * reads,
        bytes: inputs.at("machine-list", "json_bytes", machines) * reads,
        processor: (parse + merge) * reads + tick,
        memory,
        source: "machine-list, directory-memory",
        mark: Mark::Simulated,
    }
}

fn ownership(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let engines = LETTER.engines;
    let at_gateways = |gateways| inputs.at("ownership-gateways", "refresh_us", gateways);
    let refresh = at_gateways(plan.owners) * engines / LETTER.engines;
    // As built it is worked out with each heartbeat; then only on a change.
    let changes = LETTER.restarts_per_day * CHANGES_OF_A_RESTART / DAY_SECONDS;
    let (rate, mechanism, mark) = if plan.live_node_deltas {
        (
            changes,
            "rendezvous hash within the zone, worked out anew when a gateway comes or goes",
            Mark::OnPaper,
        )
    } else {
        (
            1.0 / plan.heartbeat_interval,
            "rendezvous hash within the zone, worked out anew with each heartbeat",
            Mark::Simulated,
        )
    };
    Duty {
        name: "ownership and subsets",
        mechanism,
        messages: 0.0,
        bytes: 0.0,
        processor: refresh * rate + subsets_us(inputs) * changes,
        memory: 0.0,
        source: "ownership-gateways, subset",
        mark,
    }
}

/// Microseconds to work the subsets of all services out.
pub(super) fn subsets_us(inputs: &Inputs) -> f64 {
    let of_service = LETTER.engines / LETTER.services;
    inputs.at("subset", "compute_us", of_service) * LETTER.services
}

/// Microseconds to work ownership out once.
pub(super) fn refresh_us(inputs: &Inputs, owners: f64) -> f64 {
    inputs.at("ownership-gateways", "refresh_us", owners)
}

fn choice(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let requests = LETTER.online_per_second / LETTER.gateways;
    let pick = inputs.at("pick", "pick_us", plan.subset_size);
    let admission = inputs.at("admission", "request_us", LETTER.tenants);
    let engines = plan.subset_size * LETTER.services;
    let memory = inputs.slope("picker-memory", "resident_bytes") * engines
        + inputs.slope("prefix-memory", "resident_bytes") * PREFIXES * LETTER.services
        + inputs.slope("admission-memory", "resident_bytes") * LETTER.tenants;
    Duty {
        name: "admission and engine choice",
        mechanism: "limits of the tenant and the service, then zone, prefix affinity, better of two",
        messages: 0.0,
        bytes: 0.0,
        processor: requests * (pick + admission),
        memory,
        source: "pick, admission, picker-memory, prefix-memory, admission-memory",
        mark: Mark::Simulated,
    }
}

fn batch(inputs: &Inputs) -> Duty {
    let items = LETTER.items_per_day / DAY_SECONDS / LETTER.gateways;
    let messages = items * MESSAGES_OF_AN_ITEM;
    Duty {
        name: "batch items (control part)",
        mechanism: "the owner leases items from job groups and records results in batches",
        messages,
        // Items and results themselves are payload; what is counted is framing.
        bytes: messages * WATCH_BYTES,
        processor: items * inputs.slope("batch-owner", "owner_us") + messages * socket_us(inputs),
        memory: 0.0,
        source: "batch-owner, messages-sockets",
        mark: Mark::Simulated,
    }
}
