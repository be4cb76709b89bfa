//! Duties of one gateway around the load of engines.

use super::gateway::{Duty, socket_us};
use super::inputs::Inputs;
use super::size::{GatewayPlan, HTTP_OVERHEAD_BYTES, LETTER};
use super::table::Mark;

/// Load polls of an owned engine a second in the experiment.
const MEASURED_POLLS: f64 = 10.0;

/// Bytes of one polled load report, both ways.
pub(super) fn report_bytes(inputs: &Inputs) -> f64 {
    inputs.slope("load-report", "json_bytes") + HTTP_OVERHEAD_BYTES
}

/// Microseconds of one polled load report and of the cache events read beside.
pub(super) fn report_us(inputs: &Inputs) -> f64 {
    inputs.slope("gateway-sockets", "owner_us_per_s") / MEASURED_POLLS
}

pub(super) fn owned_loads(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let engines = LETTER.engines / plan.owners;
    let polls = engines / plan.load_interval;
    Duty {
        name: "load of owned engines",
        mechanism: "the one owner of an engine polls it over HTTP",
        messages: 2.0 * polls,
        bytes: polls * report_bytes(inputs),
        processor: polls * report_us(inputs),
        memory: 0.0,
        source: "gateway-sockets, load-report",
        mark: Mark::Simulated,
    }
}

pub(super) fn foreign_loads(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let polls = plan.foreign_engines / plan.foreign_interval;
    let mechanism = if polls > 0.0 {
        "engines of the own subsets are polled once a second, for what digests do not carry"
    } else {
        "none: digests say what is loaded"
    };
    Duty {
        name: "load of other engines",
        mechanism,
        messages: 2.0 * polls,
        bytes: polls * report_bytes(inputs),
        processor: polls * report_us(inputs),
        memory: 0.0,
        source: "gateway-sockets, load-report",
        mark: if polls > 0.0 {
            Mark::Simulated
        } else {
            Mark::OnPaper
        },
    }
}

pub(super) fn digests(inputs: &Inputs, plan: &GatewayPlan) -> Duty {
    let zone_gateways = LETTER.gateways / LETTER.zones;
    let owned = LETTER.engines / plan.owners;
    // Engines whose digests reach this gateway, and gateways reached by one.
    let reached = plan
        .listeners
        .unwrap_or(plan.subset_size * LETTER.services * LETTER.gateways / LETTER.engines);
    let digests_out = owned * reached / plan.digest_interval;
    // One message carries what one gateway gets of an owner's engines.
    let messages_out = match plan.listeners {
        Some(_) => digests_out,
        None => (owned * reached).min(zone_gateways) / plan.digest_interval,
    };
    let digest = inputs.slope("load-digest", "bytes");
    let envelope = inputs.line("load-digest", "bytes").at_zero;
    let out = digests_out * digest + messages_out * envelope;
    let each = inputs.slope("load-digest", "encode_us")
        + inputs.slope("load-digest", "decode_and_observe_us");
    let received = LETTER.engines * reached / LETTER.gateways / plan.digest_interval;
    let messages_in = messages_out * plan.owners / LETTER.gateways;
    let bytes_in = received * digest + messages_in * envelope;
    Duty {
        name: "load digests",
        mechanism: match plan.listeners {
            Some(_) => "the owner sends each report on to 16 gateways, a message each",
            None => {
                "the owner sends one message a second to each gateway that routes to its engines"
            }
        },
        messages: messages_out + messages_in,
        bytes: out + bytes_in,
        processor: (messages_out + messages_in) * socket_us(inputs) + received * each,
        memory: 0.0,
        source: "load-digest, messages-sockets",
        mark: match plan.listeners {
            Some(_) => Mark::Simulated,
            None => Mark::OnPaper,
        },
    }
}

pub(super) fn notices(inputs: &Inputs) -> Duty {
    // One as the request is sent and one as it ends, both out and in.
    let notices = LETTER.online_per_second / LETTER.gateways * 2.0;
    let handle = inputs.slope("online-notice", "decode_and_handle_us");
    Duty {
        name: "notices of online arrivals",
        mechanism: "sent to the engine's batch owner before the request",
        messages: 2.0 * notices,
        bytes: 2.0 * notices * inputs.slope("online-notice", "bytes"),
        processor: notices * (2.0 * socket_us(inputs) + handle),
        memory: 0.0,
        source: "online-notice, messages-sockets",
        mark: Mark::Measured,
    }
}
