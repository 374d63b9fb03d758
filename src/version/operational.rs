//! What may be used now: the operational state that every dispatch reads at its newest.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::config::{Config, Host, Kind, Priority, ServerLimits, Service};
use super::placement;
use crate::ids::{DomainId, HostId, ServerId, ServiceId};
use crate::outcome::NotRunReason;

/// The configuration in force with what follows from it, as one immutable snapshot.
#[derive(Debug)]
pub struct Operational {
    /// The configuration in force.
    pub config: Arc<Config>,
    servers: HashMap<ServerId, ServerEntry>,
    ranks: Arc<Ranks>,
}

/// The rankings of all seats, which depend on the hosts alone.
#[derive(Debug)]
struct Ranks {
    candidates: HashMap<HostId, placement::HostList>,
    witnesses: HashMap<HostId, placement::HostList>,
}

/// What the dispatch gate knows of a backend server.
#[derive(Debug, Clone)]
pub struct ServerEntry {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// What the service's requests do.
    pub kind: Kind,
    /// The queue class of the service.
    pub priority: Priority,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// What it can bear.
    pub limits: ServerLimits,
    /// The seat that owns it.
    pub seat: HostId,
    /// Why it gets no new work, if so.
    pub closed: Option<NotRunReason>,
}

impl Operational {
    /// Derives the snapshot from a configuration and the platform's list of leaving servers.
    ///
    /// The list can only close a server; it never opens one.
    pub fn new(config: Arc<Config>, leaving: &HashSet<ServerId>) -> Self {
        let servers = Self::entries(&config, leaving);
        let ranks = Arc::new(Ranks::new(&config));
        Self { config, servers, ranks }
    }

    /// Derives the snapshot that follows this one; rankings are kept while the hosts are the same.
    #[must_use]
    pub fn next(&self, config: Arc<Config>, leaving: &HashSet<ServerId>) -> Self {
        let same = |a: &Host, b: &Host| a.id == b.id && a.domain == b.domain;
        let (old, new) = (&self.config.fleet.hosts, &config.fleet.hosts);
        let unmoved = old.len() == new.len() && old.iter().zip(new).all(|(a, b)| same(a, b));
        let servers = Self::entries(&config, leaving);
        let ranks = if unmoved { self.ranks.clone() } else { Arc::new(Ranks::new(&config)) };
        Self { config, servers, ranks }
    }

    fn entries(config: &Config, leaving: &HashSet<ServerId>) -> HashMap<ServerId, ServerEntry> {
        let mut servers = HashMap::new();
        for service in &config.services {
            for server in service.servers() {
                let Some(seat) = placement::seat_of(config, server) else {
                    continue;
                };
                let out = config.domain(&server.domain).is_none_or(|domain| domain.out);
                let closed = if out {
                    Some(NotRunReason::DomainOut)
                } else if server.leaving || leaving.contains(&server.id) {
                    Some(NotRunReason::ServerLeaving)
                } else {
                    None
                };
                servers.insert(server.id.clone(), Self::entry(service, server, seat, closed));
            }
        }
        servers
    }

    fn entry(
        service: &Service,
        server: &super::config::Server,
        seat: HostId,
        closed: Option<NotRunReason>,
    ) -> ServerEntry {
        ServerEntry {
            service: service.id.clone(),
            kind: service.kind,
            priority: service.priority,
            addr: server.addr,
            domain: server.domain.clone(),
            limits: service.limits.clone(),
            seat,
            closed,
        }
    }

    /// Returns what is known of a server, or `None` where it is no longer configured.
    pub fn server(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id)
    }

    /// Returns every server with its name.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerId, &ServerEntry)> {
        self.servers.iter()
    }

    /// The dispatch gate: tells whether a server may get new work now.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn gate(&self, server: &str) -> Result<&ServerEntry, NotRunReason> {
        let entry = self.servers.get(server).ok_or(NotRunReason::ServerLeaving)?;
        entry.closed.map_or(Ok(entry), Err)
    }

    /// Returns the hosts that may hold a seat, best first.
    pub fn candidates(&self, seat: &str) -> &[HostId] {
        self.ranks.candidates.get(seat).map_or(&[], |list| list.as_slice())
    }

    /// Returns the witnesses of a seat.
    pub fn witnesses(&self, seat: &str) -> &[HostId] {
        self.ranks.witnesses.get(seat).map_or(&[], |list| list.as_slice())
    }

    /// Tells whether operators let a host take part.
    pub fn host_is_in(&self, host: &Host) -> bool {
        !host.leaving && self.config.domain(&host.domain).is_some_and(|domain| !domain.out)
    }
}

impl Ranks {
    fn new(config: &Config) -> Self {
        let hosts = || config.fleet.hosts.iter().map(|host| &host.id);
        let rank = |f: fn(&Config, &str) -> placement::HostList| {
            hosts().map(|id| (id.clone(), f(config, id))).collect()
        };
        Self { candidates: rank(placement::candidates), witnesses: rank(placement::witnesses) }
    }
}
