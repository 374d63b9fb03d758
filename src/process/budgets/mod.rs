//! Limits on extra attempts (retries and hedges), and the latency statistics that time them.

pub mod budget;
pub mod extra_attempt_budget;
pub mod latency;
