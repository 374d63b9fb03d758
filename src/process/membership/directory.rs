//! Which hosts callers are sent to.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::members::{DomainIndex, FleetView, Heartbeat, Phase};
use crate::connection::exchange::BackendProtocol;
use crate::ids::{DomainId, RegionId};
use crate::process::tier::Tier;

/// How long callers may keep an answer. Some keep it three times as long, which still lies within
/// the time for which a leaving host takes requests.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);
/// The least hosts that an answer names, if there are as many: a caller that knows one only has
/// nowhere to go when it fails.
const MIN_HOSTS: usize = 2;
/// A host that can bear less than this share of the strongest is weak: a request over many shards
/// takes it as many times longer.
const WEAK_SHARE: f64 = 0.7;
/// The most hosts that an answer names.
const MAX_HOSTS: usize = 64;

/// A host that callers may be sent to.
#[derive(Debug, Clone, Copy)]
struct Choice {
    ip: Ipv4Addr,
    domain: DomainIndex,
    weight: u16,
}

/// Where a caller stands; a domain that is not known is taken for none.
#[derive(Debug, Clone, Copy)]
struct Place<'a> {
    domain: DomainIndex,
    /// The domains of the caller's region.
    region: &'a [DomainIndex],
}

/// Returns the hosts for callers that stand in a failure domain of a region.
pub fn hosts_for<B: BackendProtocol>(tier: &Tier<B>, domain: &str, region: &str) -> Vec<Ipv4Addr> {
    let domains = &tier.settings.domains;
    let region = domains.get(domain).map_or(region, RegionId::as_str);
    let same =
        |(domain, of): (&DomainId, &RegionId)| (*of == region).then(|| tier.domain_index(domain));
    let region: Vec<DomainIndex> = domains.iter().filter_map(same).collect();
    let place = Place { domain: tier.domain_index(domain), region: &region };
    let me = tier.is_ready().then(|| Choice {
        ip: tier.settings.ip,
        domain: tier.domain_index(&tier.settings.domain),
        weight: tier.settings.weight,
    });
    let turn = rand::random::<u16>().into();
    choose(&tier.fleet.load(), me, place, turn)
}

/// Chooses strong hosts of the domain first, and others only where it has too few: those of the
/// caller's region before those beyond it.
fn choose(fleet: &FleetView, me: Option<Choice>, place: Place<'_>, turn: usize) -> Vec<Ipv4Addr> {
    let choice = |h: &Heartbeat| Choice { ip: h.ip, domain: h.domain, weight: h.weight };
    let others = fleet.up.iter().filter(|h| h.phase == Phase::Ready).map(choice);
    let ready = me.into_iter().chain(others);
    let (mut near, mut far): (Vec<Choice>, Vec<Choice>) =
        ready.partition(|c| c.domain == place.domain);
    near.sort_by_key(|choice| (std::cmp::Reverse(choice.weight), choice.ip));
    let strongest = near.first().map_or(0.0, |choice| f64::from(choice.weight));
    let strong = |choice: &&Choice| f64::from(choice.weight) >= strongest * WEAK_SHARE;
    let count = near.iter().filter(strong).count().max(MIN_HOSTS);
    let mut hosts: Vec<Ipv4Addr> = near.iter().take(count).map(|choice| choice.ip).collect();
    let lacking = MIN_HOSTS.saturating_sub(hosts.len()).min(far.len());
    if lacking > 0 {
        far.sort_by_key(|choice| choice.ip);
        let first = turn % far.len();
        far.rotate_left(first);
        far.sort_by_key(|choice| !place.region.contains(&choice.domain));
        hosts.extend(far.iter().take(lacking).map(|choice| choice.ip));
    }
    hosts.truncate(MAX_HOSTS);
    hosts
}

#[cfg(test)]
mod tests;
