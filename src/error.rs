//! The crate's error type. Its messages tell users how to correct the problem.

use std::io;
use std::net::SocketAddr;

use crate::ids::ConfigVersion;

/// The result of an operation that a user or a platform service requested.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The reason why a command failed or a setting or a configuration is not valid.
///
/// Outcomes of requests are values of [`crate::Outcome`], never errors.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read or written.
    #[error("{path}: {source}; check that the file exists and can be read")]
    File {
        /// The path of the file, as given by the user.
        path: String,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A document can't be parsed or is incomplete.
    #[error("{what} can't be read: {why}")]
    Malformed {
        /// The document.
        what: String,
        /// The cause, such as the parser's message.
        why: String,
    },
    /// A value in a questionnaire, a configuration or the settings is invalid.
    #[error("{field} is {value}: {remedy}")]
    Invalid {
        /// The path of the field in the document.
        field: String,
        /// The invalid value.
        value: String,
        /// How to correct it.
        remedy: String,
    },
    /// A configuration is older than the one in force or conflicts with it.
    #[error("version {offered} is refused: {why}; version {in_force} stays in force")]
    Refused {
        /// The refused version.
        offered: ConfigVersion,
        /// The version in force.
        in_force: ConfigVersion,
        /// The reason for the refusal.
        why: String,
    },
    /// A name is not in the configuration.
    #[error("there is no {kind} named {name}; known: {known}")]
    UnknownName {
        /// What the name refers to, such as a host or a service.
        kind: &'static str,
        /// The unknown name.
        name: String,
        /// The known names.
        known: String,
    },
    /// The process can't listen on an address or connect to it.
    #[error("{addr}: {source}; check the address and whether another process uses it")]
    Address {
        /// The address.
        addr: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A remote process sent an unusable reply.
    #[error("unusable reply from {addr}: {why}")]
    Remote {
        /// The address of the remote process.
        addr: SocketAddr,
        /// What is wrong with the reply.
        why: String,
    },
    /// A measurement found violations of invariants.
    #[error("{count} violations of invariants; see the report for details")]
    Violations {
        /// The number of violations.
        count: u64,
    },
}

impl Error {
    pub(crate) fn invalid(
        field: impl Into<String>,
        value: impl ToString,
        remedy: impl Into<String>,
    ) -> Self {
        Self::Invalid { field: field.into(), value: value.to_string(), remedy: remedy.into() }
    }

    pub(crate) fn malformed(what: impl Into<String>, why: impl ToString) -> Self {
        Self::Malformed { what: what.into(), why: why.to_string() }
    }
}
