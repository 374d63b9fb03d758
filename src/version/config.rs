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

/// The seed of every document hash; all hosts must use the same one.
const DOCUMENT_HASH_SEED: u64 = 0x7175_6574_7a61_6c01;

/// The name of the document that lists failure domains and hosts.
pub const FLEET_DOCUMENT: &str = "fleet";

data! {
    /// The small document that is watched; it names the others by hash.
    pub struct Manifest {
        /// The version, which only ever grows.
        pub version: ConfigVersion,
        /// The documents of this version.
        pub documents: Vec<DocumentRef>,
    }

    /// One document of a version.
    pub struct DocumentRef {
        /// The document's name.
        pub name: SmolStr,
        /// The hash of its content.
        pub hash: u64,
    }

    /// Failure domains, entry hosts and the timing they share.
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
        /// Set while operators have taken it out.
        pub out: bool,
    }

    /// An entry host.
    pub struct Host {
        /// Its name.
        pub id: HostId,
        /// The failure domain it stands in.
        pub domain: DomainId,
        /// Where callers reach it.
        pub caller_addr: SocketAddr,
        /// Where other hosts reach it.
        pub peer_addr: SocketAddr,
        /// Set while it is leaving.
        pub leaving: bool,
    }

    /// Times that all hosts must agree on.
    pub struct Timing {
        /// How often a host renews its lease at each witness.
        pub heartbeat_ms: u64,
        /// How long an acknowledgement holds.
        pub lease_ms: u64,
        /// How long callers may keep an address answer.
        pub address_lifetime_ms: u64,
        /// How long a leaving host serves beyond the address lifetime.
        pub leave_grace_ms: u64,
        /// How long the outcome of a non-idempotent request is remembered.
        pub record_ms: u64,
    }

    /// A query service over shards.
    pub struct Service {
        /// Its name.
        pub id: ServiceId,
        /// What its requests do.
        pub kind: Kind,
        /// Which queue class its requests take.
        pub priority: Priority,
        /// Whether a query waits for coverage or answers early.
        pub preference: Preference,
        /// The share of shards below which an early answer is not given, in thousandths.
        pub floor_permille: u32,
        /// The deadline where the caller names none.
        pub deadline_ms: u64,
        /// The most rows in an answer.
        pub row_limit: u32,
        /// The limits of each of its backend servers.
        pub limits: ServerLimits,
        /// The index version that new queries use.
        pub index_version: IndexVersion,
        /// The shard map of that index version.
        pub shards: Vec<Shard>,
    }

    /// What one backend server can bear.
    pub struct ServerLimits {
        /// Requests it runs at once.
        pub slots: u32,
        /// Connections it accepts.
        pub connections: u32,
        /// Requests it bears at once while cold.
        pub cold_start_limit: u32,
        /// The usual time of one request on a warm server.
        pub typical_ms: u64,
        /// The cost of a new connection.
        pub connect_ms: u64,
    }

    /// A shard and the servers that hold it.
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
        /// The failure domain it stands in.
        pub domain: DomainId,
        /// Where it listens.
        pub addr: SocketAddr,
        /// Set while it is leaving.
        pub leaving: bool,
    }

    /// One whole version of the configuration.
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
        /// Lists the best rows over all shards, merged in order.
        Listing,
        /// Looks a term up on all shards and returns every match.
        Lookup,
        /// Fetches one item by key from the shard that holds it.
        Fetch,
        /// Places an order; it is not idempotent.
        Submit,
    }

    /// A queue class; the first is served first.
    pub enum Priority {
        /// Safety and ordering.
        High,
        /// People waiting.
        Normal,
        /// Work that can wait.
        Low,
    }

    /// What a service prefers when shards are late.
    pub enum Preference {
        /// Waits until the deadline for missing shards.
        Coverage,
        /// Answers once the late shards are past their usual time and the floor is met.
        Latency,
    }
}

impl Kind {
    /// Tells whether a request may run more than once without harm.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Submit)
    }
}

impl Timing {
    /// Returns the lease as a duration.
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the heartbeat interval as a duration.
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
    /// Returns the service of a name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.id == id)
    }

    /// Returns the host of a name.
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.fleet.hosts.iter().find(|host| host.id == id)
    }

    /// Returns the failure domain of a name.
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

    /// Returns the documents of this version as their names and contents.
    pub fn documents(&self) -> Vec<(SmolStr, String)> {
        let fleet = (SmolStr::new_static(FLEET_DOCUMENT), to_json(&self.fleet));
        let services = self
            .services
            .iter()
            .map(|service| (SmolStr::new(format!("service-{}", service.id)), to_json(service)));
        std::iter::once(fleet).chain(services).collect()
    }

    /// Builds a version from its manifest and the documents that it names.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] where a document is missing, doesn't match its hash or can't
    /// be parsed.
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
        let fleet = fleet.ok_or_else(|| Error::malformed("manifest", "it names no fleet"))?;
        services.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(Self { version: manifest.version, fleet, services })
    }

    /// Returns a hash over all documents, equal only for equal content.
    pub fn content_hash(&self) -> u64 {
        let hashes: Vec<u8> =
            self.manifest().documents.iter().flat_map(|entry| entry.hash.to_le_bytes()).collect();
        stable_hash(DOCUMENT_HASH_SEED, &hashes)
    }
}

/// Returns the hash of a document, the same in every process and release.
pub fn document_hash(text: &str) -> u64 {
    stable_hash(DOCUMENT_HASH_SEED, text.as_bytes())
}

/// Hashes bytes with rapidhash version 3 under a seed; the value never changes between releases.
pub(crate) fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &RapidSecrets::seed_cpp(seed))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data always serializes")
}

fn parse_json<T: DeserializeOwned>(name: &str, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|e| Error::malformed(name, e))
}
