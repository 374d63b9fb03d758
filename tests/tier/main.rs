//! Requests through whole hosts under load and with faulty servers. The tests use fake servers and a
//! paused clock instead of a network, except `lost_relays` and `many_hosts_few_connections`, whose
//! hosts communicate over loopback sockets in real time.

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
