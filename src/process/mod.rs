//! State with the lifetime of the process: fleet membership, backend servers, configuration, retry
//! budgets, and the state shared between them.
//!
//! The crate has two request paths. The one that starts at `tier` runs on the users' platform, with
//! plans and a registry of servers. The one that starts at `context` serves the product's own
//! interface (`quetzald`), with seats and leases.

pub mod budgets;
pub mod clients;
pub mod configuration;
pub(crate) mod context;
pub(crate) mod keeper;
pub mod membership;
pub(crate) mod metrics;
pub mod quarantine;
pub mod record;
pub mod servers;
pub mod shutdown;
pub mod suspects;
pub mod tier;
