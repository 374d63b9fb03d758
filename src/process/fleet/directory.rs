//! Which hosts callers are sent to.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::members::{DomainIndex, FleetView, Phase};
use crate::connection::exchange::BackendProtocol;
use crate::process::tier::Tier;

/// How long callers may keep an answer. Some keep it three times as long, which still lies within
/// the time for which a leaving host takes requests.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);
/// The least hosts that an answer names, if there are as many: a caller that knows one only has
/// nowhere to go when it fails.
const MIN_HOSTS: usize = 2;
/// The most hosts that an answer names.
const MAX_HOSTS: usize = 64;

/// Returns the hosts for callers that stand in a failure domain, or in none that is known.
pub fn hosts_for<B: BackendProtocol>(tier: &Tier<B>, domain: &str) -> Vec<Ipv4Addr> {
    let me =
        tier.is_ready().then_some((tier.settings.ip, tier.domain_index(&tier.settings.domain)));
    choose(&tier.fleet.load(), me, tier.domain_index(domain), rand::random::<u16>().into())
}

/// Chooses hosts of the domain first, and others only where it has too few.
fn choose(
    fleet: &FleetView,
    me: Option<(Ipv4Addr, DomainIndex)>,
    domain: DomainIndex,
    turn: usize,
) -> Vec<Ipv4Addr> {
    let others = fleet.up.iter().filter(|h| h.phase == Phase::Ready).map(|h| (h.ip, h.domain));
    let ready: Vec<(Ipv4Addr, DomainIndex)> = me.into_iter().chain(others).collect();
    let ips =
        |near: bool| ready.iter().filter(move |(_, at)| (*at == domain) == near).map(|(ip, _)| *ip);
    let mut hosts: Vec<Ipv4Addr> = ips(true).collect();
    let far: Vec<Ipv4Addr> = ips(false).collect();
    let lacking = MIN_HOSTS.saturating_sub(hosts.len()).min(far.len());
    hosts.extend((0..lacking).map(|n| far[(turn % far.len() + n) % far.len()]));
    hosts.truncate(MAX_HOSTS);
    hosts
}

#[cfg(test)]
mod tests;
