//! The crate's error type; its messages tell a person what to do.

use std::io;
use std::net::SocketAddr;

use crate::ids::ConfigVersion;

/// The result of an operation that a person or a platform service asked for.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Says why a command, a setting or a configuration could not be used.
///
/// Outcomes of requests are values ([`crate::Outcome`]) and never appear here.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read or written.
    #[error("{path}: {source}; check that the file exists and can be read")]
    File {
        /// The file's path as given.
        path: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// A document is not what its format demands.
    #[error("{what} can't be read: {why}")]
    Malformed {
        /// The document.
        what: String,
        /// The parser's message.
        why: String,
    },
    /// A value of a questionnaire or a configuration breaks a rule.
    #[error("{field} is {value}: {remedy}")]
    Invalid {
        /// The field, as a path within the document.
        field: String,
        /// The value found.
        value: String,
        /// What to write in its place.
        remedy: String,
    },
    /// A configuration is older than, or contradicts, the one in force.
    #[error("version {offered} is refused: {why}; version {in_force} stays in force")]
    Refused {
        /// The version that was offered.
        offered: ConfigVersion,
        /// The version in force.
        in_force: ConfigVersion,
        /// Why it was refused.
        why: String,
    },
    /// A name is not in the configuration.
    #[error("there is no {kind} named {name}; known: {known}")]
    UnknownName {
        /// What kind of thing was named.
        kind: &'static str,
        /// The name given.
        name: String,
        /// The names that would have been accepted.
        known: String,
    },
    /// An address could not be listened on or connected to.
    #[error("{addr}: {source}; check the address and that nothing else listens there")]
    Address {
        /// The address.
        addr: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// A remote process answered with something unusable.
    #[error("{addr} answered: {why}")]
    Remote {
        /// The address asked.
        addr: SocketAddr,
        /// What was wrong with the answer.
        why: String,
    },
    /// A run of the measurement saw broken invariants.
    #[error("{count} violations of the invariants; the report names them")]
    Violations {
        /// How many were seen.
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
