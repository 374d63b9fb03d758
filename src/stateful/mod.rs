//! Stateful fuzzing: runs the real decision code on simulated hosts that exchange messages, and
//! checks invariants with an oracle.

mod decisions;
mod event;
pub(crate) mod flaw;
mod oracle;
mod tests;
mod world;
