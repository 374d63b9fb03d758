//! State with the lifetime of the process: fleet membership, backend servers, configuration, retry
//! budgets, and the state shared between them.

pub mod budgets;
pub mod configuration;
pub(crate) mod context;
pub(crate) mod keeper;
pub mod membership;
pub(crate) mod metrics;
pub mod record;
pub mod servers;
pub mod shutdown;
pub mod tier;
