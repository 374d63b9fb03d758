//! What the logs say of one request, and of the servers that it met.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use smol_str::SmolStr;

use super::line::{Log, LogLine};

/// Lines about servers, plans and the platform count as causes if they are at most this much older
/// than the request: beliefs about servers fade within about as long.
const CAUSES_BEFORE: Duration = Duration::from_secs(3);
/// The lines about things that concern every request of a host.
const ABOUT_ALL: [&str; 5] = [
    "starting",
    "plan adopted",
    "the platform is lost; what is known stays",
    "the platform answers again",
    "log lines were dropped",
];

/// The lines about a request and its likely causes, in the order of their times.
#[derive(Debug)]
pub struct Story<'a> {
    request: &'a str,
    began_at: Timestamp,
    lines: Vec<&'a LogLine>,
}

impl<'a> Story<'a> {
    /// Collects the lines about a request, or returns `None` where there are none.
    pub fn of(log: &'a Log, request: &'a str) -> Option<Self> {
        let about: Vec<&LogLine> =
            log.lines.iter().filter(|line| line.is_about("request", request)).collect();
        let (first, last) = (about.first()?.timestamp, about.last()?.timestamp);
        let servers: BTreeSet<SmolStr> =
            about.iter().map(|line| line.text("server")).filter(|name| !name.is_empty()).collect();
        let origins: BTreeSet<&SmolStr> = about.iter().map(|line| &line.origin).collect();
        let before = SignedDuration::try_from(CAUSES_BEFORE).unwrap_or_default();
        let since = first.checked_sub(before).unwrap_or(Timestamp::MIN);
        let told = |line: &&LogLine| {
            if line.fields.contains_key("request") {
                return line.is_about("request", request);
            }
            let near = line.timestamp >= since && line.timestamp <= last;
            let of_server = servers.contains(&line.text("server"));
            let of_host =
                origins.contains(&line.origin) && ABOUT_ALL.contains(&line.message.as_str());
            near && (of_server || of_host)
        };
        Some(Self { request, began_at: first, lines: log.lines.iter().filter(told).collect() })
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {} from {}", self.request, self.began_at)?;
        for line in &self.lines {
            let after = line.timestamp.duration_since(self.began_at).as_secs_f64() * 1e3;
            write!(f, "{after:>10.1} ms  {}  {}", line.origin, line.message)?;
            for (name, _) in line.fields.iter().filter(|(name, _)| *name != "request") {
                write!(f, " {name}={}", line.text(name))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
