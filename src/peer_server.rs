//! Serves the calls of other hosts.

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
use crate::connection::client_server::{End, WaitLimits, Waits, accept_client};
use crate::connection::peer::{
    Batch, BatchId, ClaimAnswer, Hello, HelloRefusal, HelloReply, MAX_FRAME_BYTES, Order,
    PROTOCOL_VERSION, Part, Peer, Postcard, ShardReport,
};
use crate::connection::query::Answer;
use crate::ids::{ConfigVersion, ShardId};
use crate::outcome::{NotRunReason, Outcome};
use crate::process::clients::{Cause, ClientConnection, ClientKind, Clients, Phase};
use crate::process::context::Context;
use crate::process::keeper::Keeper;
use crate::process::membership::gossip::Push;
use crate::process::membership::lease::{Claim, ClaimReply, Release};
use crate::process::membership::membership_actor::MembershipActor;
use crate::process::servers::batches::Batches;
use crate::version::config::Config;

/// The deadline assumed for the batch of a collect call, which doesn't carry one.
const ASSUMED_BATCH_DEADLINE: Duration = Duration::from_secs(5);
/// The time for the handshake; a peer stays connected after it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const WAIT_LIMITS: WaitLimits =
    WaitLimits { head_timeout: HANDSHAKE_TIMEOUT, idle_timeout: HANDSHAKE_TIMEOUT };

/// The components of a host that handle calls from peers.
#[derive(Clone)]
pub(crate) struct PeerHandlers {
    pub(crate) context: Arc<Context>,
    pub(crate) batches: Arc<Batches>,
    pub(crate) keeper: Arc<Keeper>,
    pub(crate) membership: ActorRef<MembershipActor>,
}

/// A connection from a peer. Before a successful `hello`, it runs no requests and accepts no
/// membership messages, but it serves the configuration.
#[derive(Clone)]
struct PeerConnection {
    handlers: PeerHandlers,
    handshake_done: Arc<AtomicBool>,
    client: Arc<ClientConnection>,
}

/// Accepts connections from peers until the host stops.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    handlers: PeerHandlers,
    clients: Arc<Clients>,
) {
    let stopped = handlers.context.stopped.clone();
    while let Some((stream, registered)) =
        accept_client(&listener, &clients, ClientKind::Host, &stopped).await
    {
        let (handlers, stopped) = (handlers.clone(), stopped.clone());
        tokio::spawn(async move {
            let client = registered.connection();
            tokio::select! {
                () = serve_connection(stream, handlers, client.clone()) => {}
                end = Waits::new(client, WAIT_LIMITS) => {
                    if let End::Displaced = end {
                        registered.on_turned_away(Cause::Displaced);
                    }
                }
                () = stopped.cancelled() => {}
            }
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    handlers: PeerHandlers,
    client: Arc<ClientConnection>,
) {
    let _ = stream.set_nodelay(true);
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport: Transport<_, _, _, Postcard> = tarpc::serde_transport::new(framed, Postcard);
    let connection = PeerConnection { handlers, handshake_done: Arc::default(), client };
    BaseChannel::with_defaults(transport)
        .execute(connection.serve())
        .for_each(|request| async {
            tokio::spawn(request);
        })
        .await;
}

impl PeerConnection {
    fn is_handshake_done(&self) -> bool {
        self.handshake_done.load(Ordering::Acquire)
    }
}

impl Peer for PeerConnection {
    async fn hello(self, _: CallContext, hello: Hello) -> Result<HelloReply, HelloRefusal> {
        let context = &self.handlers.context;
        if hello.protocol != PROTOCOL_VERSION {
            tracing::warn!(
                peer = %hello.host, theirs = hello.protocol, ours = PROTOCOL_VERSION,
                "connection refused: the peer has another protocol version"
            );
            return Err(HelloRefusal::ProtocolVersion);
        }
        if hello.deployment != context.operational.load().config.fleet.deployment {
            tracing::warn!(
                peer = %hello.host, theirs = %hello.deployment,
                "connection refused: the peer belongs to another deployment"
            );
            return Err(HelloRefusal::Deployment);
        }
        self.handshake_done.store(true, Ordering::Release);
        self.client.set_phase(Phase::Serving);
        Ok(HelloReply { host: context.me.clone(), clock_us: micros(context.clock.now()) })
    }

    async fn run(self, _: CallContext, batch: Batch) -> Part {
        if self.is_handshake_done() {
            return self.handlers.batches.run(batch).await;
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
        let deadline = self.handlers.context.clock.now() + ASSUMED_BATCH_DEADLINE;
        self.handlers.batches.collect(id, deadline).await
    }

    async fn cancel(self, _: CallContext, id: BatchId, shards: Vec<ShardId>) {
        self.handlers.batches.cancel(id, &shards);
    }

    async fn submit(self, _: CallContext, order: Order) -> Outcome<Answer> {
        if !self.is_handshake_done() {
            return Outcome::NotRun(NotRunReason::NotReady);
        }
        self.handlers.keeper.submit(order.query, Duration::from_micros(order.deadline_us)).await
    }

    async fn claim(self, _: CallContext, claim: Claim) -> ClaimAnswer {
        let context = &self.handlers.context;
        let reply = if self.is_handshake_done() {
            self.handlers.membership.ask(claim).await.ok().flatten()
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
        if self.is_handshake_done() {
            let _ = self.handlers.membership.tell(release).await;
        }
    }

    async fn push(self, _: CallContext, push: Push) {
        if self.is_handshake_done() {
            let _ = self.handlers.membership.tell(push).await;
        }
    }

    async fn config_above(self, _: CallContext, version: ConfigVersion) -> Option<Config> {
        let config = self.handlers.context.operational.load().config.clone();
        (config.version > version).then(|| (*config).clone())
    }
}
