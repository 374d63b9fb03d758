//! The RPC protocol between hosts, based on tarpc.

use std::io;
use std::pin::Pin;

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::bytes::{Bytes, BytesMut};

use crate::connection::query::{Answer, Query, Row};
use crate::derive::{data, key};
use crate::ids::{AttemptId, ConfigVersion, HostId, IndexVersion, ServerId, ShardId};
use crate::outcome::Outcome;
use crate::process::membership::gossip::Push;
use crate::process::membership::lease::{Claim, ClaimReply, Release};
use crate::version::config::{Config, Kind};

/// The version of this protocol; hosts with different versions refuse each other.
pub const PROTOCOL_VERSION: u32 = 1;
/// The maximum frame size in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Identifies a batch within one incarnation of the host that created it.
pub type BatchId = u64;

data! {
    /// The first message on a connection.
    pub struct Hello {
        /// The sender's protocol version.
        pub protocol: u32,
        /// The sender's deployment.
        pub deployment: SmolStr,
        /// The id of the sender.
        pub host: HostId,
    }

    /// The reply to [`Hello`].
    pub struct HelloReply {
        /// The id of the receiver, by which the sender checks that it reached the intended host.
        pub host: HostId,
        /// The receiver's clock in microseconds.
        pub clock_us: u64,
    }

    /// The parts of one query whose servers one host owns.
    pub struct Batch {
        /// The identifier of the batch.
        pub id: BatchId,
        /// The query.
        pub query: Query,
        /// The kind of request.
        pub kind: Kind,
        /// The pinned index version.
        pub index_version: IndexVersion,
        /// The deadline on the receiver's clock in microseconds.
        pub deadline_us: u64,
        /// The time after which the finished shards are returned while the rest continues.
        pub flush_ms: u64,
        /// The shards to query.
        pub items: Vec<BatchItem>,
    }

    /// One shard of a batch.
    pub struct BatchItem {
        /// Identifies the attempt.
        pub attempt: AttemptId,
        /// The shard.
        pub shard: ShardId,
        /// The server to send to.
        pub server: ServerId,
    }

    /// The finished part of a batch, with the merged rows of its answered shards.
    pub struct Part {
        /// The finished shards with their outcomes.
        pub ended: Vec<ShardReport>,
        /// The merged rows of the answered shards.
        pub rows: Vec<Row>,
        /// The number of shards of the batch that are still running.
        pub pending: u32,
        /// The time from the receipt of the batch to this part, in microseconds.
        pub held_us: u64,
    }

    /// The outcome of one shard of a batch.
    pub struct ShardReport {
        /// The shard.
        pub shard: ShardId,
        /// The server that was used.
        pub server: ServerId,
        /// The outcome.
        pub outcome: Outcome<()>,
        /// The expected time of another request at the server, in microseconds.
        pub expected_us: u64,
        /// Whether the server is estimated to be warm.
        pub warm: bool,
        /// The time from the receipt of the batch to the end of this shard, in microseconds.
        pub took_us: u64,
    }

    /// A non-idempotent request, as sent to its keeper.
    pub struct Order {
        /// The request.
        pub query: Query,
        /// The deadline on the receiver's clock in microseconds.
        pub deadline_us: u64,
    }

    /// The reply to a claim, with the receiver's clock to update the clock offset.
    pub struct ClaimAnswer {
        /// The witness's answer.
        pub reply: ClaimReply,
        /// The receiver's clock in microseconds.
        pub clock_us: u64,
        /// The version in force at the receiver.
        pub config_version: ConfigVersion,
    }
}

key! {
    /// Why a host refuses the handshake of another host.
    pub enum HelloRefusal {
        /// The protocol versions differ.
        ProtocolVersion,
        /// The deployments differ.
        Deployment,
        /// The host has no configuration yet.
        NotReady,
    }
}

/// The remote procedure calls between hosts.
#[tarpc::service]
pub trait Peer {
    /// Performs the handshake of a new connection.
    async fn hello(hello: Hello) -> Result<HelloReply, HelloRefusal>;
    /// Runs a batch until it is finished or its flush time has passed.
    async fn run(batch: Batch) -> Part;
    /// Waits for the next part of a batch.
    async fn collect(id: BatchId) -> Part;
    /// Cancels some shards of a batch.
    async fn cancel(id: BatchId, shards: Vec<ShardId>);
    /// Submits a non-idempotent request to its keeper.
    async fn submit(order: Order) -> Outcome<Answer>;
    /// Claims a seat's lease from a witness.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Releases a seat's lease at a witness.
    async fn release(release: Release);
    /// Pushes gossip.
    async fn push(push: Push);
    /// Returns the configuration in force if its version is above `version`.
    async fn config_above(version: ConfigVersion) -> Option<Config>;
}

/// The codec of the protocol.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, Self::Error> {
        postcard::to_allocvec(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, Self::Error> {
        postcard::from_bytes(src).map_err(io::Error::other)
    }
}
