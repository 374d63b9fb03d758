//! The data types of a caller's request and its answer.

use smol_str::SmolStr;

use super::coverage::Coverage;
use crate::derive::data;
use crate::ids::{IndexVersion, RequestId, ServiceId, ShardId};

data! {
    /// The body of `POST /v1/query/{service}`.
    #[serde(deny_unknown_fields)]
    pub struct QueryBody {
        /// The caller's id for the request; generated if absent.
        #[serde(default)]
        pub request_id: RequestId,
        /// How long the caller waits for the answer; the service's default if absent.
        #[serde(default)]
        pub deadline_ms: Option<u64>,
        /// The search term.
        #[serde(default)]
        pub term: SmolStr,
        /// The key to fetch, or to place the order under.
        #[serde(default)]
        pub key: SmolStr,
        /// The maximum number of rows to return.
        #[serde(default)]
        pub limit: Option<u32>,
        /// Whether a request with this id was sent before, with an unknown outcome or no reply.
        #[serde(default)]
        pub resend: bool,
    }

    /// One row of an answer.
    pub struct Row {
        /// The shard that returned the row.
        pub shard: ShardId,
        /// The sort key of the row; the lowest comes first.
        pub rank: i64,
        /// The key of the row, unique within the service.
        pub key: SmolStr,
        /// The content of the row.
        pub text: SmolStr,
    }

    /// A complete or honestly partial answer.
    pub struct Answer {
        /// The index version of all rows.
        pub index_version: IndexVersion,
        /// The shards that the answer covers.
        pub coverage: Coverage,
        /// The rows in order.
        pub rows: Vec<Row>,
    }

    /// An admitted request, as it is sent between hosts.
    pub struct Query {
        /// The caller's id.
        pub request_id: RequestId,
        /// The service.
        pub service: ServiceId,
        /// The search term.
        pub term: SmolStr,
        /// The key to fetch, or to place the order under.
        pub key: SmolStr,
        /// The maximum number of rows to return.
        pub limit: u32,
        /// Whether the caller sent the request before.
        pub resend: bool,
    }
}

/// Sorts rows, removes duplicates and keeps the first `limit`.
pub fn merge_rows(mut rows: Vec<Row>, limit: usize) -> Vec<Row> {
    rows.sort_by(|a, b| (a.rank, &a.key).cmp(&(b.rank, &b.key)));
    rows.dedup_by(|a, b| a.key == b.key && a.rank == b.rank);
    rows.truncate(limit);
    rows
}
