//! One host on a thread of its own, so that it can be paused and killed like a process.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::connection::network_faults::NetworkFaults;
use crate::error::Result;
use crate::host::{Host, Settings};
use crate::policy::Policy;

/// A host whose thread is its process.
#[derive(Debug)]
pub(crate) struct HostThread {
    pub(crate) host: Host,
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl HostThread {
    pub(crate) async fn start(
        settings: Settings,
        policy: Policy,
        links: Arc<NetworkFaults>,
    ) -> Result<Self> {
        let (started, starting) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime =
                Builder::new_current_thread().enable_all().build().expect("a runtime can be built");
            let handle = runtime.handle().clone();
            runtime.block_on(async {
                let built = Host::builder(settings).policy(policy).links(links).start().await;
                if started.send(built.map(|host| (host, handle))).is_ok() {
                    let _ = stopped.await;
                }
            });
            runtime.shutdown_background();
        });
        let (host, handle) = starting.await.expect("the thread answers before it ends")?;
        Ok(Self { host, handle, stop: Some(stop), thread: Some(thread) })
    }

    /// Stops everything in the host for a while, as a stopped process would.
    pub(crate) fn pause(&self, time: Duration) {
        self.handle.spawn(async move { std::thread::sleep(time) });
    }

    /// Ends the host at once; its connections break.
    pub(crate) fn kill(mut self) {
        self.end();
    }

    /// Lets the host leave in good order, then ends it.
    pub(crate) async fn leave(mut self) {
        let host = self.host.clone();
        let _ = self.handle.spawn(async move { host.leave().await }).await;
        self.end();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.end();
    }
}
