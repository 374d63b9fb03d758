//! Points in the history of a data source, and the order of the plans that it publishes.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, PlanSeries, Revision, SourceEpoch};

/// A point in the history of a data source. Revisions order changes only within an epoch, so a
/// position is compared by epoch first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// The epoch of the source.
    pub epoch: SourceEpoch,
    /// The revision within the epoch.
    pub revision: Revision,
}

/// The place of a plan in the order in which hosts adopt plans.
///
/// Versions order plans across epochs, since operators publish again what a source has lost. Only if
/// they don't, a lower version starts a new series; see `docs/PLATFORM.md`, section "Epochs".
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PlanOrder {
    /// The series of versions.
    pub series: PlanSeries,
    /// The version within the series.
    pub version: ConfigVersion,
}

/// What a host announces, beside its revision and version, so that other hosts can order them.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epochs {
    /// The epoch of the host's revision.
    pub source: SourceEpoch,
    /// The series of the host's plan version.
    pub plan_series: PlanSeries,
}
