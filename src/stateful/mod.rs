//! Stateful fuzzing: the real decision code in a world of messages, against a simple oracle.

mod decisions;
pub(crate) mod flaw;
mod op;
mod oracle;
mod tests;
mod world;
