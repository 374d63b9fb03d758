//! Limits on extra attempts (retries and hedges), the latency statistics that time them, the time
//! that callers have left, and the memory that clients hold.

pub mod budget;
pub mod extra_attempt_budget;
pub mod latency;
pub mod memory_budget;
pub mod retry_schedule;
pub mod usual_timeout;
