//! What every participant has in common.

use molespan_types::Timestamp;

use crate::address::Address;
use crate::context::Context;
use crate::message::Message;

/// A participant that messages and timers reach.
pub trait Node {
    /// Takes a message.
    fn receive(&mut self, context: &mut Context, from: Address, message: Message);

    /// Does what is due.
    fn wake(&mut self, context: &mut Context);

    /// When it wants to be woken next, in simulation time.
    fn next_wakeup(&self) -> Option<Timestamp>;
}
