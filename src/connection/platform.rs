//! A read-only client for the platform's configuration service and host list.

use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::http_client::{call, get_request};
use crate::derive::data;
use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, HostId, ServerId};
use crate::version::config::{Config, DocumentRef, Manifest};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The long-poll timeout of a watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);

data! {
    /// The platform's list of hosts and backend servers that are leaving; it may be out of date.
    #[derive(Default)]
    pub struct HostList {
        /// Entry hosts that are leaving.
        pub leaving_hosts: Vec<HostId>,
        /// Backend servers that are leaving.
        pub leaving_servers: Vec<ServerId>,
    }
}

/// A client for the platform.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    addr: SocketAddr,
}

impl Platform {
    /// Creates a client for the service at an address.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Waits until the service has a version above `after`, or until the timeout, and returns the
    /// manifest of its current version.
    ///
    /// # Errors
    ///
    /// Returns an error where the service can't be reached or answers with something unusable.
    pub async fn watch(&self, after: ConfigVersion, wait: Duration) -> Result<Manifest> {
        let path = format!("/v1/manifest?after={after}&wait_ms={}", wait.as_millis());
        let (_, manifest) = call(self.addr, get_request(&path), wait + CALL_TIMEOUT).await?;
        Ok(manifest)
    }

    /// Returns the configuration of a manifest; fetches only the documents that differ from `held`.
    ///
    /// # Errors
    ///
    /// Returns an error where a document can't be fetched or doesn't match its hash.
    pub async fn fetch(&self, manifest: &Manifest, held: Option<&Config>) -> Result<Config> {
        let held = held.map(Config::documents).unwrap_or_default();
        let mut documents = Vec::new();
        for entry in &manifest.documents {
            let same = |text: &String| crate::version::config::document_hash(text) == entry.hash;
            let known = held.iter().find(|(name, text)| *name == entry.name && same(text));
            let text = match known {
                Some((_, text)) => text.clone(),
                None => self.document(entry).await?,
            };
            documents.push((entry.name.clone(), text));
        }
        Config::from_documents(manifest, |entry| {
            documents.iter().find(|(name, _)| *name == entry.name).map(|(_, text)| text.clone())
        })
    }

    /// Returns the list of leaving hosts and servers.
    ///
    /// # Errors
    ///
    /// Returns an error where the service can't be reached or answers with something unusable.
    pub async fn hosts(&self) -> Result<HostList> {
        let (_, list) = call(self.addr, get_request("/v1/hosts"), CALL_TIMEOUT).await?;
        Ok(list)
    }

    async fn document(&self, entry: &DocumentRef) -> Result<String> {
        let path = format!("/v1/document/{}/{}", entry.name, entry.hash);
        let (status, text) = call(self.addr, get_request(&path), CALL_TIMEOUT).await?;
        if status.is_success() {
            return Ok(text);
        }
        Err(Error::Remote { addr: self.addr, why: format!("{status} for {}", entry.name) })
    }
}
