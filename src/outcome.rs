//! The three outcomes of a request, which every layer keeps apart.
//!
//! See `docs/ARCHITECTURE.md`, section "Outcomes".

use std::fmt;

use crate::derive::{data, key};

data! {
    /// What became of a request.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome<T> {
        /// The request ran and this is its result.
        Answered(T),
        /// The request did not run anywhere; sending it again is safe.
        NotRun(NotRunReason),
        /// The request may have run; sending a non-idempotent one again is not safe.
        Unknown(UnknownReason),
    }
}

key! {
    /// Why a request is known not to have run.
    pub enum NotRunReason {
        /// The deadline left no time to run it.
        DeadlineTooClose,
        /// A queue or budget was full.
        Overloaded,
        /// The backend server refused to take more work.
        Shed,
        /// The backend server is draining.
        Draining,
        /// Operators took the backend server's failure domain out.
        DomainOut,
        /// The backend server is leaving or no longer configured.
        ServerLeaving,
        /// No backend server may be used under the present leases and limits.
        NoPermission,
        /// The host asked is not the owner of the backend server, or not the keeper of the request.
        NotOwner,
        /// No connection could be made.
        Unreachable,
        /// The index version is gone from the backend server.
        VersionGone,
        /// The caller went away or a sibling attempt answered first.
        Cancelled,
        /// The host is not ready, or is shutting down.
        NotReady,
        /// The request itself is not acceptable.
        BadRequest,
    }

    /// Why it is not known whether a request ran.
    pub enum UnknownReason {
        /// No reply arrived in time.
        TimedOut,
        /// The connection broke after the request was handed to it.
        ConnectionLost,
        /// The reply was truncated, too large or for another request.
        BadReply,
        /// The host that would remember the request has changed since it was first sent.
        RecordLost,
        /// An earlier copy of the request is still running.
        StillRunning,
    }
}

impl<T> Outcome<T> {
    /// Turns the result into another type and keeps the other outcomes.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Answered(value) => Outcome::Answered(f(value)),
            Self::NotRun(reason) => Outcome::NotRun(reason),
            Self::Unknown(reason) => Outcome::Unknown(reason),
        }
    }

    /// Tells whether a non-idempotent request may be sent again as a new one.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DeadlineTooClose => "deadline_too_close",
            Self::Overloaded => "overloaded",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::DomainOut => "domain_out",
            Self::ServerLeaving => "server_leaving",
            Self::NoPermission => "no_permission",
            Self::NotOwner => "not_owner",
            Self::Unreachable => "unreachable",
            Self::VersionGone => "version_gone",
            Self::Cancelled => "cancelled",
            Self::NotReady => "not_ready",
            Self::BadRequest => "bad_request",
        })
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TimedOut => "timed_out",
            Self::ConnectionLost => "connection_lost",
            Self::BadReply => "bad_reply",
            Self::RecordLost => "record_lost",
            Self::StillRunning => "still_running",
        })
    }
}
