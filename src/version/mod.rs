//! What lives as long as one version of the configuration.

pub mod check;
pub mod config;
pub mod diff;
pub mod operations;
pub mod operational;
pub mod placement;
pub mod questionnaire;
