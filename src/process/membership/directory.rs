//! Selects the hosts that callers are directed to.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::members::{DomainIndex, FleetView, Heartbeat, Phase};
use crate::connection::exchange::BackendProtocol;
use crate::ids::{DomainId, RegionId};
use crate::process::tier::Tier;

/// How long callers may cache an answer. Some cache it three times as long, which is still within
/// the time for which a leaving host accepts requests.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);
/// Minimum number of hosts in an answer, if that many are ready. A caller that knows only one host
/// has no alternative when that host fails.
const MIN_HOSTS: usize = 2;
/// Hosts below this fraction of the highest weight in the domain are left out, unless fewer than
/// [`MIN_HOSTS`] remain. A request over many shards takes longer on them, in inverse proportion to
/// their weight.
const MIN_RELATIVE_WEIGHT: f64 = 0.7;
/// Maximum number of hosts in an answer.
const MAX_HOSTS: usize = 64;

/// A ready host that may be included in an answer.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    ip: Ipv4Addr,
    domain: DomainIndex,
    weight: u16,
}

/// Location of a caller; an unknown domain matches no host's domain.
#[derive(Debug, Clone, Copy)]
struct CallerLocation<'a> {
    domain: DomainIndex,
    /// The domains of the caller's region.
    region: &'a [DomainIndex],
}

/// Returns the hosts for callers in a failure domain of a region.
pub fn hosts_for<B: BackendProtocol>(tier: &Tier<B>, domain: &str, region: &str) -> Vec<Ipv4Addr> {
    let domains = &tier.settings.domains;
    let region = domains.get(domain).map_or(region, RegionId::as_str);
    let same =
        |(domain, of): (&DomainId, &RegionId)| (*of == region).then(|| tier.domain_index(domain));
    let region: Vec<DomainIndex> = domains.iter().filter_map(same).collect();
    let location = CallerLocation { domain: tier.domain_index(domain), region: &region };
    let me = tier.is_ready().then(|| Candidate {
        ip: tier.settings.ip,
        domain: tier.domain_index(&tier.settings.domain),
        weight: tier.settings.weight,
    });
    let rotation = rand::random::<u16>().into();
    let fleet = tier.fleet.load();
    if tier.is_cut_off() {
        let elsewhere = choose(&fleet, None, location, rotation);
        if !elsewhere.is_empty() {
            return elsewhere;
        }
    }
    choose(&fleet, me, location, rotation)
}

/// Returns the hosts of the caller's domain with a high weight. If these are too few, adds hosts of
/// the caller's region, then of other regions.
fn choose(
    fleet: &FleetView,
    me: Option<Candidate>,
    location: CallerLocation<'_>,
    rotation: usize,
) -> Vec<Ipv4Addr> {
    let candidate = |h: &Heartbeat| Candidate { ip: h.ip, domain: h.domain, weight: h.weight };
    let others = fleet.up.iter().filter(|h| h.phase == Phase::Ready).map(candidate);
    let ready = me.into_iter().chain(others);
    let (mut local, mut remote): (Vec<Candidate>, Vec<Candidate>) =
        ready.partition(|c| c.domain == location.domain);
    local.sort_by_key(|candidate| (std::cmp::Reverse(candidate.weight), candidate.ip));
    let max_weight = local.first().map_or(0.0, |candidate| f64::from(candidate.weight));
    let has_sufficient_weight =
        |candidate: &&Candidate| f64::from(candidate.weight) >= max_weight * MIN_RELATIVE_WEIGHT;
    let count = local.iter().filter(has_sufficient_weight).count().max(MIN_HOSTS);
    let mut hosts: Vec<Ipv4Addr> = local.iter().take(count).map(|candidate| candidate.ip).collect();
    let missing = MIN_HOSTS.saturating_sub(hosts.len()).min(remote.len());
    if missing > 0 {
        remote.sort_by_key(|candidate| candidate.ip);
        let first = rotation % remote.len();
        remote.rotate_left(first);
        remote.sort_by_key(|candidate| !location.region.contains(&candidate.domain));
        hosts.extend(remote.iter().take(missing).map(|candidate| candidate.ip));
    }
    hosts.truncate(MAX_HOSTS);
    hosts
}

#[cfg(test)]
mod tests;
