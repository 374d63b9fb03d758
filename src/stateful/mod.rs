//! Stateful fuzzing: runs the real decision code on simulated hosts that exchange messages, and
//! checks invariants with an oracle.

mod event;
pub(crate) mod injected_fault;
mod oracle;
mod property_tests;
mod tests;
mod world;
