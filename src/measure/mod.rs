//! Runs whole fleets in one program, loads them, causes failures and judges what the stand-ins
//! saw.

pub mod caller_log;
pub mod capacity;
pub mod demo;
pub mod fleet;
pub mod gossip_trial;
pub(crate) mod host_thread;
pub mod judge;
pub mod load;
pub mod report;
pub mod run;
pub mod scenario;
