//! Connections to other hosts for relayed requests and facts.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use futures::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use super::peer_frame::{
    CallId, Facts, ForwardCall, ForwardReply, Frame, FrameDecoder, RelayCall, RelayParts, decode,
    write,
};
use crate::process::budgets::memory_budget::MemoryBudget;

/// The timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum number of frames queued for one host. Further frames are dropped, because a host that
/// reads this slowly is of no help.
const MAX_QUEUED_FRAMES: usize = 256;

/// Passes the replies to a call to whoever waits for them; it is dropped when the connection is lost.
#[derive(Debug)]
enum ReplySender {
    Parts(mpsc::UnboundedSender<RelayParts>),
    Forwarded(mpsc::UnboundedSender<ForwardReply>),
}
/// Passes on facts that a host sent on a connection to it.
type FactsSender = mpsc::UnboundedSender<(Ipv4Addr, Facts)>;

/// A connection to one host.
#[derive(Debug)]
struct Link {
    frames: mpsc::Sender<Frame>,
    calls: Mutex<HashMap<CallId, ReplySender>>,
    in_flight: AtomicUsize,
    /// Whether the connection was ever established, so that frames may have been sent.
    established: AtomicBool,
    closed: CancellationToken,
}

/// What a host does with its connections, as a simulated network sees it.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame is sent to a host.
    Sent(Ipv4Addr, Box<Frame>),
    /// The connection to a host is closed.
    Closed(Ipv4Addr),
}

/// The connections of a host to all other hosts.
#[derive(Debug)]
pub struct PeerLinks {
    links: Mutex<HashMap<Ipv4Addr, Arc<Link>>>,
    next_id: AtomicU32,
    facts: FactsSender,
    simulated: OnceLock<mpsc::UnboundedSender<LinkEvent>>,
    reply_memory: Arc<OnceLock<Arc<MemoryBudget>>>,
}

impl PeerLinks {
    /// Creates a pool without connections; facts received from other hosts are sent to `facts`.
    pub fn new(facts: FactsSender) -> Self {
        Self {
            links: Mutex::default(),
            next_id: AtomicU32::new(0),
            facts,
            simulated: OnceLock::new(),
            reply_memory: Arc::default(),
        }
    }

    /// Counts the bodies of other hosts' answers towards a budget from now on.
    pub fn count_replies(&self, memory: Arc<MemoryBudget>) {
        // Only the first budget is used.
        let _ = self.reply_memory.set(memory);
    }

    /// Passes all frames without an answer to a simulated network instead of opening connections.
    pub fn simulate(&self) -> mpsc::UnboundedReceiver<LinkEvent> {
        let (sender, events) = mpsc::unbounded_channel();
        // Only the first simulated network gets the frames.
        let _ = self.simulated.set(sender);
        events
    }

    /// Handles facts that a host sent, as if they had arrived on a connection.
    pub fn receive(&self, from: Ipv4Addr, facts: Facts) {
        // The receiver lives as long as the host.
        let _ = self.facts.send((from, facts));
    }

    /// Sends a frame that expects no parts; drops it if the host's queue is full.
    pub fn send(&self, host: Ipv4Addr, port: u16, frame: Frame) {
        if let Some(network) = self.simulated.get() {
            let _ = network.send(LinkEvent::Sent(host, Box::new(frame)));
            return;
        }
        if self.link(host, port).frames.try_send(frame).is_err() {
            tracing::debug!(%host, "dropped a frame: the host reads too slowly");
        }
    }

    /// Returns the number of calls in flight to a host.
    pub fn in_flight(&self, host: Ipv4Addr) -> usize {
        let links = self.links.lock().expect("no holder of the lock panics");
        links.get(&host).map_or(0, |link| link.in_flight.load(Ordering::Relaxed))
    }

    /// Closes the connection to a host that no longer answers; the next call opens a new one.
    pub fn close(&self, host: Ipv4Addr) {
        if let Some(network) = self.simulated.get() {
            let _ = network.send(LinkEvent::Closed(host));
        }
        let link = self.links.lock().expect("no holder of the lock panics").remove(&host);
        if let Some(link) = link {
            link.closed.cancel();
        }
    }

    /// Sends a call, or returns `None` if the host's queue is full.
    pub fn call(
        &self,
        host: Ipv4Addr,
        port: u16,
        call: RelayCall,
    ) -> Option<PendingCall<RelayParts>> {
        let frame = |id| Frame::Call(RelayCall { id, ..call });
        self.begin(host, port, frame, ReplySender::Parts)
    }

    /// Forwards a request, or returns `None` if the host's queue is full.
    pub fn forward(
        &self,
        host: Ipv4Addr,
        port: u16,
        call: ForwardCall,
    ) -> Option<PendingCall<ForwardReply>> {
        let frame = |id| Frame::Forward(ForwardCall { id, ..call });
        self.begin(host, port, frame, ReplySender::Forwarded)
    }

