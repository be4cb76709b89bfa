//! The store node.

mod handout;
mod node;
mod peer;

pub use handout::{Handout, Holding};
pub use node::{StoreNode, StoreOptions};
