//! Configuration and facts that come from elsewhere, and how hosts pass them on.

pub mod config_store;
pub(crate) mod config_watch;
pub mod reader;
pub mod sharing;
