//! A client for callers: asks for the entry hosts, caches the answer and sends requests to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::http_client::{Body, call, connect_over, get_request, json_request, read_body};
use crate::connection::caller_api::{EntryHosts, ErrorReply, Reply, Status};
use crate::connection::query::QueryBody;
use crate::error::{Error, Result};

const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time that a caller waits for the reply after the deadline.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Why a caller got no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum NoReply {
    /// No host could be connected to; the request was not sent.
    NotSent,
    /// The connection broke, or no reply came, after the request was sent.
    Lost,
    /// The request was malformed and refused.
    Refused(String),
}

/// A client that sends requests to entry hosts.
#[derive(Debug)]
pub struct Caller {
    seeds: Vec<SocketAddr>,
    cached_hosts: tokio::sync::Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>,
}

impl Caller {
    /// Creates a client with the hosts to ask for entry hosts first.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, cached_hosts: tokio::sync::Mutex::new(None), idle: Mutex::default() }
    }

    /// Asks a host for the entry hosts to use.
    ///
    /// # Errors
    ///
    /// Returns an error where the host can't be reached or answers with something unusable.
    pub async fn entry_hosts(addr: SocketAddr) -> Result<EntryHosts> {
        Ok(call(addr, get_request("/v1/entry-hosts"), LOOKUP_TIMEOUT).await?.1)
    }

    /// Asks a host for its status.
    ///
    /// # Errors
    ///
    /// Returns an error where the host can't be reached or answers with something unusable.
    pub async fn status(addr: SocketAddr) -> Result<Status> {
        Ok(call(addr, get_request("/v1/status"), LOOKUP_TIMEOUT).await?.1)
    }

    /// Returns whether a host accepts callers.
    pub async fn is_ready(addr: SocketAddr) -> bool {
        let ready = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            let mut sender = connect_over(stream).await.ok()?;
            let response = sender.send_request(get_request("/v1/ready")).await.ok()?;
            Some(response.status().is_success())
        };
        tokio::time::timeout(LOOKUP_TIMEOUT, ready).await.ok().flatten().unwrap_or(false)
    }

    /// Sends a request to the first entry host that accepts a connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply.
    pub async fn query(
        &self,
        service: &str,
        body: &QueryBody,
        deadline: Duration,
    ) -> Result<Reply, NoReply> {
        for addr in self.addresses().await {
            let Some(mut sender) = self.connection(addr).await else {
                continue;
            };
            let request = json_request(&format!("/v1/query/{service}"), body);
            let exchange = async {
                let response = sender.send_request(request).await.ok()?;
                let status = response.status();
                Some((status, read_body(response).await.ok()?))
            };
            let exchange = tokio::time::timeout(deadline + REPLY_GRACE, exchange).await;
            let Ok(Some((status, bytes))) = exchange else {
                return Err(NoReply::Lost);
            };
            self.return_connection(addr, sender);
            return match serde_json::from_slice::<Reply>(&bytes) {
                Ok(reply) => Ok(reply),
                Err(_) => Err(match serde_json::from_slice::<ErrorReply>(&bytes) {
                    Ok(fault) => NoReply::Refused(fault.error),
                    Err(_) => NoReply::Refused(format!("{status}: the reply can't be read")),
                }),
            };
        }
        Err(NoReply::NotSent)
    }

    /// Clears the cached entry hosts, so that the next request asks for them again.
    pub async fn clear_entry_hosts(&self) {
        *self.cached_hosts.lock().await = None;
    }

    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut cached = self.cached_hosts.lock().await;
        if let Some((until, list)) = &*cached
            && Instant::now() < *until
        {
            return list.clone();
        }
        let known = cached.as_ref().map(|(_, list)| list.clone()).unwrap_or_default();
        for addr in known.iter().chain(&self.seeds) {
            let asked = Instant::now();
            if let Ok(hosts) = Self::entry_hosts(*addr).await
                && !hosts.hosts.is_empty()
            {
                let list: Vec<SocketAddr> = hosts.hosts.iter().map(|host| host.addr).collect();
                let until = asked + Duration::from_millis(hosts.lifetime_ms);
                *cached = Some((until, list.clone()));
                return list;
            }
        }
        known
    }

    async fn connection(&self, addr: SocketAddr) -> Option<SendRequest<Body>> {
        loop {
            let idle = self
                .idle
                .lock()
                .expect("no holder of the lock panics")
                .get_mut(&addr)
                .and_then(Vec::pop);
            match idle {
                Some(sender) if !sender.is_closed() && sender.is_ready() => return Some(sender),
                Some(_) => {}
                None => break,
            }
        }
        let connect = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            connect_over(stream).await.ok()
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok().flatten()
    }

    fn return_connection(&self, addr: SocketAddr, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.entry(addr).or_default().push(sender);
    }
}

/// Asks hosts for the entry hosts in turn and returns the first answer.
///
/// # Errors
///
/// Returns the last host's error, or [`Error::Invalid`] if `addrs` is empty.
pub async fn first_entry_hosts(addrs: &[SocketAddr]) -> Result<EntryHosts> {
    let mut last = Error::invalid("--host", "missing", "name at least one entry host");
    for addr in addrs {
        match Caller::entry_hosts(*addr).await {
            Ok(hosts) => return Ok(hosts),
            Err(error) => last = error,
        }
    }
    Err(last)
}
