//! The configuration that operators publish and every host adopts.
//!
//! It is generated from a questionnaire; see `docs/CONFIGURATION.md`.

use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::derive::{data, key};
use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, DomainId, HostId, IndexVersion, ServerId, ServiceId, ShardId};

/// The seed of every document hash. All hosts must use the same seed.
const DOCUMENT_HASH_SEED: u64 = 0x7175_6574_7a61_6c01;

/// The name of the document that lists failure domains and hosts.
pub const FLEET_DOCUMENT: &str = "fleet";

data! {
    /// The small document that hosts watch. It lists the other documents with their hashes.
    pub struct Manifest {
        /// The version. A newer version has a higher number.
        pub version: ConfigVersion,
        /// The documents of this version.
        pub documents: Vec<DocumentRef>,
    }

    /// A reference to one document of a version.
    pub struct DocumentRef {
        /// The document's name.
        pub name: SmolStr,
        /// The hash of its content.
        pub hash: u64,
    }

    /// The failure domains, the entry hosts and their common timing.
    pub struct Fleet {
        /// The deployment's name.
        pub deployment: SmolStr,
        /// All failure domains.
        pub domains: Vec<Domain>,
        /// All entry hosts.
        pub hosts: Vec<Host>,
        /// The timing of leases and address answers.
        pub timing: Timing,
    }

    /// A failure domain.
    pub struct Domain {
        /// Its name.
        pub id: DomainId,
        /// Whether operators have taken it out of service.
        pub out: bool,
    }

    /// An entry host.
    pub struct Host {
        /// Its name.
        pub id: HostId,
        /// Its failure domain.
        pub domain: DomainId,
        /// The address for callers.
        pub caller_addr: SocketAddr,
        /// The address for other hosts.
        pub peer_addr: SocketAddr,
        /// Whether it is being taken out of service.
        pub leaving: bool,
    }

    /// Intervals and timeouts that must be the same on all hosts.
    pub struct Timing {
        /// The interval at which a host renews its lease at each witness.
        pub heartbeat_ms: u64,
        /// How long a witness's acknowledgement of a lease is valid.
        pub lease_ms: u64,
        /// How long callers may cache the addresses of the entry hosts.
        pub address_lifetime_ms: u64,
        /// How long a draining host continues to serve after the address lifetime.
        pub leave_grace_ms: u64,
        /// How long the outcome of a non-idempotent request is stored.
        pub record_ms: u64,
    }

    /// A sharded query service.
    pub struct Service {
        /// Its name.
        pub id: ServiceId,
        /// What its requests do.
        pub kind: Kind,
        /// The queue class of its requests.
        pub priority: Priority,
        /// Whether a query waits for late shards or returns a partial answer early.
        pub preference: Preference,
        /// The minimum coverage of an early answer, in thousandths of the shards.
        pub floor_permille: u32,
        /// The deadline if the caller sends none.
        pub deadline_ms: u64,
        /// The maximum number of rows in an answer.
        pub row_limit: u32,
        /// The limits of each of its backend servers.
        pub limits: ServerLimits,
        /// The index version that new queries use.
        pub index_version: IndexVersion,
        /// The shard map of that index version.
        pub shards: Vec<Shard>,
    }

    /// The capacity of one backend server.
    pub struct ServerLimits {
        /// The number of requests that it runs concurrently.
        pub slots: u32,
        /// The number of connections that it accepts.
        pub connections: u32,
        /// The number of concurrent requests that it can handle while cold.
        pub cold_start_limit: u32,
        /// The typical duration of one request on a warm server.
        pub typical_ms: u64,
        /// The time that it takes to open a connection.
        pub connect_ms: u64,
    }

    /// A shard and its replicas.
    pub struct Shard {
        /// Its number.
        pub id: ShardId,
        /// Its replicas.
        pub servers: Vec<Server>,
    }

    /// A backend server.
    pub struct Server {
        /// Its name.
        pub id: ServerId,
        /// Its failure domain.
        pub domain: DomainId,
        /// The address that it listens on.
        pub addr: SocketAddr,
        /// Whether it is being taken out of service.
        pub leaving: bool,
    }

    /// One complete version of the configuration.
    pub struct Config {
        /// The version.
        pub version: ConfigVersion,
        /// The fleet document.
        pub fleet: Fleet,
        /// The service documents, ordered by name.
        pub services: Vec<Service>,
    }
}

