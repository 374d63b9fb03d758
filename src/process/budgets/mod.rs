//! How many attempts beyond the first there may be, and after which time.

pub mod budget;
pub mod extra_budget;
pub mod latency;
