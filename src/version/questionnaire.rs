//! The operators' answers to the questionnaire and the configuration generated from them.

use std::net::{IpAddr, SocketAddr};

use smol_str::{SmolStr, format_smolstr};

use super::config::{
    Config, Domain, Fleet, Host, Kind, Preference, Priority, Server, ServerLimits, Service, Shard,
    Timing,
};
use crate::derive::data;
use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, DomainId, IndexVersion, ServiceId};

const DEFAULT_HEARTBEAT_MS: u64 = 250;
const DEFAULT_LEASE_MS: u64 = 1_500;
const DEFAULT_ADDRESS_LIFETIME_MS: u64 = 3_000;
const DEFAULT_LEAVE_GRACE_MS: u64 = 1_000;
const DEFAULT_RECORD_MS: u64 = 600_000;
const DEFAULT_ROW_LIMIT: u32 = 20;
const MAX_PORTS: usize = 20_000;

data! {
    /// The answers to the questionnaire, as written in a TOML file.
    #[serde(deny_unknown_fields)]
    pub struct Questionnaire {
        /// Which deployment is this?
        pub deployment: SmolStr,
        /// Which failure domains do you have?
        pub domains: Vec<DomainId>,
        /// How often does a host renew its lease, in milliseconds?
        #[serde(default = "default_heartbeat_ms")]
        pub heartbeat_ms: u64,
        /// How long does a lease last, in milliseconds?
        #[serde(default = "default_lease_ms")]
        pub lease_ms: u64,
        /// How many entry hosts are there, and where do they listen?
        pub entry_hosts: EntryHosts,
        /// Which query services do you want?
        pub services: Vec<ServiceAnswers>,
    }

    /// The addresses of the entry hosts, which are distributed over the failure domains in turn.
    #[serde(deny_unknown_fields)]
    pub struct EntryHosts {
        /// What are their IP addresses, in order? Hosts that share an address get consecutive
        /// ports.
        pub addresses: Vec<IpAddr>,
        /// How many are there?
        pub count: usize,
        /// What is the first port for callers?
        pub caller_port: u16,
        /// What is the first port for other hosts?
        pub peer_port: u16,
    }

    /// The answers for one service.
    #[serde(deny_unknown_fields)]
    pub struct ServiceAnswers {
        /// What is it called?
        pub name: ServiceId,
        /// What do its requests do?
        pub kind: Kind,
        /// How urgent are they?
        pub priority: Priority,
        /// Is a complete answer or an early answer preferred?
        pub prefer: Preference,
        /// What is the minimum coverage of an early answer, in percent of the shards?
        #[serde(default)]
        pub coverage_floor_percent: u32,
        /// What is the deadline if the caller sends none, in milliseconds?
        pub deadline_ms: u64,
        /// What is the maximum number of rows in an answer?
        #[serde(default = "default_row_limit")]
        pub row_limit: u32,
        /// How many shards does it have?
        pub shards: u32,
        /// How many replicas does each shard have?
        pub replicas: u32,
        /// How many requests does a server run concurrently?
        pub slots: u32,
        /// How many connections does a server accept?
        pub connections: u32,
        /// How many concurrent requests can a cold server handle?
        pub cold_start_limit: u32,
        /// How long does a request typically take on a warm server, in milliseconds?
        pub typical_ms: u64,
        /// How long does it take to open a connection, in milliseconds?
        pub connect_ms: u64,
        /// At which IP addresses do the servers listen?
        pub server_addresses: Vec<IpAddr>,
        /// What is the first server port?
        pub server_port: u16,
        /// Which index version is current?
        #[serde(default = "default_index_version")]
        pub index_version: IndexVersion,
    }
}

const fn default_heartbeat_ms() -> u64 {
    DEFAULT_HEARTBEAT_MS
}

const fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

const fn default_row_limit() -> u32 {
    DEFAULT_ROW_LIMIT
}

const fn default_index_version() -> IndexVersion {
    1
}

