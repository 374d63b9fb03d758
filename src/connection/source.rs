//! The interface through which a host reads its plan and its servers from the platform.

use std::time::Duration;

use crate::ids::Revision;
use crate::process::servers::registry::Change;
use crate::version::plan::PlanDocument;

/// The result of one read from a source.
#[derive(Debug, Clone, Default)]
pub struct SourceUpdate {
    /// The newest plan that was read, if any.
    pub plan: Option<PlanDocument>,
    /// The changes of servers and failure domains.
    pub changes: Vec<Change>,
    /// The revision up to which everything was read.
    pub up_to: Revision,
    /// The number of entries that could not be parsed and were skipped.
    pub malformed_entries: usize,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source no longer has the changes after the requested revision.
    #[error("the source no longer has the changes after the requested revision")]
    HistoryGone,
    /// The source refused the request.
    #[error("the source refused the request: {0}")]
    Refused(String),
    /// The source can't be reached or does not answer.
    #[error("the source does not answer: {0}")]
    Unresponsive(String),
    /// The answer can't be parsed.
    #[error("the source sent an invalid answer: {0}")]
    Malformed(String),
}

/// How recent the result of a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The result may be seconds old, at a tenth of the cost.
    MayBeStale,
    /// The result must be the newest.
    Newest,
}

/// A source from which a host reads its plan and its servers.
pub trait Source: Send + 'static {
    /// Reads the complete state.
    fn read_all(
        &mut self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits at most `max_wait` for changes after a revision.
    fn changes_after(
        &mut self,
        after: Revision,
        max_wait: Duration,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;
}
