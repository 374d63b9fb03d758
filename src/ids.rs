//! Aliases for the identifiers that travel through the system.

use smol_str::SmolStr;

/// Names a query service.
pub type ServiceId = SmolStr;
/// Names an entry host.
pub type HostId = SmolStr;
/// Names a failure domain.
pub type DomainId = SmolStr;
/// Names a region, which holds failure domains.
pub type RegionId = SmolStr;
/// Names a backend server.
pub type ServerId = SmolStr;
/// Names one life of a backend server; it changes whenever the server starts again.
pub type InstanceId = SmolStr;
/// Names a caller's request; a caller that sends again uses the same one.
pub type RequestId = SmolStr;
/// Numbers a shard within one index version of a service.
pub type ShardId = u32;
/// Numbers an index version of a service.
pub type IndexVersion = u64;
/// Numbers a version of the configuration.
pub type ConfigVersion = u64;
/// Orders the lives of one host.
pub type Incarnation = u64;
/// Names one attempt to run a request, or a part of it, at a backend server.
pub type AttemptId = u64;
/// Orders the changes of a source that several hosts read.
pub type Revision = u64;
