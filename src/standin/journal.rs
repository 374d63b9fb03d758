//! What the stand-ins saw, by which a run is judged.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{RequestId, ServerId, ShardId};

/// How long after operators take something out work may still arrive.
pub const OUT_GRACE: Duration = Duration::from_secs(3);

/// A shared record of events at the backend servers.
#[derive(Debug, Default)]
pub struct Journal {
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

/// The totals of a journal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that ran, whole or in part.
    pub runs: u64,
    /// Runs beyond the first of one shard of one request.
    pub repeats: u64,
    /// Requests refused because the server had too much.
    pub sheds: u64,
    /// Requests that arrived at a cold server beyond its limit.
    pub cold_overloads: u64,
    /// Connections that arrived beyond a server's limit.
    pub connection_overloads: u64,
    /// Requests that arrived at a server that had been out for longer than the grace.
    pub after_out: u64,
}

impl Journal {
    /// Notes that a request runs; a non-idempotent one has its effect now.
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

    /// Notes that a request was refused for load.
    pub fn on_shed(&self) {
        self.lock().sheds += 1;
    }

    /// Notes that a cold server got too much.
    pub fn on_cold_overload(&self) {
        self.lock().cold_overloads += 1;
    }

    /// Notes that a server got too many connections.
    pub fn on_connection_overload(&self) {
        self.lock().connection_overloads += 1;
    }

    /// Notes the arrival of work.
    pub fn on_arrival(&self, server: &ServerId) {
        let mut inner = self.lock();
        let late = inner.out_since.get(server).is_some_and(|since| since.elapsed() > OUT_GRACE);
        if late {
            inner.after_out += 1;
        }
    }

    /// Notes that operators took a server out, or brought it back.
    pub fn set_out(&self, server: &ServerId, out: bool) {
        let mut inner = self.lock();
        if out {
            inner.out_since.insert(server.clone(), Instant::now());
        } else {
            inner.out_since.remove(server);
        }
    }

    /// Returns how often a non-idempotent request had its effect.
    pub fn executions(&self, request: &str) -> u32 {
        self.lock().submits.get(request).copied().unwrap_or(0)
    }

    /// Returns how many requests had their effect more than once.
    pub fn duplicates(&self) -> u64 {
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
