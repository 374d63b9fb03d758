//! Processing of one request, from admission to the answer.

pub mod attempt;
pub mod baseline;
pub(crate) mod batch_call;
pub mod coordinator;
mod dispatch;
pub mod entry;
mod forward;
pub mod gather;
pub mod http;
pub mod parts;
pub mod records;
pub mod relay;
pub mod replica_choice;
pub(crate) mod run;
pub mod scatter;
pub mod server_choice;
pub mod shard_run;
mod shared_state;
pub mod single;
pub mod timer;
