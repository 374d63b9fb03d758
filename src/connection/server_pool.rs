//! Idle connections to backend servers, and how many are open.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::exchange::Exchange;
use crate::clock::Monotonic;
use crate::ids::ServerId;

/// A connection on which a reply came this lately is taken to be alive.
pub const SURELY_ALIVE: Duration = Duration::from_millis(700);

/// A second idle connection to a server is closed when it was not needed for this long; servers
/// count the connections of hosts that lost power until they notice, so few should be open.
const SPARE_FOR: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct IdleLink<L> {
    link: L,
    since: Monotonic,
    usable_until: Monotonic,
}

#[derive(Debug)]
struct PerServer<L> {
    idle: Vec<IdleLink<L>>,
    open: usize,
    /// Connections older than this are not used again.
    not_before: Monotonic,
}

impl<L> Default for PerServer<L> {
    fn default() -> Self {
        Self { idle: Vec::new(), open: 0, not_before: Monotonic::ZERO }
    }
}

/// All connections of a host to backend servers.
#[derive(Debug)]
pub struct ServerPool<L> {
    servers: Mutex<HashMap<ServerId, PerServer<L>>>,
}

impl<L> Default for ServerPool<L> {
    fn default() -> Self {
        Self { servers: Mutex::new(HashMap::new()) }
    }
}

impl<L: Exchange> ServerPool<L> {
    /// Takes the idle connection that was used last, if its last reply is at most `idle_for` ago.
    pub fn take(&self, now: Monotonic, server: &str, idle_for: Duration) -> Option<L> {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        let entry = servers.get_mut(server)?;
        let before = entry.idle.len();
        entry.idle.retain(|idle| now < idle.usable_until);
        entry.open = entry.open.saturating_sub(before - entry.idle.len());
        let newest = entry.idle.last()?;
        if now.saturating_sub(newest.since) > idle_for {
            return None;
        }
        entry.idle.pop().map(|idle| idle.link)
    }

    /// Counts a connection that is about to be opened, unless `limit` are in use. An idle one that
    /// was not taken makes room, since its holder did not trust it with this request.
    pub fn reserve(self: &Arc<Self>, server: &ServerId, limit: usize) -> Option<Slot<L>> {
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
        Some(Slot { pool: self.clone(), server: server.clone(), kept: false })
    }

    /// Tells whether an attempt would find a connection or may open one.
    pub fn has_room(&self, server: &str, limit: usize) -> bool {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get(server).is_none_or(|entry| !entry.idle.is_empty() || entry.open < limit)
    }

    /// Closes idle connections to a server that was silent: the others may be silent too.
    pub fn distrust(&self, now: Monotonic, server: &str) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        if let Some(entry) = servers.get_mut(server) {
            entry.open = entry.open.saturating_sub(entry.idle.len());
            entry.idle.clear();
            entry.not_before = now;
        }
    }

    /// Closes connections that may not be used any more, and all but one of those that were not
    /// needed for a while; forgets servers without any.
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
                at > spare || now.saturating_sub(idle.since) < SPARE_FOR
            });
            entry.open = entry.open.saturating_sub(before - entry.idle.len());
        }
        servers.retain(|_, entry| entry.open > 0);
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.values().map(|entry| entry.open).sum()
    }
}

/// The count of one open connection that is in use; it ends when it is dropped.
#[derive(Debug)]
pub struct Slot<L: Exchange> {
    pool: Arc<ServerPool<L>>,
    server: ServerId,
    kept: bool,
}

impl<L: Exchange> Slot<L> {
    /// Takes over the count of a connection that came from [`ServerPool::take`].
    pub fn of_taken(pool: &Arc<ServerPool<L>>, server: &ServerId) -> Self {
        Self { pool: pool.clone(), server: server.clone(), kept: false }
    }

    /// Gives the connection back, to be used again within `idle`; `began_at` is when its last
    /// exchange began.
    pub fn give_back(mut self, now: Monotonic, link: L, began_at: Monotonic, idle: Duration) {
        let pool = self.pool.clone();
        let mut servers = pool.servers.lock().expect("no holder of the lock panics");
        let entry = servers.entry(self.server.clone()).or_default();
        if began_at >= entry.not_before {
            self.kept = true;
            entry.idle.push(IdleLink { link, since: now, usable_until: now + idle });
        }
        drop(servers);
    }
}

impl<L: Exchange> Drop for Slot<L> {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        if let Ok(mut servers) = self.pool.servers.lock()
            && let Some(entry) = servers.get_mut(&self.server)
        {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}
