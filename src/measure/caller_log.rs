//! Records what callers sent and which replies they got.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::caller::NoReply;
use crate::connection::caller_api::Reply;
use crate::ids::{RequestId, ServiceId};
use crate::version::config::Kind;

/// A request as sent once by a caller, and its result; each resend is another record.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// The service.
    pub service: ServiceId,
    /// The service's kind of request.
    pub kind: Kind,
    /// The request id that the caller chose.
    pub request: RequestId,
    /// The search term.
    pub term: String,
    /// The key to fetch or submit.
    pub key: String,
    /// How long the caller waits.
    pub deadline: Duration,
    /// The time of sending, from the start of the load.
    pub sent_at: Duration,
    /// The time from sending to the reply or error.
    pub took: Duration,
    /// The reply, or the reason why there is none.
    pub result: Result<Reply, NoReply>,
}

/// All requests sent during a run.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// The records, in the order in which the requests ended.
    pub requests: Vec<SentRequest>,
}

impl CallerLog {
    /// Returns all records of each non-idempotent request, by request id.
    pub fn submits(&self) -> HashMap<&RequestId, Vec<&SentRequest>> {
        let mut submits: HashMap<&RequestId, Vec<&SentRequest>> = HashMap::new();
        for sent in self.requests.iter().filter(|s| s.kind == Kind::Submit) {
            submits.entry(&sent.request).or_default().push(sent);
        }
        submits
    }
}