key! {
    /// What a service's requests do.
    pub enum Kind {
        /// Returns the best rows of all shards, merged in order.
        Listing,
        /// Looks a term up on all shards and returns every match.
        Lookup,
        /// Fetches one item by key from the shard that holds it.
        Fetch,
        /// Places an order; it is not idempotent.
        Submit,
    }

    /// A queue class. Classes are listed from the most to the least urgent.
    pub enum Priority {
        /// Requests on which safety depends, and orders.
        High,
        /// Interactive requests.
        Normal,
        /// Background requests.
        Low,
    }

    /// Whether a service prefers coverage or latency when shards are late.
    pub enum Preference {
        /// Waits for missing shards until the deadline.
        Coverage,
        /// Answers once the late shards have exceeded their typical time and the coverage floor is
        /// met.
        Latency,
    }
}

impl Kind {
    /// Returns whether a request may safely run more than once.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Submit)
    }
}

impl Timing {
    /// Returns the duration of a lease.
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the heartbeat interval.
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}

impl Service {
    /// Returns every backend server of the service.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.shards.iter().flat_map(|shard| &shard.servers)
    }

    /// Returns the shard that holds a key.
    pub fn shard_of(&self, key: &str) -> Option<&Shard> {
        let count = u64::try_from(self.shards.len()).ok()?;
        let hash = stable_hash(DOCUMENT_HASH_SEED, key.as_bytes());
        self.shards.get(usize::try_from(hash.checked_rem(count)?).ok()?)
    }
}

impl Config {
    /// Returns the service with the given name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.id == id)
    }

    /// Returns the host with the given name.
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.fleet.hosts.iter().find(|host| host.id == id)
    }

    /// Returns the failure domain with the given name.
    pub fn domain(&self, id: &str) -> Option<&Domain> {
        self.fleet.domains.iter().find(|domain| domain.id == id)
    }

    /// Returns the manifest of this version.
    pub fn manifest(&self) -> Manifest {
        let documents = self
            .documents()
            .into_iter()
            .map(|(name, text)| DocumentRef { name, hash: document_hash(&text) })
            .collect();
        Manifest { version: self.version, documents }
    }

    /// Returns the names and contents of this version's documents.
    pub fn documents(&self) -> Vec<(SmolStr, String)> {
        let fleet = (SmolStr::new_static(FLEET_DOCUMENT), to_json(&self.fleet));
        let services = self
            .services
            .iter()
            .map(|service| (SmolStr::new(format!("service-{}", service.id)), to_json(service)));
        std::iter::once(fleet).chain(services).collect()
    }

    /// Builds a version from its manifest and the documents listed in it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if a document is missing, doesn't match its hash or can't be
    /// parsed.
    pub fn from_documents(
        manifest: &Manifest,
        document: impl Fn(&DocumentRef) -> Option<String>,
    ) -> Result<Self> {
        let mut fleet = None;
        let mut services = Vec::new();
        for entry in &manifest.documents {
            let text = document(entry)
                .ok_or_else(|| Error::malformed(entry.name.as_str(), "the document is missing"))?;
            if document_hash(&text) != entry.hash {
                let why = "its content doesn't match the hash in the manifest";
                return Err(Error::malformed(entry.name.as_str(), why));
            }
            if entry.name == FLEET_DOCUMENT {
                fleet = Some(parse_json(&entry.name, &text)?);
            } else {
                services.push(parse_json::<Service>(&entry.name, &text)?);
            }
        }
        let fleet =
            fleet.ok_or_else(|| Error::malformed("manifest", "it lists no fleet document"))?;
        services.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(Self { version: manifest.version, fleet, services })
    }

    /// Returns a hash of all documents. It is equal only for equal content.
    pub fn content_hash(&self) -> u64 {
        let hashes: Vec<u8> =
            self.manifest().documents.iter().flat_map(|entry| entry.hash.to_le_bytes()).collect();
        stable_hash(DOCUMENT_HASH_SEED, &hashes)
    }
}

/// Returns the hash of a document, which is the same in every process and release.
pub fn document_hash(text: &str) -> u64 {
    stable_hash(DOCUMENT_HASH_SEED, text.as_bytes())
}

/// Hashes bytes with rapidhash version 3 and a seed. The result must not change between releases.
pub(crate) fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &RapidSecrets::seed_cpp(seed))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data always serializes")
}

fn parse_json<T: DeserializeOwned>(name: &str, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|e| Error::malformed(name, e))
}
