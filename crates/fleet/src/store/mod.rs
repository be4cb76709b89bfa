//! The store node.

mod handout;
mod node;
mod peer;
mod wakeup;

pub use handout::{Handout, Holding};
pub use node::{StoreNode, StoreOptions};
