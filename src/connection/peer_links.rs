//! Connections to other hosts, over which requests are relayed.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::peer_frame::{CallId, Facts, Frame, RelayCall, RelayParts, codec, decode, encode};

/// A host that accepts no connection within this is not waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Frames that may wait for one host; a host that reads so slowly is no help.
const MAX_WAITING_FRAMES: usize = 256;

/// Where the parts of a call arrive; the channel closes when the connection is lost.
type PartsSender = mpsc::UnboundedSender<RelayParts>;

/// One connection.
#[derive(Debug)]
struct Link {
    frames: mpsc::Sender<Frame>,
    calls: Mutex<HashMap<CallId, PartsSender>>,
    waiting: AtomicUsize,
    closed: CancellationToken,
}

/// All connections of a host to others.
#[derive(Debug)]
pub struct PeerLinks {
    links: Mutex<HashMap<Ipv4Addr, Arc<Link>>>,
    next_id: AtomicU32,
    facts: mpsc::UnboundedSender<Facts>,
}

impl PeerLinks {
    /// Starts without connections; facts that other hosts answer with go to `facts`.
    pub fn new(facts: mpsc::UnboundedSender<Facts>) -> Self {
        Self { links: Mutex::default(), next_id: AtomicU32::new(0), facts }
    }

    /// Sends a frame that has no parts, unless the host reads too slowly.
    pub fn send(&self, host: Ipv4Addr, port: u16, frame: Frame) {
        if self.link(host, port).frames.try_send(frame).is_err() {
            tracing::debug!(%host, "frame dropped: the host reads too slowly");
        }
    }

    /// Returns how many calls wait for a host.
    pub fn waiting(&self, host: Ipv4Addr) -> usize {
        let links = self.links.lock().expect("no holder of the lock panics");
        links.get(&host).map_or(0, |link| link.waiting.load(Ordering::Relaxed))
    }

    /// Closes the connection to a host that has gone silent; a new one may work.
    pub fn drop_link(&self, host: Ipv4Addr) {
        let link = self.links.lock().expect("no holder of the lock panics").remove(&host);
        if let Some(link) = link {
            link.closed.cancel();
        }
    }

    /// Sends a call, or returns `None` where the host reads too slowly.
    pub fn call(&self, host: Ipv4Addr, port: u16, mut call: RelayCall) -> Option<PendingCall> {
        let link = self.link(host, port);
        call.id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = call.id;
        let (sender, parts) = mpsc::unbounded_channel();
        link.calls.lock().expect("no holder of the lock panics").insert(id, sender);
        link.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = link.frames.try_send(Frame::Call(call)).is_ok();
        let pending = PendingCall { host, id, parts, link, wanted: sent };
        sent.then_some(pending)
    }

    fn link(&self, host: Ipv4Addr, port: u16) -> Arc<Link> {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        if let Some(link) = links.get(&host).filter(|link| !link.closed.is_cancelled()) {
            return link.clone();
        }
        let (frames, outgoing) = mpsc::channel(MAX_WAITING_FRAMES);
        let link = Arc::new(Link {
            frames,
            calls: Mutex::default(),
            waiting: AtomicUsize::new(0),
            closed: CancellationToken::new(),
        });
        links.insert(host, link.clone());
        let addr = SocketAddrV4::new(host, port);
        tokio::spawn(drive(link.clone(), addr, outgoing, self.facts.clone()));
        link
    }
}

/// Carries frames over one connection until it ends.
async fn drive(
    link: Arc<Link>,
    addr: SocketAddrV4,
    outgoing: mpsc::Receiver<Frame>,
    facts: mpsc::UnboundedSender<Facts>,
) {
    let closed = link.closed.clone();
    tokio::select! {
        () = closed.cancelled() => {}
        result = carry(&link, addr, outgoing, &facts) => {
            if let Err(error) = result {
                tracing::info!(host = %addr.ip(), %error, "connection to a host lost");
            }
        }
    }
    link.closed.cancel();
    // Closes the channels of all calls, which tells those who wait.
    link.calls.lock().expect("no holder of the lock panics").clear();
}

async fn carry(
    link: &Link,
    addr: SocketAddrV4,
    mut outgoing: mpsc::Receiver<Frame>,
    facts: &mpsc::UnboundedSender<Facts>,
) -> std::io::Result<()> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (mut sink, mut stream) = Framed::new(stream, codec()).split();
    let send = async {
        while let Some(frame) = outgoing.recv().await {
            sink.send(encode(&frame)).await?;
        }
        Ok(())
    };
    let receive = async {
        while let Some(bytes) = stream.next().await {
            match decode(&bytes?) {
                Some(Frame::Parts(parts)) => deliver(link, parts),
                Some(Frame::Facts(told)) => {
                    // The receiver lives as long as the host.
                    let _ = facts.send(told);
                }
                Some(Frame::Call(_) | Frame::Cancel(_) | Frame::Pull(_)) | None => {
                    return Err(std::io::Error::other("the frame makes no sense here"));
                }
            }
        }
        Ok(())
    };
    tokio::select! {
        result = send => result,
        result = receive => result,
    }
}

fn deliver(link: &Link, parts: RelayParts) {
    let calls = link.calls.lock().expect("no holder of the lock panics");
    if let Some(call) = calls.get(&parts.id) {
        // A call that is not waited for any more has no use for its parts.
        let _ = call.send(parts);
    }
}

/// A call that waits for parts; dropping it tells the relay that they are not wanted any more.
#[derive(Debug)]
pub struct PendingCall {
    /// The relay.
    pub host: Ipv4Addr,
    id: CallId,
    parts: mpsc::UnboundedReceiver<RelayParts>,
    link: Arc<Link>,
    wanted: bool,
}

impl PendingCall {
    /// Waits for the next parts; `None` means that the connection is lost.
    pub async fn next(&mut self) -> Option<RelayParts> {
        self.parts.recv().await
    }

    /// Notes that all parts are in, so that nothing needs to be cancelled.
    pub const fn done(&mut self) {
        self.wanted = false;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.link.waiting.fetch_sub(1, Ordering::Relaxed);
        self.link.calls.lock().expect("no holder of the lock panics").remove(&self.id);
        if self.wanted {
            // A relay that can't be told ends the call by its deadline.
            let _ = self.link.frames.try_send(Frame::Cancel(self.id));
        }
    }
}
