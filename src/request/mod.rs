//! What lives as long as one request.

pub(crate) mod batch_call;
pub mod choose;
pub mod coordinator;
pub mod coverage;
pub mod gather;
pub mod http;
pub mod keeper;
pub mod query;
pub(crate) mod run;
