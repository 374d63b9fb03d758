//! The protocol between hosts, over tarpc.

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

/// The version of this protocol; hosts of another one refuse each other.
pub const PROTOCOL_VERSION: u32 = 1;
/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Names a batch within the life of the host that made it.
pub type BatchId = u64;

data! {
    /// The first message on a connection.
    pub struct Hello {
        /// The sender's protocol version.
        pub protocol: u32,
        /// The sender's deployment.
        pub deployment: SmolStr,
        /// The sender.
        pub host: HostId,
    }

    /// The reply to [`Hello`].
    pub struct HelloReply {
        /// The receiver, which tells a sender that it reached the host it meant.
        pub host: HostId,
        /// The receiver's clock in microseconds.
        pub clock_us: u64,
    }

    /// The parts of one query whose servers one host owns.
    pub struct Batch {
        /// Its name.
        pub id: BatchId,
        /// The query.
        pub query: Query,
        /// What it does.
        pub kind: Kind,
        /// The pinned index version.
        pub index_version: IndexVersion,
        /// The deadline on the receiver's clock in microseconds.
        pub deadline_us: u64,
        /// When to return what is done while the rest goes on.
        pub flush_ms: u64,
        /// The shards to ask.
        pub items: Vec<BatchItem>,
    }

    /// One shard of a batch.
    pub struct BatchItem {
        /// Names the attempt.
        pub attempt: AttemptId,
        /// The shard.
        pub shard: ShardId,
        /// The server to ask.
        pub server: ServerId,
    }

    /// What is done of a batch: the rows of all its answered shards, merged.
    pub struct Part {
        /// The shards that ended, each with its outcome.
        pub ended: Vec<ShardReport>,
        /// The merged rows of those that were answered.
        pub rows: Vec<Row>,
        /// How many shards of the batch go on.
        pub pending: u32,
        /// The time from the batch's arrival to this part, in microseconds.
        pub held_us: u64,
    }

    /// The outcome of one shard of a batch.
    pub struct ShardReport {
        /// The shard.
        pub shard: ShardId,
        /// The server asked.
        pub server: ServerId,
        /// What became of it.
        pub outcome: Outcome<()>,
        /// The time that one more request would take at the server, in microseconds.
        pub expected_us: u64,
        /// The server is believed warm.
        pub warm: bool,
        /// The time from the batch's arrival to the shard's end, in microseconds.
        pub took_us: u64,
    }

    /// A non-idempotent request on its way to its keeper.
    pub struct Order {
        /// The request.
        pub query: Query,
        /// The deadline on the receiver's clock in microseconds.
        pub deadline_us: u64,
    }

    /// A claim with the receiver's clock, which keeps the clock offset fresh.
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
    /// Why a host refuses another one.
    pub enum HelloRefusal {
        /// The protocol versions differ.
        ProtocolVersion,
        /// The deployments differ.
        Deployment,
        /// The host has no configuration yet.
        NotReady,
    }
}

/// The calls between hosts.
#[tarpc::service]
pub trait Peer {
    /// Introduces the sender.
    async fn hello(hello: Hello) -> Result<HelloReply, HelloRefusal>;
    /// Runs a batch until it is done or its flush time has come.
    async fn run(batch: Batch) -> Part;
    /// Waits for more of a batch.
    async fn collect(id: BatchId) -> Part;
    /// Stops some shards of a batch.
    async fn cancel(id: BatchId, shards: Vec<ShardId>);
    /// Runs a non-idempotent request at its keeper.
    async fn submit(order: Order) -> Outcome<Answer>;
    /// Asks a witness.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Tells a witness that a seat is free.
    async fn release(release: Release);
    /// Gossip.
    async fn push(push: Push);
    /// Returns the configuration in force if it is above a version.
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
