//! The interface of all participants.

use molespan_types::Timestamp;

use crate::address::Address;
use crate::context::Context;
use crate::message::Message;

/// A participant that receives messages and timer events.
pub trait Node {
    /// Handles a message.
    fn receive(&mut self, context: &mut Context, from: Address, message: Message);

    /// Performs the work that is due.
    fn wake(&mut self, context: &mut Context);

    /// Returns the simulation time of the next wakeup.
    fn next_wakeup(&self) -> Option<Timestamp>;
}
