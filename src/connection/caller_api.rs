//! The JSON documents of the callers' HTTP API: replies, errors, entry hosts and host status.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::connection::coverage::Coverage;
use crate::connection::query::Row;
use crate::derive::data;
use crate::ids::{HostId, IndexVersion, RequestId};

data! {
    /// The reply to a query.
    pub struct Reply {
        /// The caller's id, or a generated one.
        pub request_id: RequestId,
        /// `answered`, `not_run` or `unknown`.
        pub outcome: SmolStr,
        /// Why the request was not answered.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub reason: Option<SmolStr>,
        /// Whether the request can be sent again without running twice.
        pub safe_to_resend: bool,
        /// How long to wait before sending again.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub retry_after_ms: Option<u64>,
        /// The index version of all rows.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub index_version: Option<IndexVersion>,
        /// The shards that the answer covers.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub coverage: Option<Coverage>,
        /// The rows in order.
        #[serde(default)]
        pub rows: Vec<Row>,
    }

    /// The reply to a malformed request.
    pub struct ErrorReply {
        /// What is wrong and how to correct it.
        pub error: String,
        /// Always `not_run`.
        pub outcome: SmolStr,
    }

    /// The entry hosts that a caller may use.
    pub struct EntryHosts {
        /// How long the answer may be cached.
        pub lifetime_ms: u64,
        /// The entry hosts, in order of preference.
        pub hosts: Vec<EntryHost>,
    }

    /// A host that accepts callers.
    pub struct EntryHost {
        /// The host's id.
        pub host: HostId,
        /// The host's address for callers.
        pub addr: SocketAddr,
    }

    /// The status of a host, for operators.
    pub struct Status {
        /// The host.
        pub host: HostId,
        /// The deployment.
        pub deployment: SmolStr,
        /// The configuration version in force.
        pub config_version: u64,
        /// Whether callers are directed to this host.
        pub ready: bool,
        /// Whether the host is leaving.
        pub leaving: bool,
        /// The number of callers' requests in flight.
        pub running: u32,
        /// The seats that the host holds.
        pub seats: Vec<HostId>,
        /// The hosts with a recent heartbeat.
        pub live_hosts: Vec<HostId>,
        /// The failure domains that operators have taken out.
        pub domains_out: Vec<SmolStr>,
    }
}
