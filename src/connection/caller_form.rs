//! What the callers' interface carries: replies, refusals, hosts to use and a host's state.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::connection::coverage::Coverage;
use crate::connection::query::Row;
use crate::derive::data;
use crate::ids::{HostId, IndexVersion, RequestId};

data! {
    /// The reply to a query.
    pub struct Reply {
        /// The caller's id, or the one made for it.
        pub request_id: RequestId,
        /// `answered`, `not_run` or `unknown`.
        pub outcome: SmolStr,
        /// Why the request was not answered.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub reason: Option<SmolStr>,
        /// Sending the request again can't make it run twice.
        pub safe_to_resend: bool,
        /// When to come back.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub retry_after_ms: Option<u64>,
        /// The index version that every row comes from.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub index_version: Option<IndexVersion>,
        /// Which shards the answer covers.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub coverage: Option<Coverage>,
        /// The rows in order.
        #[serde(default)]
        pub rows: Vec<Row>,
    }

    /// A refusal that has to do with the request's form.
    pub struct Fault {
        /// What is wrong, and what to do.
        pub error: String,
        /// Always `not_run`.
        pub outcome: SmolStr,
    }

    /// The reply to the question which host to use.
    pub struct EntryHosts {
        /// How long the answer may be kept.
        pub lifetime_ms: u64,
        /// The addresses, the one to use first.
        pub hosts: Vec<EntryHost>,
    }

    /// A host that takes callers.
    pub struct EntryHost {
        /// Its name.
        pub host: HostId,
        /// Its address for callers.
        pub addr: SocketAddr,
    }

    /// What a host says of itself to operators.
    pub struct Status {
        /// The host.
        pub host: HostId,
        /// The deployment.
        pub deployment: SmolStr,
        /// The configuration version in force.
        pub config_version: u64,
        /// Callers are sent here.
        pub ready: bool,
        /// The host leaves.
        pub leaving: bool,
        /// Requests of callers that are running.
        pub running: u32,
        /// The seats that it holds.
        pub seats: Vec<HostId>,
        /// The hosts that it heard of lately.
        pub live_hosts: Vec<HostId>,
        /// The failure domains that operators took out.
        pub domains_out: Vec<SmolStr>,
    }
}
