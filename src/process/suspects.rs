//! The requests that may have crashed servers, as all requests on a host share them.

use std::fmt::Display;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard};

use smol_str::format_smolstr;
use tokio::sync::Notify;

use super::metrics::Metrics;
use super::quarantine::{Fingerprint, Quarantine, RunId, SuspectChange, SuspectReport};
use crate::clock::{Monotonic, millis};
use crate::ids::ServerId;

/// The requests that may have crashed servers, and a notification of their changes.
#[derive(Debug)]
pub struct Suspects {
    quarantine: Mutex<Quarantine>,
    /// Notified when other hosts must learn of a change.
    changed: Notify,
    metrics: Arc<Metrics>,
}

impl Suspects {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self { quarantine: Mutex::default(), changed: Notify::new(), metrics }
    }

    /// Locks and returns what is known of these requests.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no holder of the lock panics")
    }

    /// Waits until other hosts must learn of a change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Handles the crash of a server while a request was running.
    pub fn on_crash(
        &self,
        now: Monotonic,
        server: &ServerId,
        fingerprint: Fingerprint,
        run: RunId,
    ) {
        let change = self.quarantine().on_crash(now, server, fingerprint, run);
        self.on_change(fingerprint, change, server);
        if change.is_some() {
            self.changed.notify_one();
        }
    }

    /// Handles a server's reply to a request.
    pub fn on_answered(&self, now: Monotonic, server: &ServerId, fingerprint: Fingerprint) {
        let change = self.quarantine().on_answered(now, fingerprint);
        self.on_change(fingerprint, change, server);
        if change.is_some() {
            self.changed.notify_one();
        }
    }

    /// Begins the run of a suspect, if the request is one.
    pub fn begin_trial(&self, now: Monotonic, fingerprint: Fingerprint) -> bool {
        let begun = self.quarantine().begin_trial(now, fingerprint);
        if begun {
            self.changed.notify_one();
        }
        begun
    }

    /// Handles reports of another host.
    pub fn on_reports(&self, now: Monotonic, from: Ipv4Addr, reports: &[SuspectReport]) {
        for report in reports {
            let change = self.quarantine().on_report(now, report);
            self.on_change(report.fingerprint, change, &from);
        }
    }

    fn on_change(
        &self,
        fingerprint: Fingerprint,
        change: Option<SuspectChange>,
        source: &dyn Display,
    ) {
        let fingerprint = format_smolstr!("{fingerprint:016x}");
        match change {
            None => {}
            Some(SuspectChange::Suspected) => {
                tracing::info!(%fingerprint, %source, "server crashed while it ran a request");
            }
            Some(SuspectChange::Quarantined(left)) => {
                self.metrics.quarantine();
                let for_ms = millis(left);
                tracing::warn!(
                    %fingerprint, %source, for_ms, "request quarantined: servers crash that run it"
                );
            }
            Some(SuspectChange::Cleared) => {
                tracing::info!(%fingerprint, %source, "request answered; it is no suspect");
            }
        }
    }
}
