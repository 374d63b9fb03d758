//! Limits on extra attempts (retries and hedges), the latency statistics that time them, and the
//! time that callers have left.

pub mod budget;
pub mod extra_attempt_budget;
pub mod latency;
pub mod retry_schedule;
pub mod usual_timeout;
