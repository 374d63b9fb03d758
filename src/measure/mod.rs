//! Runs whole fleets in one process, generates load, injects failures and checks the invariants
//! against what callers and stand-in servers recorded.

pub mod caller_log;
pub mod capacity;
pub mod demo;
pub mod fleet;
pub mod gossip_trial;
pub(crate) mod host_thread;
pub mod invariants;
pub mod load;
pub mod report;
pub mod run;
pub mod scenario;
