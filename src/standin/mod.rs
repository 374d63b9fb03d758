//! Small stand-ins for what surrounds the system: backend servers and the platform.
//!
//! They follow the published protocols, cause the failures that trials need, and record what they
//! saw; they are no part of a daemon.

pub mod backend;
pub mod data;
pub(crate) mod http_server;
pub mod journal;
pub mod platform;
