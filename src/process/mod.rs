//! What lives as long as the process: membership, leases, servers, budgets and records.

pub mod budget;
pub mod gossip;
pub mod lease;
pub mod membership;
pub mod pause;
pub mod permission;
pub mod record;
pub mod server_queue;
pub mod temperature;
