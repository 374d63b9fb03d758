//! The identifier types.

use smol_str::SmolStr;

/// The name of a query service.
pub type ServiceId = SmolStr;
/// The name of an entry host.
pub type HostId = SmolStr;
/// The name of a failure domain.
pub type DomainId = SmolStr;
/// The name of a region, which contains failure domains.
pub type RegionId = SmolStr;
/// The name of a backend server.
pub type ServerId = SmolStr;
/// Identifies one run of a backend server's process; it changes when the server restarts.
pub type InstanceId = SmolStr;
/// Identifies a caller's request. The caller uses the same identifier when it sends the request
/// again.
pub type RequestId = SmolStr;
/// The number of a shard in one index version of a service.
pub type ShardId = u32;
/// The number of an index version of a service.
pub type IndexVersion = u64;
/// The number of a configuration version.
pub type ConfigVersion = u64;
/// The number of one run of a host's process; it is higher after each restart.
pub type Incarnation = u64;
/// Identifies one attempt to run a request, or one shard of it, on a backend server.
pub type AttemptId = u64;
/// The number of a change to a data source that several hosts read; later changes of the same epoch
/// have higher numbers.
pub type Revision = u64;
/// The number of one history of a data source's changes. It rises when the source is restored from
/// an older state, after which it reuses revisions that it has given out before.
pub type SourceEpoch = u64;
/// How many times the versions of a source's plans have started over from a lower one.
pub type PlanSeries = u64;
