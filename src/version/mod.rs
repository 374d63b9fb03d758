//! The configuration and the plan: their documents, checks and generation, and the state derived
//! from one version.

pub mod check;
pub mod config;
pub mod diff;
pub mod operational;
pub mod operations;
pub mod placement;
pub mod plan;
pub mod questionnaire;
