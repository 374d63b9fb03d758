//! The connection pool for backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::carried_requests::CarriedRequests;
use super::exchange::Exchange;
use crate::clock::Monotonic;
use crate::ids::ServerId;

/// A connection whose last reply is at most this old is assumed to be alive.
pub const ASSUMED_ALIVE_FOR: Duration = Duration::from_millis(700);

/// The idle timeout of all idle connections to a server but one. Servers count the connections of a
/// host that lost power until they notice, so few should be open.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct IdleConnection<L> {
    link: L,
    carried: CarriedRequests,
    since: Monotonic,
    usable_until: Monotonic,
}

#[derive(Debug)]
struct PerServer<L> {
    /// The address to which connections were last wanted.
    addr: Option<SocketAddr>,
    idle: Vec<IdleConnection<L>>,
    open: usize,
    /// A connection is not reused if its last exchange began before this.
    not_before: Monotonic,
}

impl<L> Default for PerServer<L> {
    fn default() -> Self {
        Self { addr: None, idle: Vec::new(), open: 0, not_before: Monotonic::ZERO }
    }
}

/// The connections of a host to all backend servers.
#[derive(Debug)]
pub struct ServerPool<L> {
    servers: Mutex<HashMap<ServerId, PerServer<L>>>,
}

impl<L> Default for ServerPool<L> {
    fn default() -> Self {
        Self { servers: Mutex::new(HashMap::new()) }
    }
}

impl<L> PerServer<L> {
    /// Closes all idle connections; connections in use are not reused.
    fn invalidate(&mut self, now: Monotonic) {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.clear();
        self.not_before = now;
    }
}

impl<L: Exchange> ServerPool<L> {
    /// Takes the most recently used idle connection that has been idle for at most `idle_for` and
    /// may carry `request`. A server may start again under its id at another address; connections
    /// to the earlier one are closed.
    pub fn take(
        self: &Arc<Self>,
        now: Monotonic,
        server: &ServerId,
        addr: SocketAddr,
        idle_for: Duration,
        request: &str,
    ) -> Option<(L, ConnectionPermit<L>)> {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        // The address must be known before the first connection is opened.
        let entry = servers.entry(server.clone()).or_default();
        if entry.addr.replace(addr).is_some_and(|known| known != addr) {
            entry.invalidate(now);
        }
        let before = entry.idle.len();
        entry.idle.retain(|idle| now < idle.usable_until);
        entry.open = entry.open.saturating_sub(before - entry.idle.len());
        let usable = |idle: &IdleConnection<L>| {
            now.saturating_sub(idle.since) <= idle_for && idle.carried.allows(request)
        };
        let newest = entry.idle.iter().rposition(usable)?;
        let IdleConnection { link, carried, .. } = entry.idle.remove(newest);
        Some((link, self.permit(server, carried)))
    }

    /// Reserves a permit for a new connection, or returns `None` if `limit` connections are in use.
    /// At the limit, the oldest idle connection is closed: the request did not take it because it
    /// had been idle for too long or had carried the same request.
    pub fn reserve(
        self: &Arc<Self>,
        server: &ServerId,
        limit: usize,
    ) -> Option<ConnectionPermit<L>> {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        let entry = servers.entry(server.clone()).or_default();
        if entry.open >= limit {
            if entry.idle.is_empty() {
                return None;
            }
            entry.idle.remove(0);
            entry.open = entry.open.saturating_sub(1);
        }
        entry.open += 1;
        Some(self.permit(server, CarriedRequests::default()))
    }

    fn permit(
        self: &Arc<Self>,
        server: &ServerId,
        carried: CarriedRequests,
    ) -> ConnectionPermit<L> {
        let (pool, server) = (self.clone(), server.clone());
        ConnectionPermit { pool, server, carried, returned: false }
    }

    /// Returns whether an idle connection is available or a new one may be opened.
    pub fn has_capacity(&self, server: &str, limit: usize) -> bool {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get(server).is_none_or(|entry| !entry.idle.is_empty() || entry.open < limit)
    }

    /// Closes all idle connections to a server after one of its connections went dead, because the
    /// others may be dead too. Connections in use are not reused.
    pub fn invalidate(&self, now: Monotonic, server: &str) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        if let Some(entry) = servers.get_mut(server) {
            entry.invalidate(now);
        }
    }

    /// Closes idle connections that are expired or not wanted by `keep`, and all but one of those
    /// that were not used for a while; removes servers without connections.
    pub fn sweep(&self, now: Monotonic, keep: impl Fn(&str) -> bool) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        for (server, entry) in servers.iter_mut() {
            let wanted = keep(server);
            let before = entry.idle.len();
            entry.idle.retain(|idle| wanted && now < idle.usable_until);
            let spare = entry.idle.len().saturating_sub(1);
            let mut at = 0;
            entry.idle.retain(|idle| {
                at += 1;
                at > spare || now.saturating_sub(idle.since) < SPARE_IDLE_TIMEOUT
            });
            entry.open = entry.open.saturating_sub(before - entry.idle.len());
        }
        servers.retain(|_, entry| entry.open > 0);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.values().map(|entry| entry.open).sum()
    }
}

/// A permit for one open connection in use. Dropping it frees the permit.
#[derive(Debug)]
pub struct ConnectionPermit<L: Exchange> {
    pool: Arc<ServerPool<L>>,
    server: ServerId,
    carried: CarriedRequests,
    returned: bool,
}

impl<L: Exchange> ConnectionPermit<L> {
    /// Records that the connection has carried a request that may be sent again.
    pub fn record_carried(&mut self, request: &str) {
        self.carried.record(request);
    }

    /// Returns the connection to the pool, to be reused within `idle`; `began_at` is when its last
    /// exchange began.
    pub fn return_to_pool(mut self, now: Monotonic, link: L, began_at: Monotonic, idle: Duration) {
        if self.carried.is_full() {
            return;
        }
        let pool = self.pool.clone();
        let mut servers = pool.servers.lock().expect("no holder of the lock panics");
        let entry = servers.entry(self.server.clone()).or_default();
        if began_at >= entry.not_before {
            self.returned = true;
            let carried = std::mem::take(&mut self.carried);
            let usable_until = now + idle;
            entry.idle.push(IdleConnection { link, carried, since: now, usable_until });
        }
        drop(servers);
    }
}

impl<L: Exchange> Drop for ConnectionPermit<L> {
    fn drop(&mut self) {
        if self.returned {
            return;
        }
        if let Ok(mut servers) = self.pool.servers.lock()
            && let Some(entry) = servers.get_mut(&self.server)
        {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}
