//! Connections to other hosts, opened on first use.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tarpc::client::RpcError;
use tarpc::context::Context as CallContext;
use tarpc::serde_transport::Transport;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use super::network_faults::NetworkFaults;
use super::peer::{Hello, HelloRefusal, MAX_FRAME_BYTES, PROTOCOL_VERSION, PeerClient, Postcard};
use crate::clock::{Clock, Monotonic, PeerOffset};
use crate::ids::{DomainId, HostId};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay after a failed connection attempt before the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
const MAX_CALLS_IN_FLIGHT: usize = 10_000;

/// Why a call returned no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The call was not sent.
    NotSent,
    /// The call was sent and may have arrived.
    Lost,
}

/// The identity and address of a peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerAddress {
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) addr: SocketAddr,
}

/// The identity of this host, as sent to its peers.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) deployment: SmolStr,
}

/// The connections of a host to all its peers.
#[derive(Debug)]
pub(crate) struct PeerPool {
    me: Identity,
    clock: Clock,
    network_faults: Arc<NetworkFaults>,
    peers: Mutex<HashMap<HostId, Arc<Peer>>>,
}

#[derive(Debug, Default)]
struct Peer {
    client: tokio::sync::Mutex<Option<(SocketAddr, PeerClient)>>,
    offset: Mutex<PeerOffset>,
    retry_at: Mutex<Monotonic>,
}

impl PeerPool {
    pub(crate) fn new(me: Identity, clock: Clock, network_faults: Arc<NetworkFaults>) -> Self {
        Self { me, clock, network_faults, peers: Mutex::new(HashMap::new()) }
    }

    /// Calls a peer and waits at most `timeout` for the result.
    pub(crate) async fn call<T, F>(
        &self,
        to: &PeerAddress,
        timeout: Duration,
        call: impl FnOnce(PeerClient, CallContext) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let peer = self.peer(&to.host);
        let mut sent = false;
        let exchange = async {
            let client = self.client(&peer, to).await.ok_or(CallError::NotSent)?;
            if !self.network_faults.transmit(&self.me.domain, &to.domain).await {
                sent = true;
                return std::future::pending().await;
            }
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + timeout;
            sent = true;
            let result = call(client, context).await;
            if !self.network_faults.transmit(&to.domain, &self.me.domain).await {
                return std::future::pending().await;
            }
            result.map_err(|_| CallError::Lost)
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        match result {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => {
                if error == CallError::Lost {
                    *peer.client.lock().await = None;
                }
                Err(error)
            }
            Err(_) if sent => Err(CallError::Lost),
            Err(_) => Err(CallError::NotSent),
        }
    }

    /// Converts a deadline to a peer's clock; connects first if the clock offset is unknown.
    pub(crate) async fn deadline_at(&self, to: &PeerAddress, deadline: Monotonic) -> Option<u64> {
        let peer = self.peer(&to.host);
        let known = peer.offset.lock().expect("no holder of the lock panics").to_peer_us(deadline);
        if known.is_some() {
            return known;
        }
        tokio::time::timeout(CONNECT_TIMEOUT, self.client(&peer, to)).await.ok()??;
        peer.offset.lock().expect("no holder of the lock panics").to_peer_us(deadline)
    }

    /// Updates the clock offset with a reading of a peer's clock.
    pub(crate) fn observe_clock(&self, host: &HostId, clock_us: u64) {
        let now = self.clock.now();
        let peer = self.peer(host);
        peer.offset.lock().expect("no holder of the lock panics").observe(clock_us, now);
    }

    fn peer(&self, host: &HostId) -> Arc<Peer> {
        let mut peers = self.peers.lock().expect("no holder of the lock panics");
        peers.entry(host.clone()).or_default().clone()
    }

    async fn client(&self, peer: &Peer, to: &PeerAddress) -> Option<PeerClient> {
        let mut slot = peer.client.lock().await;
        if let Some((addr, client)) = &*slot
            && *addr == to.addr
        {
            return Some(client.clone());
        }
        if self.clock.now() < *peer.retry_at.lock().expect("no holder of the lock panics") {
            return None;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(peer, to)).await;
        let client = connected.ok().flatten();
        match &client {
            Some(client) => *slot = Some((to.addr, client.clone())),
            None => {
                let retry_at = self.clock.now() + RECONNECT_DELAY;
                *peer.retry_at.lock().expect("no holder of the lock panics") = retry_at;
            }
        }
        client
    }

    async fn connect(&self, peer: &Peer, to: &PeerAddress) -> Option<PeerClient> {
        if !self.network_faults.is_reachable(&self.me.domain, &to.domain) {
            return std::future::pending().await;
        }
        let client = dial(to.addr).await?;
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            deployment: self.me.deployment.clone(),
            host: self.me.host.clone(),
        };
        let reply = client.hello(tarpc::context::current(), hello).await.ok()?;
        match reply {
            Ok(reply) if reply.host == to.host => {
                // The connection may lead to a new incarnation of the peer, whose clock differs.
                let mut offset = peer.offset.lock().expect("no holder of the lock panics");
                *offset = PeerOffset::default();
                offset.observe(reply.clock_us, self.clock.now());
                Some(client)
            }
            Ok(reply) => {
                tracing::warn!(wanted = %to.host, found = %reply.host, addr = %to.addr, "connected to another host than expected");
                None
            }
            Err(HelloRefusal::NotReady) => None,
            Err(refusal) => {
                tracing::warn!(host = %to.host, ?refusal, "the host refused the handshake");
                None
            }
        }
    }
}

/// Connects to a host without a handshake.
pub(crate) async fn dial(addr: SocketAddr) -> Option<PeerClient> {
    let stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport: Transport<_, _, _, Postcard> = tarpc::serde_transport::new(framed, Postcard);
    let mut config = tarpc::client::Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = MAX_CALLS_IN_FLIGHT;
    Some(PeerClient::new(config, transport).spawn())
}
