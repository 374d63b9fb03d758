//! Requests under the loads and faults that the deployments meet: without a network and on a paused
//! clock, but for the hosts of `lost_relays`, which talk over loopback sockets.

mod callers_leaving;
mod dropped_idle_connections;
mod facts_from_peers;
mod fake;
mod home_regions;
mod leaving_servers;
mod lost_relays;
mod lost_replies;
mod many_hosts_few_connections;
mod many_slow_servers;
mod platform_troubles;
mod reused_addresses;
mod shedding_servers;
mod straggling_servers;
mod whole_shard_down;
