//! A stand-in for the platform: its configuration service and its list of leaving servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::http_server::{Reply, accept, json, not_found, serve};
use crate::connection::platform::HostList;
use crate::error::{Error, Result};
use crate::version::config::{Config, Manifest};

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct PlatformServer {
    published: watch::Sender<Manifest>,
    documents: Mutex<HashMap<(String, u64), String>>,
    hosts: Mutex<HostList>,
    down: AtomicBool,
    calls: AtomicU64,
    stopped: CancellationToken,
}

impl PlatformServer {
    /// Starts the server and publishes an initial configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Address`] if the server can't listen on the address.
    pub async fn start(addr: SocketAddr, initial: &Config) -> Result<Arc<Self>> {
        let listener =
            TcpListener::bind(addr).await.map_err(|source| Error::Address { addr, source })?;
        let (published, _) = watch::channel(initial.manifest());
        let platform = Arc::new(Self {
            published,
            documents: Mutex::default(),
            hosts: Mutex::default(),
            down: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            stopped: CancellationToken::new(),
        });
        platform.publish(initial);
        tokio::spawn(platform.clone().accept(listener));
        Ok(platform)
    }

    /// Publishes a configuration version.
    pub fn publish(&self, config: &Config) {
        let manifest = config.manifest();
        {
            let mut documents = self.documents.lock().expect("no holder of the lock panics");
            for (entry, (name, text)) in manifest.documents.iter().zip(config.documents()) {
                documents.insert((name.to_string(), entry.hash), text);
            }
        }
        self.published.send_replace(manifest);
    }

    /// Makes the service refuse every call, or accept calls again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Sets the list of leaving hosts and servers.
    pub fn set_hosts(&self, hosts: HostList) {
        *self.hosts.lock().expect("no holder of the lock panics") = hosts;
    }

    /// Stops the stand-in for good.
    pub fn stop(&self) {
        self.stopped.cancel();
    }

    /// Returns the number of calls received; a long poll counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Some(stream) = accept(&listener, &self.stopped).await {
            let platform = self.clone();
            let closed = self.stopped.clone();
            tokio::spawn(async move {
                serve(stream, closed, |request| platform.handle(request)).await;
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::SeqCst) {
            return json(StatusCode::SERVICE_UNAVAILABLE, &"the service is down");
        }
        let path = request.uri().path().to_owned();
        if path == "/v1/manifest" {
            return self.manifest(request.uri().query().unwrap_or_default()).await;
        }
        if path == "/v1/hosts" {
            let hosts = self.hosts.lock().expect("no holder of the lock panics").clone();
            return json(StatusCode::OK, &hosts);
        }
        self.document(&path).unwrap_or_else(not_found)
    }

    async fn manifest(&self, query: &str) -> Reply {
        let number = |name: &str| {
            let value =
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms"));
        let mut published = self.published.subscribe();
        let newer = published.wait_for(|manifest| manifest.version > after);
        let _ = tokio::time::timeout(wait, newer).await;
        if self.down.load(Ordering::SeqCst) {
            return json(StatusCode::SERVICE_UNAVAILABLE, &"the service is down");
        }
        let manifest = self.published.borrow().clone();
        json(StatusCode::OK, &manifest)
    }

    fn document(&self, path: &str) -> Option<Reply> {
        let (name, hash) = path.strip_prefix("/v1/document/")?.split_once('/')?;
        let key = (name.to_owned(), hash.parse().ok()?);
        let documents = self.documents.lock().expect("no holder of the lock panics");
        documents.get(&key).map(|text| json(StatusCode::OK, text))
    }
}
