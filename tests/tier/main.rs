//! Requests under the loads and faults that the deployments meet, without a network and on a
//! paused clock.

mod callers_leaving;
mod dropped_idle_connections;
mod fake;
mod leaving_servers;
mod lost_replies;
mod many_slow_servers;
mod shedding_servers;
mod straggling_servers;
mod whole_shard_down;
