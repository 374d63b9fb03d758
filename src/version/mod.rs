//! What lives as long as one version of the configuration.

pub mod check;
pub mod config;
pub mod diff;
pub mod operational;
pub mod operations;
pub mod placement;
pub mod plan;
pub mod questionnaire;
