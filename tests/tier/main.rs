//! Requests through whole hosts under load and with faulty servers. The tests use fake servers and a
//! paused clock instead of a network, except `relay_failures` and `connection_limits`, whose hosts
//! communicate over loopback sockets in real time.

mod caller_disconnects;
mod cold_servers;
mod connection_limits;
mod crashing_requests;
mod dropped_idle_connections;
mod fact_delivery;
mod fact_exchange;
mod fake;
mod home_regions;
mod hosts_without_server_paths;
mod one_way_cut_between_domains;
mod pausing_servers;
mod platform_outages;
mod rate_limits;
mod reader_succession;
mod refused_routes;
mod relay_failures;
mod restarted_servers;
mod restored_source;
mod retries;
mod reused_addresses;
mod servers_out_of_service;
mod shedding_servers;
mod simulated_fleet;
mod slow_servers;
mod straggling_servers;
mod unavailable_shards;
