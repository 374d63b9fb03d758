//! Processing of one request, from admission to the answer.

pub mod attempt;
pub(crate) mod batch_call;
pub mod choose;
pub mod coordinator;
pub mod entry;
mod experience;
pub mod gather;
pub mod http;
pub mod pace;
pub mod parts;
pub mod pick;
pub mod records;
pub mod relay;
pub(crate) mod run;
pub mod scatter;
pub mod shard_run;
pub mod single;
pub mod timer;
mod way;
