//! Builds the timeline of one request from the logs, with the servers that it was sent to.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use smol_str::SmolStr;

use super::line::{Log, LogLine};

/// Lines on servers, plans and the platform count as likely causes if they are at most this much
/// older than the request: passive health statistics of servers decay within about this time.
const CAUSE_WINDOW: Duration = Duration::from_secs(3);
/// Messages on events that concern all requests of a host.
const HOST_WIDE_MESSAGES: [&str; 5] = [
    "starting",
    "plan adopted",
    "the platform is lost; what is known stays",
    "the platform answers again",
    "log lines were dropped",
];

/// The lines on one request and its likely causes, ordered by time.
#[derive(Debug)]
pub struct Timeline<'a> {
    request: &'a str,
    started_at: Timestamp,
    lines: Vec<&'a LogLine>,
}

impl<'a> Timeline<'a> {
    /// Collects the lines on a request, or returns `None` if there are none.
    pub fn from_log(log: &'a Log, request: &'a str) -> Option<Self> {
        let of_request: Vec<&LogLine> =
            log.lines.iter().filter(|line| line.has_field("request", request)).collect();
        let (first, last) = (of_request.first()?.timestamp, of_request.last()?.timestamp);
        let servers: BTreeSet<SmolStr> = of_request
            .iter()
            .map(|line| line.text("server"))
            .filter(|name| !name.is_empty())
            .collect();
        let origins: BTreeSet<&SmolStr> = of_request.iter().map(|line| &line.origin).collect();
        let before = SignedDuration::try_from(CAUSE_WINDOW).unwrap_or_default();
        let since = first.checked_sub(before).unwrap_or(Timestamp::MIN);
        let is_related = |line: &&LogLine| {
            if line.fields.contains_key("request") {
                return line.has_field("request", request);
            }
            let in_window = line.timestamp >= since && line.timestamp <= last;
            let of_server = servers.contains(&line.text("server"));
            let of_host = origins.contains(&line.origin)
                && HOST_WIDE_MESSAGES.contains(&line.message.as_str());
            in_window && (of_server || of_host)
        };
        Some(Self {
            request,
            started_at: first,
            lines: log.lines.iter().filter(is_related).collect(),
        })
    }
}

impl fmt::Display for Timeline<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {} from {}", self.request, self.started_at)?;
        for line in &self.lines {
            let after = line.timestamp.duration_since(self.started_at).as_secs_f64() * 1e3;
            write!(f, "{after:>10.1} ms  {}  {}", line.origin, line.message)?;
            for (name, _) in line.fields.iter().filter(|(name, _)| *name != "request") {
                write!(f, " {name}={}", line.text(name))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
