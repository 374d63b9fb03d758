//! Fleet membership: which hosts are up, which host holds each seat, and which hosts are suspected.

pub mod directory;
pub mod discovery;
pub mod domain_paths;
pub mod gossip;
pub mod heartbeat_transport;
pub mod lease;
pub mod members;
pub(crate) mod membership_actor;
pub mod pause;
pub mod peer_health;
pub mod seats;
pub mod suspicion;
