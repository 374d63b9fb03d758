//! The interface through which a host reads its plan and its servers from the platform.

use std::time::Duration;

use crate::ids::SourceEpoch;
use crate::position::Position;
use crate::process::servers::registry::Change;
use crate::version::plan::PlanDocument;

/// The result of one read from a source.
#[derive(Debug, Clone, Default)]
pub struct SourceUpdate {
    /// The newest plan that was read, if any.
    pub plan: Option<PlanDocument>,
    /// The changes of servers and failure domains.
    pub changes: Vec<Change>,
    /// The position up to which everything was read. All of the update is of its epoch.
    pub up_to: Position,
    /// The number of entries that could not be parsed and were skipped.
    pub malformed_entries: usize,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source no longer has the changes after the requested revision.
    #[error("the source no longer has the changes after the requested revision")]
    HistoryGone,
    /// The source answered from an epoch before the one that is known, as one does that was restored
    /// later than others or not at all.
    #[error("the source answered from epoch {answered}, but epoch {known} is known")]
    OutdatedEpoch {
        /// The epoch of the answer.
        answered: SourceEpoch,
        /// The latest known epoch.
        known: SourceEpoch,
    },
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

/// A source from which a host reads its plan and its servers.
pub trait Source: Send + 'static {
    /// Reads the complete state, as new as it is when the source gets the call.
    fn read_all(&mut self) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits at most `max_wait` for changes after a position. If the source is in another epoch than
    /// that position, the update has the source's epoch and does not continue from the position.
    fn changes_after(
        &mut self,
        after: Position,
        max_wait: Duration,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;
}
