//! A proxy on loopback that delays, silences, cuts one way or resets what passes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What is added to the way of each piece by [`Link::Slow`].
const DELAY: Duration = Duration::from_millis(40);
/// How often a held piece looks whether it may pass.
const RECHECK: Duration = Duration::from_millis(10);
/// The most that passes at once, in bytes; all of a stand-in's replies fit.
const PIECE_BYTES: usize = 16 * 1024;

/// What a proxy does with what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Everything passes.
    Whole,
    /// Everything passes late.
    Slow,
    /// Nothing passes, and no connection is closed.
    Silent,
    /// Requests pass, replies do not.
    OneWay,
    /// Connections are closed.
    Reset,
}

/// A proxy before one address; clones are the same one.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<(Link, SocketAddr)>>,
}

impl Proxy {
    /// Starts a proxy on a free port of an address.
    pub async fn start(ip: Ipv4Addr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let proxy = Self { addr, state: Arc::new(Mutex::new((Link::Whole, target))) };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().pass(stream));
            }
        });
        Ok(proxy)
    }

    /// Changes what is done with what passes.
    pub fn set(&self, link: Link) {
        self.state.lock().expect("no holder of the lock panics").0 = link;
    }

    /// Sends new connections elsewhere.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().expect("no holder of the lock panics").1 = target;
    }

    fn state(&self) -> (Link, SocketAddr) {
        *self.state.lock().expect("no holder of the lock panics")
    }

    async fn pass(self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.state().1).await else { return };
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::select! {
            () = self.pump(near_in, far_out, false) => {}
            () = self.pump(far_in, near_out, true) => {}
        }
    }

    async fn pump(
        &self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
        replies: bool,
    ) {
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut piece) => read,
                () = self.until_reset() => return,
            };
            let Ok(length @ 1..) = read else { return };
            loop {
                match self.state().0 {
                    Link::Whole => break,
                    Link::Slow => {
                        tokio::time::sleep(DELAY).await;
                        break;
                    }
                    Link::OneWay if !replies => break,
                    Link::Silent | Link::OneWay => tokio::time::sleep(RECHECK).await,
                    Link::Reset => return,
                }
            }
            if to.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn until_reset(&self) {
        while self.state().0 != Link::Reset {
            tokio::time::sleep(RECHECK).await;
        }
    }
}
