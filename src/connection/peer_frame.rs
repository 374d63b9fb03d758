//! The frames that hosts exchange over a connection: relayed requests, their parts and facts.
//!
//! Frames are compact because bandwidth between failure domains is expensive: a relayed request
//! names its route and its shards by number, and its answer is merged records. One call can have
//! several answer frames, which the request-reply calls of `tarpc` do not support; see
//! `docs/PLATFORM.md`, section "Relays".

use std::io;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::{SmolStr, ToSmolStr};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use super::exchange::{Call, Signature};
use crate::ids::{ConfigVersion, RequestId, Revision, ServerId, ServiceId};
use crate::outcome::Outcome;
use crate::position::{Epochs, PlanOrder};
use crate::process::budgets::memory_budget::{Demand, MemoryBudget, Reservation, SMALL_BODY_BYTES};
use crate::process::servers::registry::Change;
use crate::process::servers::withheld::Withheld;
use crate::version::plan::{PlanDocument, RouteId};

/// The maximum frame size in bytes; it must fit the merged records of a relay's parts and a
/// caller's body.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// The size of the length before each frame.
const LENGTH_BYTES: usize = 3;

/// Identifies a call on one connection.
pub type CallId = u32;
/// The index of a shard in its route's list of shards.
pub type ShardIndex = u16;

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks a host to relay a request to servers of its failure domain.
    Call(RelayCall),
    /// Parts of the answer to a call.
    Parts(RelayParts),
    /// Cancels a call.
    Cancel(CallId),
    /// Asks for facts of the platform that the sender lacks.
    Pull(Known),
    /// Facts of the platform.
    Facts(Facts),
    /// Asks a host to serve a whole request in place of one that can't reach the servers. Builds
    /// before the frame reject it; they announce no load (see [`Heartbeat`]).
    ///
    /// [`Heartbeat`]: crate::process::membership::members::Heartbeat
    Forward(ForwardCall),
    /// The answer to a forwarded request.
    Forwarded(ForwardReply),
}

/// The revision and plan version that a host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The host has all changes of servers and failure domains up to this revision.
    pub revision: Revision,
    /// The version of the host's plan.
    pub version: ConfigVersion,
    /// The epochs of the revision and the version, or `None` if the host runs a build that does not
    /// announce them. [`encode`] appends them to the frame.
    #[serde(skip)]
    pub epochs: Option<Epochs>,
}

impl Known {
    /// Returns the place of the host's plan in the order of plans.
    pub fn plan_order(&self) -> PlanOrder {
        let series = self.epochs.unwrap_or_default().plan_series;
        PlanOrder { series, version: self.version }
    }
}

/// Facts of the platform, as hosts distribute them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// The revision after which the changes are complete; a receiver with a lower one pulls the rest.
    pub after: Revision,
    /// The changes of servers and failure domains after that revision.
    pub changes: Vec<Change>,
    /// The revision up to which the changes are complete.
    pub up_to: Revision,
    /// The plan, if the receiver may lack it.
    pub plan: Option<PlanDocument>,
    /// The time since the platform recovered, if entries may still be in their grace period after it.
    pub returned_ms_ago: Option<u32>,
    /// What orders the facts across epochs, or `None` if the host runs a build without epochs.
    /// [`encode`] appends it to the frame.
    #[serde(skip)]
    pub extension: Option<FactsExtension>,
    /// Whether the receiver passes the facts on to the hosts of its failure domain. [`encode`]
    /// appends it to the extension.
    #[serde(skip)]
    pub pass_on: bool,
}

/// The part of [`Facts`] that builds without epochs ignore.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactsExtension {
    /// The epoch of `up_to` and the series of `plan`.
    pub epochs: Epochs,
    /// Whether `changes` are the complete state, rather than the changes after `after`.
    pub whole: bool,
    /// Whether the host knows an epoch before this one, so that `withheld` is of use.
    pub knows_earlier: bool,
    /// The servers and failure domains that get no requests because of facts of earlier epochs.
    pub withheld: Vec<Withheld>,
}

/// Asks a host to relay a request to servers of some shards in its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCall {
    /// The identifier of the call, which its parts carry.
    pub id: CallId,
    /// The plan that the request is pinned to.
    pub version: ConfigVersion,
    /// The route of the request.
    pub route: RouteId,
    /// The shards asked for.
    pub shards: SmallVec<[ShardIndex; 16]>,
    /// The sender knows no better server, so declining the call gains nothing.
    pub insists: bool,
    /// The expected time of the request at a typical server, or 0 if there is no estimate yet.
    pub pace_us: u32,
    /// The time left until the deadline.
    pub left_ms: u32,
    /// The caller's request.
    pub request: ForwardedRequest,
}

