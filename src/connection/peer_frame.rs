//! What hosts say to each other over a connection: relayed requests and their parts.
//!
//! A frame is as short as its content allows, because bytes between failure domains are dear: a
//! relayed request names its route and shards by number and comes back as merged records. The
//! frames are streams of answers to one call, which the request-reply form of `tarpc` does not
//! carry; see `docs/PLATFORM.md`, section "Relays".

use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::{SmolStr, ToSmolStr};
use tokio_util::codec::LengthDelimitedCodec;

use super::exchange::{Call, Signature};
use crate::ids::{ConfigVersion, RequestId, Revision, ServerId};
use crate::outcome::Outcome;
use crate::process::servers::registry::Change;
use crate::version::plan::{PlanDocument, RouteId};

/// The longest frame, in bytes: the greatest records of a relay's parts, or a caller's body.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Names a call on one connection.
pub type CallId = u32;
/// The place of a shard in its route's list.
pub type ShardIndex = u16;

/// One message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks a host to send a request to servers of its failure domain.
    Call(RelayCall),
    /// Some parts of a call's answer.
    Parts(RelayParts),
    /// The answer is not wanted any more.
    Cancel(CallId),
    /// Asks for what the sender lacks of the platform's facts.
    Pull(Known),
    /// What the platform said.
    Facts(Facts),
}

/// How much of the platform's facts a host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Everything up to this revision, as far as servers and failure domains go.
    pub revision: Revision,
    /// The plan of this version.
    pub version: ConfigVersion,
}

/// Facts of the platform, as hosts pass them on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// What the changes complete; a receiver that knows less asks for more.
    pub after: Revision,
    /// Changes of servers and failure domains after that.
    pub changes: Vec<Change>,
    /// Everything up to this revision is in.
    pub up_to: Revision,
    /// The plan, if the receiver may lack it.
    pub plan: Option<PlanDocument>,
    /// How long ago the platform came back, if entries may still be on hold for it.
    pub returned_ms_ago: Option<u32>,
}

/// Asks a host to send a request to its near servers of some shards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCall {
    /// The name that the parts will bear.
    pub id: CallId,
    /// The plan that the request is pinned to.
    pub version: ConfigVersion,
    /// The route that took it.
    pub route: RouteId,
    /// The shards asked for.
    pub shards: SmallVec<[ShardIndex; 16]>,
    /// No better server is known to the sender, so that nothing is gained by declining.
    pub insists: bool,
    /// How long the request takes at a usual server, or 0 where that does not show yet.
    pub pace_us: u32,
    /// How much time is left.
    pub left_ms: u32,
    /// The caller's request.
    pub request: PassedRequest,
}

/// A caller's request as hosts pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRequest {
    method: SmolStr,
    path: SmolStr,
    host: SmolStr,
    request_id: RequestId,
    headers: Vec<(SmolStr, Vec<u8>)>,
    body: Vec<u8>,
}

impl From<&Call> for PassedRequest {
    fn from(call: &Call) -> Self {
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_smolstr(), value.as_bytes().to_vec())
        };
        Self {
            method: call.method.as_str().to_smolstr(),
            path: call.path.clone(),
            host: call.host.clone(),
            request_id: call.request_id.clone(),
            headers: call.headers.iter().map(header).collect(),
            body: call.body.to_vec(),
        }
    }
}

impl PassedRequest {
    /// Returns the request, or `None` where it is none that a caller could have sent.
    pub fn into_call(self) -> Option<Call> {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(&value).ok()?);
        }
        Some(Call {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            host: self.host,
            headers,
            body: Bytes::from(self.body),
            request_id: self.request_id,
        })
    }
}

/// Some parts of a call's answer; a call has one such frame or a few.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayParts {
    /// The call.
    pub id: CallId,
    /// How long the request takes at a usual server, as far as it shows.
    pub pace_us: u32,
    /// How long the relay has had the call.
    pub elapsed_us: u32,
    /// The shards that are in, with their servers' signatures.
    pub parts: Vec<(ShardIndex, Signature)>,
    /// The greatest records of these parts.
    pub records: Vec<u8>,
    /// The shards that are still out are late.
    pub late: bool,
    /// The shards that failed here.
    pub failed: Vec<RelayFailure>,
}

/// A shard that a relay has no part of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayFailure {
    /// The shard.
    pub shard: ShardIndex,
    /// The server that was tried, if one was.
    pub server: Option<ServerId>,
    /// What is known of the attempt.
    pub outcome: Outcome<()>,
}

/// Returns the codec that cuts a stream into frames.
pub fn codec() -> LengthDelimitedCodec {
    let mut codec = LengthDelimitedCodec::builder();
    codec.length_field_length(3).max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Writes a frame.
pub fn encode(frame: &Frame) -> Bytes {
    Bytes::from(postcard::to_stdvec(frame).expect("plain data always serializes"))
}

/// Reads a frame, or returns `None` where it makes no sense.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    postcard::from_bytes(bytes).ok()
}

#[cfg(test)]
mod tests;
