//! A TCP proxy on loopback that can delay, hold back or reset connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The delay that [`LinkMode::Slow`] adds to each chunk.
const ADDED_DELAY: Duration = Duration::from_millis(40);
/// How often to check whether a held-back chunk may be forwarded.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long open connections outlast the refusal of new ones.
const REFUSE_FIRST: Duration = Duration::from_millis(40);
/// One reply in this many on a connection is repeated, while replies are.
const REPEATED_EVERY: usize = 3;
/// The maximum size of a chunk; all replies of the stand-ins fit.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a proxy handles traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// All data is forwarded.
    Whole,
    /// All data is forwarded with a delay.
    Slow,
    /// No data is forwarded, and connections stay open.
    Silent,
    /// Requests are forwarded, replies are not.
    OneWay,
    /// Connections are closed.
    Reset,
    /// Connections are refused, then those that are open are closed, as when a process ends.
    Refuse,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: LinkMode,
    target: SocketAddr,
    /// Whether some replies are sent once more, late.
    repeats_replies: bool,
}

/// A proxy in front of one address; clones share its state.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address on which it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// The last reply on a connection, which may be sent once more before the next one. A connection
/// carries one request at a time, so that a reply is what is sent between two requests.
#[derive(Debug, Default)]
struct LastReply {
    bytes: Vec<u8>,
    replies: usize,
    /// A request was forwarded since.
    is_complete: bool,
}

impl LastReply {
    /// Adds a part of a reply. Returns what is to be sent before it.
    fn on_reply(&mut self, part: &[u8], repeats: bool) -> Option<Vec<u8>> {
        let mut copy = None;
        if std::mem::take(&mut self.is_complete) {
            self.replies += 1;
            let last = std::mem::take(&mut self.bytes);
            copy = Some(last).filter(|_| repeats && self.replies.is_multiple_of(REPEATED_EVERY));
        }
        self.bytes.extend_from_slice(part);
        copy
    }
}

impl Proxy {
    /// Starts a proxy for `target` on a free port of an address.
    pub async fn start(ip: Ipv4Addr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let state = State { mode: LinkMode::Whole, target, repeats_replies: false };
        let proxy = Self { addr, state: Arc::new(Mutex::new(state)) };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    async fn accept(self, mut listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().forward(stream));
                }
                () = self.wait_while(|mode| mode != LinkMode::Refuse) => {
                    drop(listener);
                    self.wait_while(|mode| mode == LinkMode::Refuse).await;
                    match TcpListener::bind(self.addr).await {
                        Ok(bound) => listener = bound,
                        Err(error) => panic!("{} can't be bound again: {error}", self.addr),
                    }
                }
            }
        }
    }

    async fn wait_while(&self, holds: impl Fn(LinkMode) -> bool) {
        while holds(self.state().mode) {
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Sets how the proxy handles traffic, also on open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.lock().mode = mode;
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.lock().target = target;
    }

    /// Sets whether some replies are sent once more, where the next reply is expected.
    pub fn set_repeats_replies(&self, repeats: bool) {
        self.lock().repeats_replies = repeats;
    }

    fn state(&self) -> State {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn forward(self, downstream: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.state().target).await else { return };
        let ((downstream_in, downstream_out), (upstream_in, upstream_out)) =
            (downstream.into_split(), upstream.into_split());
        let last_reply = Mutex::default();
        tokio::select! {
            () = self.forward_one_way(downstream_in, upstream_out, false, &last_reply) => {}
            () = self.forward_one_way(upstream_in, downstream_out, true, &last_reply) => {}
        }
    }

    async fn forward_one_way(
        &self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
        is_reply: bool,
        last_reply: &Mutex<LastReply>,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_for_reset() => return,
            };
            let Ok(length @ 1..) = read else { return };
            loop {
                match self.state().mode {
                    LinkMode::Whole => break,
                    LinkMode::Slow => {
                        tokio::time::sleep(ADDED_DELAY).await;
                        break;
                    }
                    LinkMode::OneWay if !is_reply => break,
                    LinkMode::Silent | LinkMode::OneWay => {
                        tokio::time::sleep(RECHECK_INTERVAL).await
                    }
                    LinkMode::Reset | LinkMode::Refuse => return,
                }
            }
            let part = &buffer[..length];
            let copy = {
                let mut last = last_reply.lock().expect("no holder of the lock panics");
                if is_reply {
                    last.on_reply(part, self.state().repeats_replies)
                } else {
                    last.is_complete = true;
                    None
                }
            };
            if to.write_all(&copy.unwrap_or_default()).await.is_err()
                || to.write_all(part).await.is_err()
            {
                return;
            }
        }
    }

    async fn wait_for_reset(&self) {
        self.wait_while(|mode| !matches!(mode, LinkMode::Reset | LinkMode::Refuse)).await;
        if self.state().mode == LinkMode::Refuse {
            tokio::time::sleep(REFUSE_FIRST).await;
        }
    }
}