impl Questionnaire {
    /// Parses the answers from TOML.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] with the position of the first error.
    pub fn from_toml(text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|e| Error::malformed("the answers file", e))
    }

    /// Generates a version of the configuration and validates it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] for an invalid answer.
    pub fn generate(&self, version: ConfigVersion) -> Result<Config> {
        if self.domains.is_empty() {
            return Err(Error::invalid("domains", "empty", "list at least one failure domain"));
        }
        let mut services = self
            .services
            .iter()
            .map(|answers| self.service(answers))
            .collect::<Result<Vec<_>>>()?;
        services.sort_by(|a, b| a.id.cmp(&b.id));
        let config = Config { version, fleet: self.fleet()?, services };
        super::check::check(&config)?;
        Ok(config)
    }

    fn fleet(&self) -> Result<Fleet> {
        let domains = self.domains.iter().map(|id| Domain { id: id.clone(), out: false }).collect();
        let entry = &self.entry_hosts;
        let callers =
            addresses("entry_hosts.caller_port", &entry.addresses, entry.caller_port, entry.count)?;
        let peers =
            addresses("entry_hosts.peer_port", &entry.addresses, entry.peer_port, entry.count)?;
        let hosts = callers
            .into_iter()
            .zip(peers)
            .enumerate()
            .map(|(n, (caller_addr, peer_addr))| Host {
                id: format_smolstr!("entry-{}", n + 1),
                domain: self.domains[n % self.domains.len()].clone(),
                caller_addr,
                peer_addr,
                leaving: false,
            })
            .collect();
        let timing = Timing {
            heartbeat_ms: self.heartbeat_ms,
            lease_ms: self.lease_ms,
            address_lifetime_ms: DEFAULT_ADDRESS_LIFETIME_MS,
            leave_grace_ms: DEFAULT_LEAVE_GRACE_MS,
            record_ms: DEFAULT_RECORD_MS,
        };
        Ok(Fleet { deployment: self.deployment.clone(), domains, hosts, timing })
    }

    fn service(&self, answers: &ServiceAnswers) -> Result<Service> {
        let field = |name: &str| format!("services.{}.{name}", answers.name);
        let replicas = answers.replicas as usize;
        let total = (answers.shards as usize).saturating_mul(replicas);
        if total == 0 {
            let remedy = "configure at least one shard and one replica";
            return Err(Error::invalid(field("shards"), answers.shards, remedy));
        }
        let addrs = addresses(
            &field("server_port"),
            &answers.server_addresses,
            answers.server_port,
            total,
        )?;
        let shards = addrs
            .chunks(replicas)
            .zip(0..)
            .map(|(chunk, id)| Shard { id, servers: self.replicas(answers, id, chunk) })
            .collect();
        Ok(Service {
            id: answers.name.clone(),
            kind: answers.kind,
            priority: answers.priority,
            preference: answers.prefer,
            floor_permille: answers.coverage_floor_percent.saturating_mul(10),
            deadline_ms: answers.deadline_ms,
            row_limit: answers.row_limit,
            limits: ServerLimits {
                slots: answers.slots,
                connections: answers.connections,
                cold_start_limit: answers.cold_start_limit,
                typical_ms: answers.typical_ms,
                connect_ms: answers.connect_ms,
            },
            index_version: answers.index_version,
            shards,
        })
    }

    /// Distributes the replicas of a shard over the failure domains. Each shard starts at another
    /// domain, so that the domains get equal load.
    fn replicas(&self, answers: &ServiceAnswers, shard: u32, addrs: &[SocketAddr]) -> Vec<Server> {
        addrs
            .iter()
            .enumerate()
            .map(|(n, addr)| Server {
                id: format_smolstr!("{}-{shard}-{n}", answers.name),
                domain: self.domains[(shard as usize + n) % self.domains.len()].clone(),
                addr: *addr,
                leaving: false,
            })
            .collect()
    }
}

/// Assigns socket addresses over the IP addresses in turn, with consecutive ports from `port`.
fn addresses(field: &str, ips: &[IpAddr], port: u16, count: usize) -> Result<Vec<SocketAddr>> {
    if ips.is_empty() {
        return Err(Error::invalid(field, "without an address", "list at least one IP address"));
    }
    if count > MAX_PORTS {
        return Err(Error::invalid(field, count, format!("use at most {MAX_PORTS} ports")));
    }
    (0..count)
        .map(|n| {
            let step = u16::try_from(n / ips.len()).unwrap_or(u16::MAX);
            let port = port.checked_add(step).ok_or_else(|| {
                Error::invalid(
                    field,
                    port,
                    format!("choose a lower port, so that {count} ports fit below 65536"),
                )
            })?;
            Ok(SocketAddr::new(ips[n % ips.len()], port))
        })
        .collect()
}

#[cfg(test)]
mod tests;
