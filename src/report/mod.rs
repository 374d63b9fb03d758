//! Reads the structured logs of hosts: the story of one request, or the reasons of a whole run.
//!
//! `docs/OPERATIONS.md` says what each line means.

pub mod digest;
pub mod line;
pub mod plot;
pub mod story;
