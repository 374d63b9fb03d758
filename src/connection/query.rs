//! A caller's request and its answer, as values.

use smol_str::SmolStr;

use super::coverage::Coverage;
use crate::derive::data;
use crate::ids::{IndexVersion, RequestId, ServiceId, ShardId};

data! {
    /// What a caller asks, as the body of `POST /v1/query/{service}`.
    #[serde(deny_unknown_fields)]
    pub struct QueryBody {
        /// The caller's id for the request; one is made where it is absent.
        #[serde(default)]
        pub request_id: RequestId,
        /// How long the caller waits from now on; the service's own where it is absent.
        #[serde(default)]
        pub deadline_ms: Option<u64>,
        /// What to look for.
        #[serde(default)]
        pub term: SmolStr,
        /// The key to fetch, or to place the order under.
        #[serde(default)]
        pub key: SmolStr,
        /// The most rows wanted.
        #[serde(default)]
        pub limit: Option<u32>,
        /// An earlier sending of this id ended as unknown, or had no reply.
        #[serde(default)]
        pub resend: bool,
    }

    /// One row of an answer.
    pub struct Row {
        /// The shard it came from.
        pub shard: ShardId,
        /// Its place in the order; the least comes first.
        pub rank: i64,
        /// Its key, unique within the service.
        pub key: SmolStr,
        /// Its content.
        pub text: SmolStr,
    }

    /// A complete or honestly partial answer.
    pub struct Answer {
        /// The index version that every row comes from.
        pub index_version: IndexVersion,
        /// Which shards it covers.
        pub coverage: Coverage,
        /// The rows in order.
        pub rows: Vec<Row>,
    }

    /// An admitted request as it travels between hosts.
    pub struct Query {
        /// The caller's id.
        pub request_id: RequestId,
        /// The service.
        pub service: ServiceId,
        /// What to look for.
        pub term: SmolStr,
        /// The key to fetch, or to place the order under.
        pub key: SmolStr,
        /// The most rows wanted.
        pub limit: u32,
        /// Whether the caller sent it before.
        pub resend: bool,
    }
}

/// Merges rows into their order without duplicates and keeps the first `limit`.
pub fn merge_rows(mut rows: Vec<Row>, limit: usize) -> Vec<Row> {
    rows.sort_by(|a, b| (a.rank, &a.key).cmp(&(b.rank, &b.key)));
    rows.dedup_by(|a, b| a.key == b.key && a.rank == b.rank);
    rows.truncate(limit);
    rows
}
