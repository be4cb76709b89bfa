//! A replicated log as a pure state machine.
