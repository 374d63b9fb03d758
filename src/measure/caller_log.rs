//! What callers saw.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::caller::NoReply;
use crate::connection::caller_api::Reply;
use crate::ids::{RequestId, ServiceId};
use crate::version::config::Kind;

/// One sending of a request and what came of it.
#[derive(Debug, Clone)]
pub struct Sending {
    /// The service.
    pub service: ServiceId,
    /// What the service's requests do.
    pub kind: Kind,
    /// The caller's id.
    pub request: RequestId,
    /// What was looked for.
    pub term: String,
    /// The key given.
    pub key: String,
    /// How long the caller waits.
    pub deadline: Duration,
    /// When it was sent, from the start of the load.
    pub sent_at: Duration,
    /// How long it took.
    pub took: Duration,
    /// The reply, or why there is none.
    pub result: Result<Reply, NoReply>,
}

/// All sendings of a run.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// In the order in which they ended.
    pub sendings: Vec<Sending>,
}

impl CallerLog {
    /// Returns the sendings of each non-idempotent request.
    pub fn submits(&self) -> HashMap<&RequestId, Vec<&Sending>> {
        let mut submits: HashMap<&RequestId, Vec<&Sending>> = HashMap::new();
        for sending in self.sendings.iter().filter(|s| s.kind == Kind::Submit) {
            submits.entry(&sending.request).or_default().push(sending);
        }
        submits
    }
}