/// A caller's request in the form in which hosts forward it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    method: SmolStr,
    path: SmolStr,
    host: SmolStr,
    request_id: RequestId,
    headers: Vec<(SmolStr, Vec<u8>)>,
    /// Shared with the caller's request. Encoded like a list of bytes.
    body: Bytes,
}

impl From<&Call> for ForwardedRequest {
    fn from(call: &Call) -> Self {
        Self {
            method: call.method.as_str().to_smolstr(),
            path: call.path.clone(),
            host: call.host.clone(),
            request_id: call.request_id.clone(),
            headers: encode_headers(&call.headers),
            body: call.body.clone(),
        }
    }
}

impl ForwardedRequest {
    /// Converts to a request; returns `None` if the method or a header is invalid.
    pub fn into_call(self) -> Option<Call> {
        let headers = decode_headers(self.headers)?;
        Some(Call {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            host: self.host,
            headers,
            body: self.body,
            request_id: self.request_id,
        })
    }
}

/// Asks a host to serve a whole request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardCall {
    /// The identifier of the call, which its reply carries.
    pub id: CallId,
    /// The place of the sender's plan in the order of plans. A host with an older one refuses.
    pub plan: PlanOrder,
    /// The service that the sender has chosen for a request with one server.
    pub service: Option<ServiceId>,
    /// The number of attempts that the sender has made already.
    pub attempts_made: u32,
    /// The time left until the deadline.
    pub left_ms: u32,
    /// The time left until an answer no longer meets the latency target.
    pub target_left_ms: u32,
    /// The caller's request.
    pub request: ForwardedRequest,
}

/// The answer to a forwarded request, or the next piece of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply {
    /// The identifier of the call.
    pub id: CallId,
    /// The outcome, which each piece repeats.
    pub outcome: Outcome<ForwardAnswer>,
    /// A piece of the body. Encoded like a list of bytes.
    pub body: Bytes,
    /// Whether more pieces follow.
    pub more: bool,
}

/// The head of the answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardAnswer {
    /// The reply of one server.
    Reply {
        /// The status.
        status: u16,
        /// The forwarded headers.
        headers: Vec<(SmolStr, Vec<u8>)>,
        /// The server's signature.
        signature: Option<Signature>,
    },
    /// The merged parts of several shards.
    Gathered {
        /// The signatures of the received parts.
        signatures: Vec<Signature>,
        /// The number of shards without a part.
        missing: u32,
    },
}

/// Parts of the answer to a call; an answer consists of one or several such frames.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayParts {
    /// The identifier of the call.
    pub id: CallId,
    /// The expected time of the request at a typical server, as far as it can be estimated.
    pub pace_us: u32,
    /// The time since the relay received the call.
    pub elapsed_us: u32,
    /// The answered shards, with their servers' signatures.
    pub parts: Vec<(ShardIndex, Signature)>,
    /// The merged records of these shards: the largest ones.
    pub records: Vec<u8>,
    /// Whether the shards without an answer are overdue.
    pub late: bool,
    /// The shards that failed at the relay.
    pub failed: Vec<RelayFailure>,
    /// Which of them the relay did not send because of the servers' rate limits, and how many
    /// milliseconds until it may. [`encode`] appends it to the frame.
    #[serde(skip)]
    pub rate_limited: Vec<(ShardIndex, u32)>,
}

/// A shard that a relay got no answer for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayFailure {
    /// The shard.
    pub shard: ShardIndex,
    /// The server that was tried, if any.
    pub server: Option<ServerId>,
    /// The outcome of the attempt.
    pub outcome: Outcome<()>,
}

/// Returns headers in the form in which hosts exchange them.
pub fn encode_headers(headers: &HeaderMap) -> Vec<(SmolStr, Vec<u8>)> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_smolstr(), value.as_bytes().to_vec())
    };
    headers.iter().map(header).collect()
}

/// Converts headers that a host sent; returns `None` if one is invalid.
pub fn decode_headers(encoded: Vec<(SmolStr, Vec<u8>)>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(encoded.len());
    for (name, value) in encoded {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(headers)
}

/// Splits a stream into frames. A frame begins with its length in [`LENGTH_BYTES`] bytes.
#[derive(Debug)]
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    memory: Option<Arc<MemoryBudget>>,
    /// The memory of a large frame that is being received.
    reserved: Option<Reservation>,
    is_in_frame: bool,
}

