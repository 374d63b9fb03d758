//! Runs one host on its own thread, so that it can be paused and killed like a process.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::connection::network_faults::NetworkFaults;
use crate::error::Result;
use crate::host::{Host, Settings};
use crate::policy::Policy;

/// A host that runs on its own thread and single-threaded runtime.
#[derive(Debug)]
pub(crate) struct HostThread {
    pub(crate) host: Host,
    handle: Handle,
    stop_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl HostThread {
    pub(crate) async fn start(
        settings: Settings,
        policy: Policy,
        network_faults: Arc<NetworkFaults>,
    ) -> Result<Self> {
        let (started_tx, started_rx) = oneshot::channel();
        let (stop_tx, stop_rx) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime =
                Builder::new_current_thread().enable_all().build().expect("the runtime builds");
            let handle = runtime.handle().clone();
            runtime.block_on(async {
                let result = Host::builder(settings)
                    .policy(policy)
                    .network_faults(network_faults)
                    .start()
                    .await;
                if started_tx.send(result.map(|host| (host, handle))).is_ok() {
                    let _ = stop_rx.await;
                }
            });
            runtime.shutdown_background();
        });
        let (host, handle) =
            started_rx.await.expect("the thread reports the start before it ends")?;
        Ok(Self { host, handle, stop_tx: Some(stop_tx), thread: Some(thread) })
    }

    /// Blocks the host's only thread for a time, which stops all its tasks like a stopped process.
    pub(crate) fn pause(&self, duration: Duration) {
        self.handle.spawn(async move { std::thread::sleep(duration) });
    }

    /// Stops the host without shutdown; its connections break.
    pub(crate) fn kill(mut self) {
        self.stop_thread();
    }

    /// Shuts the host down gracefully, then stops its thread.
    pub(crate) async fn shut_down(mut self) {
        let host = self.host.clone();
        let _ = self.handle.spawn(async move { host.drain().await }).await;
        self.stop_thread();
    }

    fn stop_thread(&mut self) {
        if let Some(stop_tx) = self.stop_tx.take() {
            let _ = stop_tx.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.stop_thread();
    }
}
