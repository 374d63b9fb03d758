//! What lives as long as one request.

pub mod choose;
pub mod coordinator;
pub mod coverage;
pub mod gather;
pub mod http;
pub mod keeper;
pub mod query;
