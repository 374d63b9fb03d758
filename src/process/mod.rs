//! What lives as long as the process: membership, leases, servers, budgets and records.

pub(crate) mod batches;
pub mod budget;
pub mod config_store;
pub(crate) mod config_watch;
pub(crate) mod context;
pub mod gate;
pub mod gossip;
pub mod hints;
pub mod host;
pub mod latency;
pub mod lease;
pub mod membership;
pub(crate) mod membership_actor;
pub(crate) mod metrics;
pub(crate) mod owner;
pub mod pause;
pub(crate) mod peer_server;
pub mod permission;
pub mod record;
pub mod server_queue;
pub mod suspicion;
pub mod temperature;
