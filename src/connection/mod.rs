//! Connections to callers, backend servers, other hosts and the platform, and their protocols.

pub mod accept;
pub mod backend;
pub mod caller;
pub mod caller_api;
pub mod carried_requests;
pub mod client_body;
pub mod client_server;
pub mod client_stream;
pub mod coverage;
pub mod exchange;
pub(crate) mod fence;
pub(crate) mod http_client;
pub mod network_faults;
pub mod peer;
pub mod peer_frame;
pub mod peer_links;
pub(crate) mod peer_pool;
pub mod platform;
pub mod query;
pub mod server_pool;
pub mod source;
