//! Reads configuration and facts from the platform and distributes them between hosts.

pub mod config_store;
pub(crate) mod config_watch;
pub mod fact_exchange;
pub mod lost_plan;
pub mod pull_schedule;
pub mod reader;
pub mod succession;
