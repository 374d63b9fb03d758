//! A host's knowledge and estimates of backend servers, and the limits on what it sends to them.

pub(crate) mod batches;
pub mod cold_rate_limit;
pub mod concurrency_limit;
pub mod gate;
pub mod hints;
pub(crate) mod owner;
pub mod passive_health;
pub mod rate_limit;
pub mod reachability;
pub mod registry;
pub mod server_paths;
pub mod server_queue;
pub(crate) mod source_outage;
pub mod split;
pub mod warmth_estimate;
pub mod withheld;