impl FrameDecoder {
    /// Creates a decoder for frames of a host that this one has called.
    pub fn new() -> Self {
        let mut codec = LengthDelimitedCodec::builder();
        codec.length_field_length(LENGTH_BYTES).max_frame_length(MAX_FRAME_BYTES);
        Self { codec: codec.new_codec(), memory: None, reserved: None, is_in_frame: false }
    }

    /// Creates a decoder for frames of anyone who connects, which fails for a frame for which there
    /// is no memory.
    pub fn within(memory: Arc<MemoryBudget>) -> Self {
        Self { memory: Some(memory), ..Self::new() }
    }

    fn begin_frame(&mut self, length: usize) -> io::Result<()> {
        self.is_in_frame = true;
        let memory = self.memory.as_ref().filter(|_| length > SMALL_BODY_BYTES);
        self.reserved = match memory {
            Some(memory) => Some(
                memory
                    .try_reserve(length, Demand::Large)
                    .ok_or_else(|| io::Error::from(io::ErrorKind::OutOfMemory))?,
            ),
            None => None,
        };
        Ok(())
    }
}

impl Default for FrameDecoder {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if !self.is_in_frame
            && let Some(length) = source.get(..LENGTH_BYTES)
        {
            let length = length.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
            self.begin_frame(length)?;
        }
        let frame = self.codec.decode(source)?;
        if frame.is_some() {
            self.is_in_frame = false;
            self.reserved = None;
            // The buffer would keep the memory of its longest frame.
            if source.is_empty() && source.capacity() > SMALL_BODY_BYTES {
                *source = BytesMut::new();
            }
        }
        Ok(frame)
    }
}

/// Writes a frame.
///
/// # Errors
///
/// Returns the error of the stream, or that the frame is too long.
pub async fn write<W: AsyncWrite + Unpin>(writer: &mut W, frame: &Frame) -> io::Result<()> {
    let bytes = encode(frame);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(io::Error::from(io::ErrorKind::InvalidInput));
    }
    let length = (bytes.len() as u64).to_be_bytes();
    let length = &length[length.len() - LENGTH_BYTES..];
    writer.write_all_buf(&mut length.chain(bytes)).await
}

/// Encodes a frame, followed by its extension if it has one. Builds that don't know the extension
/// ignore bytes after the frame.
pub fn encode(frame: &Frame) -> Bytes {
    let bytes = postcard::to_stdvec(frame);
    let extended = bytes.and_then(|bytes| match frame {
        Frame::Pull(Known { epochs: Some(epochs), .. }) => postcard::to_extend(epochs, bytes),
        Frame::Facts(Facts { extension: Some(extension), pass_on, .. }) => {
            let bytes = postcard::to_extend(extension, bytes)?;
            if *pass_on { postcard::to_extend(pass_on, bytes) } else { Ok(bytes) }
        }
        Frame::Parts(RelayParts { rate_limited, .. }) if !rate_limited.is_empty() => {
            postcard::to_extend(rate_limited, bytes)
        }
        Frame::Call(_)
        | Frame::Parts(_)
        | Frame::Cancel(_)
        | Frame::Pull(_)
        | Frame::Facts(_)
        | Frame::Forward(_)
        | Frame::Forwarded(_) => Ok(bytes),
    });
    Bytes::from(extended.expect("plain data always serializes"))
}

/// Decodes a frame; returns `None` if the frame or its extension is invalid.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    let (mut frame, rest) = postcard::take_from_bytes(bytes).ok()?;
    match &mut frame {
        Frame::Pull(known) => known.epochs = decode_extension(rest).ok()?,
        Frame::Facts(facts) if !rest.is_empty() => {
            let (extension, rest) = postcard::take_from_bytes(rest).ok()?;
            facts.extension = Some(extension);
            facts.pass_on = decode_extension(rest).ok()?.unwrap_or_default();
        }
        Frame::Parts(parts) => {
            parts.rate_limited = decode_extension(rest).ok()?.unwrap_or_default()
        }
        Frame::Call(_)
        | Frame::Cancel(_)
        | Frame::Facts(_)
        | Frame::Forward(_)
        | Frame::Forwarded(_) => {}
    }
    Some(frame)
}

fn decode_extension<T: DeserializeOwned>(rest: &[u8]) -> postcard::Result<Option<T>> {
    if rest.is_empty() { Ok(None) } else { postcard::from_bytes(rest).map(Some) }
}

#[cfg(test)]
mod tests;
