//! What lives as long as the process, by job: the fleet of hosts, backend servers, configuration and
//! budgets, and the state in which they meet.

pub mod budgets;
pub mod configuration;
pub(crate) mod context;
pub(crate) mod keeper;
pub mod leave;
pub mod membership;
pub(crate) mod metrics;
pub mod record;
pub mod servers;
pub mod tier;
