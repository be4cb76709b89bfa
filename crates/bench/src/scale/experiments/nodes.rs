//! The registry of nodes, and the live gateways that heartbeats report.

use std::hint::black_box;

use molespan_membership::{GatewayRecord, GatewaySet, GatewaySetSettings};
use molespan_state::control::{ControlCommand, ControlMachine, NodeRole, RegisterNode};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::{
    DEFAULT_MAX_FRAME_BYTES, Envelope, FrameDecoder, Request, Response, encode_frame,
};

use super::{REPEATS, micros};
use crate::scale::clock::{resident_bytes, time_per_call};
use crate::scale::fleet::{gateway_records, incarnation, zone_of};
use crate::scale::{Recorder, ScaleError};

/// State of the control group by the number of registered nodes.
pub(super) fn registry(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let mut machine = ControlMachine::new();
    let mut registered = 0;
    for nodes in [2_000_u32, 20_000, 40_000, 80_000] {
        for number in registered..nodes {
            machine.apply(&ControlCommand::Register(registration(number)));
        }
        registered = nodes;
        let measures = [
            ("snapshot_bytes", machine.snapshot().len() as f64),
            ("resident_bytes", resident_bytes()? as f64),
        ];
        recorder.note("nodes", f64::from(nodes), &measures);
    }
    Ok(())
}

fn registration(number: u32) -> RegisterNode {
    RegisterNode {
        node: NodeId(number),
        incarnation: incarnation(),
        name: format!("gateway-{number}"),
        zone: zone_of(number),
        internal_address: format!("10.{}.{}.1:7000", number >> 8 & 255, number & 255),
        http_address: format!("10.{}.{}.1:8080", number >> 8 & 255, number & 255),
        roles: vec![NodeRole::Gateway],
    }
}

/// A heartbeat and the whole set of live gateways that answers it.
pub(super) fn live_nodes(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for gateways in [300, 600, 1200, 1800] {
        let request = frame(&Envelope::Request {
            number: 100_000,
            request: heartbeat(),
        });
        let answer = frame(&answer(gateways));
        let records = gateway_records(gateways);
        let mut set = GatewaySet::new(GatewaySetSettings::default());
        for _ in 0..REPEATS {
            let write = time_per_call(|| {
                black_box(frame(&self::answer(gateways)));
            })?;
            let read = time_per_call(|| {
                let mut decoder = FrameDecoder::new(DEFAULT_MAX_FRAME_BYTES);
                decoder.push(&answer);
                let _read = black_box(decoder.next_message());
                let records: Vec<GatewayRecord> = records.clone();
                black_box(set.update(Timestamp::from_millis(1), records));
            })?;
            let measures = [
                ("request_bytes", request.len() as f64),
                ("answer_bytes", answer.len() as f64),
                ("encode_us", micros(write)),
                ("decode_and_merge_us", micros(read)),
            ];
            recorder.note("gateways", f64::from(gateways), &measures);
        }
    }
    Ok(())
}

/// A heartbeat of a gateway with the usual number of engines.
fn heartbeat() -> Request {
    const OWNED: u32 = 6;
    Request::Heartbeat {
        node: NodeId(1),
        incarnation: incarnation(),
        zone: zone_of(1),
        draining: false,
        owned: (0..OWNED).map(|number| (number * 1000).into()).collect(),
    }
}

fn answer(gateways: u32) -> Envelope {
    let nodes = (0..gateways).map(|number| (NodeId(number), incarnation(), false));
    let nodes = nodes.collect();
    Envelope::Response {
        number: 100_000,
        response: Response::LiveNodes { nodes },
    }
}

/// The frame of an envelope.
pub(super) fn frame(envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoded = encode_frame(envelope, DEFAULT_MAX_FRAME_BYTES, &mut bytes);
    debug_assert!(encoded.is_ok(), "the message is short");
    bytes
}
