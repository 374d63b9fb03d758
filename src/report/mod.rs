//! Reads the structured logs of hosts: the timeline of one request, or a summary of a whole run.
//!
//! `docs/OPERATIONS.md` explains each message.

pub mod line;
pub mod plot;
pub mod summary;
pub mod timeline;
