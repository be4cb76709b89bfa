//! Callers, each with one job or one online request. They time out and retry
//! through any gateway.

mod job;
mod online;

pub use job::JobClient;
pub use online::OnlineClient;

use rand::Rng;

use crate::address::Address;
use crate::context::Context;
use crate::message::{ClientRequest, Message};

/// Sends a request to a random gateway. Returns the arrival identifier and the
/// gateway.
fn send(context: &mut Context, client: u32, gateways: u32, request: ClientRequest) -> (u64, u32) {
    let arrival = context.random_id();
    let gateway = context.random.random_range(1..=gateways);
    let own = Address::Client(client);
    let message = Message::Client { arrival, request };
    context.send(own, Address::Gateway(gateway), message);
    (arrival, gateway)
}
