//! A query tier over many shards whose hosts act together.
//!
//! Every host plays two parts: a coordinator admits a caller's request and gathers its answer, and
//! an owner alone sends work to the backend servers of the seats that it holds. See
//! `docs/ARCHITECTURE.md` for the way of one request.

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
