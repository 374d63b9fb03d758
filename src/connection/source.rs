//! The seam between a host and where it reads its plan and its servers.

use std::time::Duration;

use crate::ids::Revision;
use crate::process::servers::registry::Change;
use crate::version::plan::PlanDocument;

/// What a source says at once.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// The newest plan among what was read, if there was one.
    pub plan: Option<PlanDocument>,
    /// Servers and failure domains.
    pub changes: Vec<Change>,
    /// Everything up to this revision was read.
    pub up_to: Revision,
    /// How many entries made no sense and were left out.
    pub unreadable: usize,
}

/// Why nothing was read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source does not remember what came after the revision asked for.
    #[error("the source has forgotten this part of its history")]
    HistoryGone,
    /// The source answers but does not serve this host.
    #[error("the source refuses: {0}")]
    Refused(String),
    /// The source can't be reached or is silent.
    #[error("the source does not answer: {0}")]
    Silent(String),
    /// The answer can't be read.
    #[error("the source's answer makes no sense: {0}")]
    Malformed(String),
}

/// How new a reading must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It may be seconds old, which costs a tenth.
    MayBeOld,
    /// It must be the newest.
    Newest,
}

/// Where a host reads its plan and its servers.
pub trait Source: Send + 'static {
    /// Reads everything.
    fn read_all(
        &mut self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Reading, SourceError>> + Send;

    /// Waits at most `max_wait` for changes after a revision.
    fn changes_after(
        &mut self,
        after: Revision,
        max_wait: Duration,
    ) -> impl Future<Output = Result<Reading, SourceError>> + Send;
}
