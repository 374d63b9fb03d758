//! A distributed query tier for sharded search services.
//!
//! Every host has two roles: as a coordinator, it admits a caller's request and gathers the answer
//! from the shards; as an owner, it is the only host that sends requests to the backend servers of
//! the seats that it holds. See `docs/ARCHITECTURE.md` for the path of a request.

pub mod clock;
pub mod connection;
mod derive;
mod error;
mod flaw;
pub mod host;
pub mod ids;
pub mod log;
pub mod measure;
mod outcome;
pub(crate) mod peer_server;
pub mod policy;
pub mod position;
pub mod process;
pub mod report;
pub mod request;
pub mod standin;
#[cfg(test)]
mod stateful;
pub mod version;

pub use error::{Error, Result};
pub use host::{Host, HostBuilder, Settings};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use policy::Policy;
