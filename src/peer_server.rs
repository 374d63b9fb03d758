//! Answers the calls of other hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use kameo::actor::ActorRef;
use tarpc::context::Context as CallContext;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};

use crate::clock::micros;
use crate::connection::peer::{
    Batch, BatchId, ClaimAnswer, Hello, HelloRefusal, HelloReply, MAX_FRAME_BYTES, Order,
    PROTOCOL_VERSION, Part, Peer, Postcard, ShardReport,
};
use crate::connection::query::Answer;
use crate::ids::{ConfigVersion, ShardId};
use crate::outcome::{NotRunReason, Outcome};
use crate::process::context::Context;
use crate::process::keeper::Keeper;
use crate::process::membership::gossip::Push;
use crate::process::membership::lease::{Claim, ClaimReply, Release};
use crate::process::membership::membership_actor::MembershipActor;
use crate::process::servers::batches::Batches;
use crate::version::config::Config;

/// How much longer than its batch's deadline a collection waits.
const COLLECT_GRACE: Duration = Duration::from_secs(5);
/// How long to wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The parts of a host that its peers reach.
#[derive(Clone)]
pub(crate) struct PeerParts {
    pub(crate) context: Arc<Context>,
    pub(crate) batches: Arc<Batches>,
    pub(crate) keeper: Arc<Keeper>,
    pub(crate) membership: ActorRef<MembershipActor>,
}

/// One connection from a peer; nothing but a configuration is given before its greeting.
#[derive(Clone)]
struct PeerConnection {
    parts: PeerParts,
    greeted: Arc<AtomicBool>,
}

/// Accepts connections from peers until the host stops.
pub(crate) async fn serve_peers(listener: TcpListener, parts: PeerParts) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let stopped = parts.context.stopped.clone();
                let connection = serve_connection(stream, parts.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = connection => {}
                        () = stopped.cancelled() => {}
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a peer's connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, parts: PeerParts) {
    let _ = stream.set_nodelay(true);
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport: Transport<_, _, _, Postcard> = tarpc::serde_transport::new(framed, Postcard);
    let connection = PeerConnection { parts, greeted: Arc::default() };
    BaseChannel::with_defaults(transport)
        .execute(connection.serve())
        .for_each(|request| async {
            tokio::spawn(request);
        })
        .await;
}

impl PeerConnection {
    fn is_greeted(&self) -> bool {
        self.greeted.load(Ordering::Acquire)
    }
}

impl Peer for PeerConnection {
    async fn hello(self, _: CallContext, hello: Hello) -> Result<HelloReply, HelloRefusal> {
        let context = &self.parts.context;
        if hello.protocol != PROTOCOL_VERSION {
            tracing::warn!(
                peer = %hello.host, theirs = hello.protocol, ours = PROTOCOL_VERSION,
                "a host with another protocol version is refused"
            );
            return Err(HelloRefusal::ProtocolVersion);
        }
        if hello.deployment != context.operational.load().config.fleet.deployment {
            tracing::warn!(peer = %hello.host, theirs = %hello.deployment, "a host of another deployment is refused");
            return Err(HelloRefusal::Deployment);
        }
        self.greeted.store(true, Ordering::Release);
        Ok(HelloReply { host: context.me.clone(), clock_us: micros(context.clock.now()) })
    }

    async fn run(self, _: CallContext, batch: Batch) -> Part {
        if self.is_greeted() {
            return self.parts.batches.run(batch).await;
        }
        let refused = batch.items.into_iter().map(|item| ShardReport {
            shard: item.shard,
            server: item.server,
            outcome: Outcome::NotRun(NotRunReason::NotReady),
            expected_us: 0,
            warm: false,
            took_us: 0,
        });
        Part { ended: refused.collect(), rows: Vec::new(), pending: 0, held_us: 0 }
    }

    async fn collect(self, _: CallContext, id: BatchId) -> Part {
        let until = self.parts.context.clock.now() + COLLECT_GRACE;
        self.parts.batches.collect(id, until).await
    }

    async fn cancel(self, _: CallContext, id: BatchId, shards: Vec<ShardId>) {
        self.parts.batches.cancel(id, &shards);
    }

    async fn submit(self, _: CallContext, order: Order) -> Outcome<Answer> {
        if !self.is_greeted() {
            return Outcome::NotRun(NotRunReason::NotReady);
        }
        self.parts.keeper.submit(order.query, Duration::from_micros(order.deadline_us)).await
    }

    async fn claim(self, _: CallContext, claim: Claim) -> ClaimAnswer {
        let context = &self.parts.context;
        let reply = if self.is_greeted() {
            self.parts.membership.ask(claim).await.ok().flatten()
        } else {
            None
        };
        ClaimAnswer {
            reply: reply.unwrap_or(ClaimReply::Abstaining),
            clock_us: micros(context.clock.now()),
            config_version: context.operational.load().config.version,
        }
    }

    async fn release(self, _: CallContext, release: Release) {
        if self.is_greeted() {
            let _ = self.parts.membership.tell(release).await;
        }
    }

    async fn push(self, _: CallContext, push: Push) {
        if self.is_greeted() {
            let _ = self.parts.membership.tell(push).await;
        }
    }

    async fn config_above(self, _: CallContext, version: ConfigVersion) -> Option<Config> {
        let config = self.parts.context.operational.load().config.clone();
        (config.version > version).then(|| (*config).clone())
    }
}
