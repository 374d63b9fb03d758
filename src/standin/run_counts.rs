//! Counts of events at the stand-in backend servers, by which a run is checked.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{RequestId, ServerId, ShardId};

/// How long requests may still arrive at a server after operators take it out.
pub const OUT_GRACE: Duration = Duration::from_secs(3);

/// Counts of events over all backend servers of a run.
#[derive(Debug, Default)]
pub struct RunCounts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: u64,
    repeats: u64,
    ran: HashSet<(RequestId, ShardId)>,
    sheds: u64,
    cold_overloads: u64,
    connection_overloads: u64,
    after_out: u64,
    submits: HashMap<RequestId, u32>,
    out_since: HashMap<ServerId, Instant>,
}

/// Totals over all servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that ran, completely or in part.
    pub runs: u64,
    /// Runs of a request at a shard after its first run there.
    pub repeats: u64,
    /// Requests refused because of overload.
    pub sheds: u64,
    /// Requests that exceeded the limit of a cold server.
    pub cold_overloads: u64,
    /// Connections that exceeded the limit of a server.
    pub connection_overloads: u64,
    /// Requests that arrived at a server that had been out for longer than the grace period.
    pub after_out: u64,
}

impl RunCounts {
    /// Records that a request runs; a non-idempotent request takes effect now.
    pub fn on_run(&self, request: &RequestId, shard: ShardId, submit: bool) {
        let mut inner = self.lock();
        inner.runs += 1;
        if !inner.ran.insert((request.clone(), shard)) {
            inner.repeats += 1;
        }
        if submit {
            *inner.submits.entry(request.clone()).or_default() += 1;
        }
    }

    /// Records that a request was refused because of overload.
    pub fn on_shed(&self) {
        self.lock().sheds += 1;
    }

    /// Records that a request exceeded the limit of a cold server.
    pub fn on_cold_overload(&self) {
        self.lock().cold_overloads += 1;
    }

    /// Records that a connection exceeded the limit of a server.
    pub fn on_connection_overload(&self) {
        self.lock().connection_overloads += 1;
    }

    /// Records that a request arrived at a server.
    pub fn on_arrival(&self, server: &ServerId) {
        let mut inner = self.lock();
        let late = inner.out_since.get(server).is_some_and(|since| since.elapsed() > OUT_GRACE);
        if late {
            inner.after_out += 1;
        }
    }

    /// Records that operators took a server out, or brought it back.
    pub fn set_out(&self, server: &ServerId, out: bool) {
        let mut inner = self.lock();
        if out {
            inner.out_since.insert(server.clone(), Instant::now());
        } else {
            inner.out_since.remove(server);
        }
    }

    /// Returns how often a non-idempotent request took effect.
    pub fn executions(&self, request: &str) -> u32 {
        self.lock().submits.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of non-idempotent requests that took effect more than once.
    pub fn duplicate_submits(&self) -> u64 {
        self.lock().submits.values().filter(|count| **count > 1).count() as u64
    }

    /// Returns the totals so far.
    pub fn totals(&self) -> Totals {
        let inner = self.lock();
        Totals {
            runs: inner.runs,
            repeats: inner.repeats,
            sheds: inner.sheds,
            cold_overloads: inner.cold_overloads,
            connection_overloads: inner.connection_overloads,
            after_out: inner.after_out,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}
