//! The three possible outcomes of a request, which every layer distinguishes.
//!
//! See `docs/ARCHITECTURE.md`, section "Outcomes".

use std::fmt;

use crate::derive::{data, key};

data! {
    /// The outcome of a request.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome<T> {
        /// The request ran and returned this result.
        Answered(T),
        /// The request did not run anywhere; sending it again is safe.
        NotRun(NotRunReason),
        /// The request may have run; sending a non-idempotent one again is not safe.
        Unknown(UnknownReason),
    }
}

key! {
    /// The reason why a request did not run.
    pub enum NotRunReason {
        /// Too little time was left before the deadline.
        DeadlineTooClose,
        /// A queue was full or a budget was used up.
        Overloaded,
        /// The backend server rejected the request because of overload.
        Shed,
        /// The backend server is draining.
        Draining,
        /// Operators have taken the backend server's failure domain out of service.
        DomainOut,
        /// The backend server is being taken out of service or is not configured any more.
        ServerLeaving,
        /// The current leases and limits allow the use of no backend server.
        NoPermission,
        /// The called host is not the owner of the backend server, or not the keeper of the
        /// request.
        NotOwner,
        /// No connection could be established.
        Unreachable,
        /// The backend server no longer has the index version.
        VersionGone,
        /// The caller disconnected, or another attempt answered first.
        Cancelled,
        /// The host is not ready or is shutting down.
        NotReady,
        /// The request is invalid.
        BadRequest,
        /// The backend servers' rate limits allow no request at present. Sent to other hosts only in
        /// answers to forwarded requests, as builds before these don't know it.
        RateLimited,
        /// The request has crashed servers that ran it. Sent to other hosts like the one before.
        Quarantined,
    }

    /// The reason why it is not known whether a request ran.
    pub enum UnknownReason {
        /// No reply arrived in time.
        TimedOut,
        /// The connection was lost after the request was passed to it.
        ConnectionLost,
        /// The reply was truncated, too large or belonged to another request.
        BadReply,
        /// The keeper of the request has changed since the request was first sent, so its record is
        /// lost.
        RecordLost,
        /// An earlier attempt of the request is still running.
        StillRunning,
    }
}

impl<T> Outcome<T> {
    /// Converts the result of an answered request. Other outcomes are unchanged.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Answered(value) => Outcome::Answered(f(value)),
            Self::NotRun(reason) => Outcome::NotRun(reason),
            Self::Unknown(reason) => Outcome::Unknown(reason),
        }
    }

    /// Returns whether the request did not run, so that even a non-idempotent one may be sent
    /// again.
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
            Self::RateLimited => "rate_limited",
            Self::Quarantined => "quarantined",
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
