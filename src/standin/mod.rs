//! Stand-ins for the systems that quetzalpoint connects to: backend servers and the platform.
//!
//! They implement the published protocols, inject failures and count events, for tests and the
//! demo. The daemon doesn't use them.

pub mod backend;
pub mod data;
pub(crate) mod http_server;
pub mod platform;
pub mod run_counts;
