//! The operational state: which servers and hosts may be used now. Every dispatch reads its latest
//! snapshot.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::config::{Config, Host, Kind, Priority, ServerLimits, Service};
use super::placement;
use crate::ids::{DomainId, HostId, ServerId, ServiceId};
use crate::outcome::NotRunReason;

/// An immutable snapshot of the configuration in force and the state derived from it.
#[derive(Debug)]
pub struct OperationalState {
    /// The configuration in force.
    pub config: Arc<Config>,
    servers: HashMap<ServerId, ServerEntry>,
    rankings: Arc<SeatRankings>,
}

/// The rankings of hosts for all seats. They depend only on the configured hosts.
#[derive(Debug)]
struct SeatRankings {
    candidates: HashMap<HostId, placement::HostList>,
    witnesses: HashMap<HostId, placement::HostList>,
}

/// A backend server as the dispatch gate sees it.
#[derive(Debug, Clone)]
pub struct ServerEntry {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// What the service's requests do.
    pub kind: Kind,
    /// The queue class of the service.
    pub priority: Priority,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its capacity.
    pub limits: ServerLimits,
    /// The seat that owns it.
    pub seat: HostId,
    /// Why it gets no new work, or `None` if it may be used.
    pub refusal: Option<NotRunReason>,
}

impl OperationalState {
    /// Creates a snapshot from a configuration and the platform's list of leaving servers.
    ///
    /// The list can only take a server out of use. It never admits one that the configuration
    /// excludes.
    pub fn new(config: Arc<Config>, leaving: &HashSet<ServerId>) -> Self {
        let servers = Self::entries(&config, leaving);
        let rankings = Arc::new(SeatRankings::new(&config));
        Self { config, servers, rankings }
    }

    /// Creates the snapshot that replaces this one. The rankings are reused if neither the hosts
    /// nor their failure domains have changed.
    #[must_use]
    pub fn rebuild(&self, config: Arc<Config>, leaving: &HashSet<ServerId>) -> Self {
        let is_same = |a: &Host, b: &Host| a.id == b.id && a.domain == b.domain;
        let (old, new) = (&self.config.fleet.hosts, &config.fleet.hosts);
        let unchanged = old.len() == new.len() && old.iter().zip(new).all(|(a, b)| is_same(a, b));
        let servers = Self::entries(&config, leaving);
        let rankings =
            if unchanged { self.rankings.clone() } else { Arc::new(SeatRankings::new(&config)) };
        Self { config, servers, rankings }
    }

    fn entries(config: &Config, leaving: &HashSet<ServerId>) -> HashMap<ServerId, ServerEntry> {
        let mut servers = HashMap::new();
        for service in &config.services {
            for server in service.servers() {
                let Some(seat) = placement::seat_of(config, server) else {
                    continue;
                };
                let out = config.domain(&server.domain).is_none_or(|domain| domain.out);
                let refusal = if out {
                    Some(NotRunReason::DomainOut)
                } else if server.leaving || leaving.contains(&server.id) {
                    Some(NotRunReason::ServerLeaving)
                } else {
                    None
                };
                servers.insert(server.id.clone(), Self::entry(service, server, seat, refusal));
            }
        }
        servers
    }

    fn entry(
        service: &Service,
        server: &super::config::Server,
        seat: HostId,
        refusal: Option<NotRunReason>,
    ) -> ServerEntry {
        ServerEntry {
            service: service.id.clone(),
            kind: service.kind,
            priority: service.priority,
            addr: server.addr,
            domain: server.domain.clone(),
            limits: service.limits.clone(),
            seat,
            refusal,
        }
    }

    /// Returns a server's entry, or `None` if it is not configured.
    pub fn server(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id)
    }

    /// Returns all servers with their names.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerId, &ServerEntry)> {
        self.servers.iter()
    }

    /// The dispatch gate: returns a server's entry if the server may get new work now.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not.
    pub fn gate(&self, server: &str) -> Result<&ServerEntry, NotRunReason> {
        let entry = self.servers.get(server).ok_or(NotRunReason::ServerLeaving)?;
        entry.refusal.map_or(Ok(entry), Err)
    }

    /// Returns the hosts that may hold a seat, from the highest to the lowest rank.
    pub fn candidates(&self, seat: &str) -> &[HostId] {
        self.rankings.candidates.get(seat).map_or(&[], |list| list.as_slice())
    }

    /// Returns the witnesses of a seat.
    pub fn witnesses(&self, seat: &str) -> &[HostId] {
        self.rankings.witnesses.get(seat).map_or(&[], |list| list.as_slice())
    }

    /// Returns whether a host is in service: neither the host nor its failure domain is taken out.
    pub fn is_host_in_service(&self, host: &Host) -> bool {
        !host.leaving && self.config.domain(&host.domain).is_some_and(|domain| !domain.out)
    }
}

impl SeatRankings {
    fn new(config: &Config) -> Self {
        let hosts = || config.fleet.hosts.iter().map(|host| &host.id);
        let rank = |f: fn(&Config, &str) -> placement::HostList| {
            hosts().map(|id| (id.clone(), f(config, id))).collect()
        };
        Self { candidates: rank(placement::candidates), witnesses: rank(placement::witnesses) }
    }
}
