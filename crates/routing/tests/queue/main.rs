//! The queue of online requests at one gateway.

mod load;
mod rules;
mod world;
