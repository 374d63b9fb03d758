//! What a host knows and believes of backend servers, and what it may send them.

pub(crate) mod batches;
pub mod belief;
pub mod cold;
pub mod gate;
pub mod hints;
pub(crate) mod owner;
pub mod permission;
pub mod registry;
pub mod server_queue;
pub mod split;
pub mod temperature;