    fn begin<T>(
        &self,
        host: Ipv4Addr,
        port: u16,
        frame: impl FnOnce(CallId) -> Frame,
        sender: impl FnOnce(mpsc::UnboundedSender<T>) -> ReplySender,
    ) -> Option<PendingCall<T>> {
        let link = self.link(host, port);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (replies, received) = mpsc::unbounded_channel();
        link.calls.lock().expect("no holder of the lock panics").insert(id, sender(replies));
        link.in_flight.fetch_add(1, Ordering::Relaxed);
        let sent = link.frames.try_send(frame(id)).is_ok();
        let pending = PendingCall { host, id, replies: received, link, cancel_on_drop: sent };
        sent.then_some(pending)
    }

    fn link(&self, host: Ipv4Addr, port: u16) -> Arc<Link> {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        if let Some(link) = links.get(&host).filter(|link| !link.closed.is_cancelled()) {
            return link.clone();
        }
        let (frames, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Arc::new(Link {
            frames,
            calls: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            established: AtomicBool::new(false),
            closed: CancellationToken::new(),
        });
        links.insert(host, link.clone());
        let addr = SocketAddrV4::new(host, port);
        let received = Received { facts: self.facts.clone(), memory: self.reply_memory.clone() };
        tokio::spawn(run_connection(link.clone(), addr, outgoing, received));
        link
    }
}

/// Where what hosts send goes.
#[derive(Debug)]
struct Received {
    facts: FactsSender,
    memory: Arc<OnceLock<Arc<MemoryBudget>>>,
}

/// Runs one connection until it ends.
async fn run_connection(
    link: Arc<Link>,
    addr: SocketAddrV4,
    outgoing: mpsc::Receiver<Frame>,
    received: Received,
) {
    let closed = link.closed.clone();
    tokio::select! {
        () = closed.cancelled() => {}
        result = exchange_frames(&link, addr, outgoing, &received) => {
            if let Err(error) = result {
                tracing::info!(host = %addr.ip(), %error, "lost the connection to a host");
            }
        }
    }
    link.closed.cancel();
    // Closes the channels of all calls, which ends the wait of their callers.
    link.calls.lock().expect("no holder of the lock panics").clear();
}

/// Connects to a host, then sends and receives frames until the connection fails.
async fn exchange_frames(
    link: &Link,
    addr: SocketAddrV4,
    mut outgoing: mpsc::Receiver<Frame>,
    received: &Received,
) -> std::io::Result<()> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    link.established.store(true, Ordering::Relaxed);
    let (reader, mut writer) = stream.into_split();
    let mut stream = FramedRead::new(reader, FrameDecoder::new());
    let send = async {
        while let Some(frame) = outgoing.recv().await {
            write(&mut writer, &frame).await?;
        }
        Ok(())
    };
    let receive = async {
        while let Some(bytes) = stream.next().await {
            match decode(&bytes?) {
                Some(Frame::Parts(parts)) => dispatch_parts(link, parts),
                Some(Frame::Facts(facts)) => {
                    // The receiver lives as long as the host.
                    let _ = received.facts.send((*addr.ip(), facts));
                }
                Some(Frame::Forwarded(mut reply)) => {
                    if let Some(memory) = received.memory.get() {
                        reply.body = memory.count_used(reply.body);
                    }
                    dispatch_reply(link, reply);
                }
                Some(Frame::Call(_) | Frame::Cancel(_) | Frame::Pull(_) | Frame::Forward(_))
                | None => {
                    return Err(std::io::Error::other("received an invalid or unexpected frame"));
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

fn dispatch_parts(link: &Link, parts: RelayParts) {
    let calls = link.calls.lock().expect("no holder of the lock panics");
    if let Some(ReplySender::Parts(call)) = calls.get(&parts.id) {
        // The send fails if the caller no longer waits.
        let _ = call.send(parts);
    }
}

fn dispatch_reply(link: &Link, reply: ForwardReply) {
    let calls = link.calls.lock().expect("no holder of the lock panics");
    if let Some(ReplySender::Forwarded(call)) = calls.get(&reply.id) {
        let _ = call.send(reply);
    }
}

/// A call in flight that receives replies. Dropping it cancels the call at the host.
#[derive(Debug)]
pub struct PendingCall<T> {
    /// The host that was called.
    pub host: Ipv4Addr,
    id: CallId,
    replies: mpsc::UnboundedReceiver<T>,
    link: Arc<Link>,
    cancel_on_drop: bool,
}

impl<T> PendingCall<T> {
    /// Waits for the next reply; returns `None` if the connection is lost.
    pub async fn next(&mut self) -> Option<T> {
        self.replies.recv().await
    }

    /// Returns whether the host may have received the call.
    pub fn may_have_arrived(&self) -> bool {
        self.link.established.load(Ordering::Relaxed)
    }

    /// Marks the call as complete, so that dropping it sends no cancellation.
    pub const fn done(&mut self) {
        self.cancel_on_drop = false;
    }
}

impl<T> Drop for PendingCall<T> {
    fn drop(&mut self) {
        self.link.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.link.calls.lock().expect("no holder of the lock panics").remove(&self.id);
        if self.cancel_on_drop {
            // If the cancellation can't be queued, the relay ends the call at its deadline.
            let _ = self.link.frames.try_send(Frame::Cancel(self.id));
        }
    }
}
