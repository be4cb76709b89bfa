//! The store node.

mod handout;
mod node;

pub use handout::{Handout, Holding};
pub use node::{StoreNode, StoreOptions};
