//! Detects failure domains that this host can't reach, whether or not their hosts are up.
//!
//! A path may pass data in one direction only, so heartbeats that arrive prove nothing about the way
//! back. What this host's own calls show does: several hosts or servers of a domain are silent, and
//! nothing in the domain has answered since. See `docs/DECISIONS.md`, section "Unreachable domains".

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;

use super::members::DomainIndex;
use crate::clock::Monotonic;

/// The number of silent hosts or servers after which their domain is unreachable. A single one may
/// be the cause itself.
const MIN_SILENT_PEERS: usize = 2;
/// How long an unreachable domain is not used before the next request tries it; doubles up to
/// [`MAX_BACKOFF`] while nothing there answers.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

#[derive(Debug, Clone)]
struct Path {
    answered_at: Monotonic,
    silent: SmallVec<[SmolStr; MIN_SILENT_PEERS]>,
    unreachable_until: Monotonic,
    backoff: Duration,
}

impl Default for Path {
    fn default() -> Self {
        Self {
            answered_at: Monotonic::ZERO,
            silent: SmallVec::new(),
            unreachable_until: Monotonic::ZERO,
            backoff: INITIAL_BACKOFF,
        }
    }
}

impl Path {
    fn is_doubtful(&self) -> bool {
        self.unreachable_until > Monotonic::ZERO
    }
}

/// The paths from this host to the failure domains.
#[derive(Debug, Default)]
pub struct DomainPaths {
    paths: HashMap<DomainIndex, Path>,
}

impl DomainPaths {
    /// Records an answer of a host or server in a domain; returns whether the domain was
    /// unreachable before.
    pub fn on_answer(&mut self, now: Monotonic, domain: DomainIndex) -> bool {
        let path = self.paths.entry(domain).or_default();
        let was_doubtful = path.is_doubtful();
        *path = Path { answered_at: now, ..Path::default() };
        was_doubtful
    }

    /// Records that `peer`, a host or server in a domain, has not answered what was sent to it at
    /// `sent_at`; returns whether the domain is unreachable because of it.
    pub fn on_silence(
        &mut self,
        now: Monotonic,
        domain: DomainIndex,
        peer: &str,
        sent_at: Monotonic,
    ) -> bool {
        let path = self.paths.entry(domain).or_default();
        if path.answered_at >= sent_at || now < path.unreachable_until {
            return false;
        }
        if !path.silent.iter().any(|silent| silent == peer) {
            path.silent.push(peer.into());
        }
        if path.silent.len() < MIN_SILENT_PEERS {
            return false;
        }
        path.unreachable_until = now + path.backoff;
        path.backoff = (path.backoff * 2).min(MAX_BACKOFF);
        true
    }

    /// Returns the domains that are currently not used.
    pub fn unreachable(&self, now: Monotonic) -> SmallVec<[DomainIndex; 4]> {
        let unreachable = |(_, path): &(&DomainIndex, &Path)| now < path.unreachable_until;
        self.paths.iter().filter(unreachable).map(|(domain, _)| *domain).collect()
    }

    /// Returns whether any domain is doubtful; see [`Self::is_doubtful`].
    pub fn any_doubtful(&self) -> bool {
        self.paths.values().any(Path::is_doubtful)
    }

    /// Returns whether a domain has been unreachable and has not answered since, also while the
    /// next request tries it.
    pub fn is_doubtful(&self, domain: DomainIndex) -> bool {
        self.paths.get(&domain).is_some_and(Path::is_doubtful)
    }
}

#[cfg(test)]
mod tests;
